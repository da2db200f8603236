//! Tests of what `names`'s `lib` keeps to itself; it takes this file in as its `tests`.
use super::*;

#[test]
fn a_name_has_1_to_64_bytes_and_nothing_that_spoils_a_log() {
    let cases = [
        ("", Some(NameError::Length(0))),
        ("a", None),
        (&"é".repeat(32), None),
        (&"é".repeat(33), Some(NameError::Length(66))),
        ("a\nb", Some(NameError::ControlCharacter)),
    ];
    for (text, wrong) in cases {
        assert_eq!(Name::new(text).err(), wrong, "{text:?}");
        let read = serde_json::from_str::<Name>(&serde_json::json!(text).to_string());
        assert_eq!(read.is_err(), wrong.is_some(), "{text:?} as it is read");
    }
}
