//! Tests of what `copperspread`'s `logging` keeps to itself; it takes this file in as its `tests`.
use super::level;

#[test]
fn a_misspelt_level_is_refused_and_not_taken_for_a_part() {
    for good in ["off", "info", "warn,copperspread_proxy=trace", "copperspread=debug, info"] {
        assert!(level(good).is_ok(), "{good}");
    }
    for bad in ["", "inof", "info,", "copperspread_proxy=loud", "info;debug"] {
        assert!(level(bad).is_err(), "{bad}");
    }
}
