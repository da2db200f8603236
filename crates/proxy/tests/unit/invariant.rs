//! Unit tests of `invariant`.
#[test]
fn what_does_not_hold_stops_a_debug_build_and_is_counted_in_release() {
    let broken = std::panic::catch_unwind(|| {
        invariant!(1 + 1 == 3, "sums hold");
    });
    let counted = super::counts().contains(&("sums hold", 1));
    assert!(broken.is_err() == cfg!(debug_assertions) && counted != cfg!(debug_assertions));
}
