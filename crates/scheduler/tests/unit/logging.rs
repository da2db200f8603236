//! Unit tests of `src/logging.rs`, which includes this file as its `tests`.
use super::parse_levels;

#[test]
fn a_misspelt_level_is_rejected_and_not_taken_for_a_target() {
    for valid in ["off", "info", "warn,copperspread_proxy=trace", "copperspread=debug, info"] {
        assert!(parse_levels(valid).is_ok(), "{valid}");
    }
    for invalid in ["", "inof", "info,", "copperspread_proxy=loud", "info;debug"] {
        assert!(parse_levels(invalid).is_err(), "{invalid}");
    }
}
