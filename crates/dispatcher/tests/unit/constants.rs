use super::{MAX_VALID_VALUE, validated};

#[test]
fn only_finite_values_above_zero_and_up_to_the_maximum_are_valid() {
    assert_eq!(validated(Some(MAX_VALID_VALUE), MAX_VALID_VALUE), Some(MAX_VALID_VALUE));
    assert_eq!(validated(Some(f64::MIN_POSITIVE), MAX_VALID_VALUE), Some(f64::MIN_POSITIVE));
    for invalid in [0.0, -1.0, 1.1e4, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(validated(Some(invalid), MAX_VALID_VALUE), None, "{invalid}");
    }
    assert_eq!(validated(None, MAX_VALID_VALUE), None);
}
