//! Tests of what `calendar`'s `seen` keeps to itself; it takes this file in as its `tests`.
use super::*;

fn id(member: &str, generation: u64, sequence: u64) -> CommandId {
    CommandId { member: Name::new(member).expect("a name"), incarnation: generation, sequence }
}

#[test]
fn an_id_acts_once_also_late_and_not_when_too_old_to_be_known() {
    let mut seen = DeduplicationWindows::default();
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
    for (generation, sequence, expected) in cases {
        assert_eq!(seen.record(0, &id("a", generation, sequence)), expected, "{generation}/{sequence}");
    }
    assert_eq!(seen.record(0, &id("b", 1, 5)), DuplicateCheck::New);
}

#[test]
fn a_full_memory_refuses_until_somebody_was_silent_for_a_week() {
    let mut seen = DeduplicationWindows::default();
    for member in 0..MAX_MEMBERS {
        assert_eq!(seen.record(member as Millis, &id(&member.to_string(), 1, 1)), DuplicateCheck::New);
    }
    assert_eq!(seen.record(MEMBER_RETENTION - 1, &id("late", 1, 1)), DuplicateCheck::MemberLimitReached);
    assert_eq!(seen.record(MEMBER_RETENTION, &id("late", 1, 1)), DuplicateCheck::New);
    assert_eq!(seen.0.len(), MAX_MEMBERS);
    assert_eq!(seen.record(MEMBER_RETENTION, &id("1", 1, 1)), DuplicateCheck::Duplicate);
}
