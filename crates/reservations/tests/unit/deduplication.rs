//! Unit tests of the module `deduplication`, which includes this file as its submodule `tests`.
use super::*;
use crate::time::MILLISECOND;

fn id(member: &str, incarnation: u64, sequence: u64) -> CommandId {
    CommandId { member: Name::new(member).expect("valid name"), incarnation, sequence }
}

#[test]
fn a_late_command_is_new_only_once_and_one_before_the_window_is_too_old() {
    let mut windows = DeduplicationWindows::default();
    let cases = [
        (1, 5, DuplicateCheck::New),
        (1, 5, DuplicateCheck::Duplicate),
        (1, 3, DuplicateCheck::New),
        (1, 3, DuplicateCheck::Duplicate),
        (1, 130, DuplicateCheck::New),
        (1, 3, DuplicateCheck::Duplicate),
        (1, 4, DuplicateCheck::New),
        (1, 2, DuplicateCheck::TooOld),
        (1, 1_000_000, DuplicateCheck::New),
        (1, 130, DuplicateCheck::TooOld),
        (2, 1, DuplicateCheck::New),
        (1, 1_000_001, DuplicateCheck::TooOld),
        (2, 1, DuplicateCheck::Duplicate),
    ];
    for (incarnation, sequence, expected) in cases {
        assert_eq!(
            windows.record(UnixMillis::EPOCH, &id("a", incarnation, sequence)),
            expected,
            "{incarnation}/{sequence}"
        );
    }
    assert_eq!(windows.record(UnixMillis::EPOCH, &id("b", 1, 5)), DuplicateCheck::New);
}

#[test]
fn at_the_member_limit_a_new_member_is_rejected_until_another_was_inactive_for_a_week() {
    let mut windows = DeduplicationWindows::default();
    for member in 0..MAX_MEMBERS {
        assert_eq!(
            windows.record(UnixMillis(member as i64), &id(&member.to_string(), 1, 1)),
            DuplicateCheck::New
        );
    }
    let a_week_later = UnixMillis::EPOCH + MEMBER_RETENTION;
    assert_eq!(
        windows.record(a_week_later - MILLISECOND, &id("late", 1, 1)),
        DuplicateCheck::MemberLimitReached
    );
    assert_eq!(windows.record(a_week_later, &id("late", 1, 1)), DuplicateCheck::New);
    assert_eq!(windows.0.len(), MAX_MEMBERS);
    assert_eq!(windows.record(a_week_later, &id("1", 1, 1)), DuplicateCheck::Duplicate);
}
