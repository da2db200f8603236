//! Tests of what `settings`'s `members` keeps to itself; it takes this file in as its `tests`.
use super::name_key;

/// Every scheduler must reckon the same places, whatever it runs on: the function's published figures.
#[test]
fn a_key_is_the_same_everywhere() {
    assert_eq!(name_key(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(name_key("a"), 0xaf63_dc4c_8601_ec8c);
}
