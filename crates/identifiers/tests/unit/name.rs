//! Unit tests of `Name`, included by `src/lib.rs` as its `tests` module.
use super::*;

#[test]
fn a_name_has_1_to_64_bytes_and_no_control_characters() {
    let cases = [
        ("", Some(NameError::Length(0))),
        ("a", None),
        (&"é".repeat(32), None),
        (&"é".repeat(33), Some(NameError::Length(66))),
        ("a\nb", Some(NameError::ControlCharacter)),
    ];
    for (text, error) in cases {
        assert_eq!(Name::new(text).err(), error, "{text:?}");
        let deserialized = serde_json::from_str::<Name>(&serde_json::json!(text).to_string());
        assert_eq!(deserialized.is_err(), error.is_some(), "{text:?} deserialized");
    }
}
