use super::{MAX_FIGURE, validated};

#[test]
fn only_finite_figures_above_zero_and_up_to_the_maximum_are_taken() {
    assert_eq!(validated(Some(MAX_FIGURE), MAX_FIGURE), Some(MAX_FIGURE));
    assert_eq!(validated(Some(f64::MIN_POSITIVE), MAX_FIGURE), Some(f64::MIN_POSITIVE));
    for absurd in [0.0, -1.0, 1.1e4, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(validated(Some(absurd), MAX_FIGURE), None, "{absurd}");
    }
    assert_eq!(validated(None, MAX_FIGURE), None);
}
