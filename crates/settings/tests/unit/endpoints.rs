//! Unit tests of `copperspread_settings::endpoints`.
use super::name_hash;

/// Every scheduler must compute the same keys on any machine. The expected values are the test vectors that
/// the authors of FNV-1a publish.
#[test]
fn a_name_hash_is_the_same_on_every_machine() {
    assert_eq!(name_hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(name_hash("a"), 0xaf63_dc4c_8601_ec8c);
}
