//! Unit tests of `invariant`.
#[test]
fn a_violated_invariant_panics_in_debug_builds_and_is_counted_in_release_builds() {
    let result = std::panic::catch_unwind(|| {
        invariant!(1 + 1 == 3, "sums hold");
    });
    let counted = super::counts().contains(&("sums hold", 1));
    assert!(result.is_err() == cfg!(debug_assertions) && counted != cfg!(debug_assertions));
}
