//! Tests of what `calendar`'s `seen` keeps to itself; it takes this file in as its `tests`.
use super::*;

fn id(member: &str, generation: u64, sequence: u64) -> CommandId {
    CommandId { member: Name::new(member).expect("a name"), generation, sequence }
}

#[test]
fn an_id_acts_once_also_late_and_not_when_too_old_to_be_known() {
    let mut seen = Seen::default();
    let cases = [
        (1, 5, Sight::First),
        (1, 5, Sight::Again),
        (1, 3, Sight::First),
        (1, 3, Sight::Again),
        (1, 130, Sight::First),
        (1, 3, Sight::Again),
        (1, 4, Sight::First),
        (1, 2, Sight::Old),
        (1, 1_000_000, Sight::First),
        (1, 130, Sight::Old),
        (2, 1, Sight::First),
        (1, 1_000_001, Sight::Old),
        (2, 1, Sight::Again),
    ];
    for (generation, sequence, expected) in cases {
        assert_eq!(seen.mark(0, &id("a", generation, sequence)), expected, "{generation}/{sequence}");
    }
    assert_eq!(seen.mark(0, &id("b", 1, 5)), Sight::First);
}

#[test]
fn a_full_memory_refuses_until_somebody_was_silent_for_a_week() {
    let mut seen = Seen::default();
    for member in 0..MOST_MEMBERS {
        assert_eq!(seen.mark(member as Millis, &id(&member.to_string(), 1, 1)), Sight::First);
    }
    assert_eq!(seen.mark(FORGOTTEN_AFTER - 1, &id("late", 1, 1)), Sight::Full);
    assert_eq!(seen.mark(FORGOTTEN_AFTER, &id("late", 1, 1)), Sight::First);
    assert_eq!(seen.0.len(), MOST_MEMBERS);
    assert_eq!(seen.mark(FORGOTTEN_AFTER, &id("1", 1, 1)), Sight::Again);
}
