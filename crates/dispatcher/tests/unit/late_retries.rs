use super::LateRetries;
use crate::{RequestClass, SECOND};

fn class() -> RequestClass {
    RequestClass { deadline: 10 * SECOND, ..RequestClass::default() }
}

#[test]
fn a_first_request_has_spent_no_time_even_if_all_deadlines_are_shortened() {
    let mut retries = LateRetries::new(1);
    assert_eq!(retries.time_spent_before(0, &class(), 6 * SECOND, 1.0), 0);
    assert_eq!(
        retries.time_spent_before(0, &class(), 6 * SECOND - 6_000, 1.0),
        0,
        "within a thousandth of the longest time left"
    );
    let spent = retries.time_spent_before(0, &class(), 6 * SECOND - 6_001, 10.0);
    assert_eq!(spent, 4 * SECOND + 6_001);
}

#[test]
fn the_longest_time_left_is_tracked_for_each_class() {
    let mut retries = LateRetries::new(2);
    retries.time_spent_before(0, &class(), 10 * SECOND, 9.0);
    assert_eq!(retries.time_spent_before(1, &class(), 8 * SECOND, 9.0), 0);
    assert_eq!(retries.time_spent_before(0, &class(), 8 * SECOND, 9.0), 2 * SECOND);
}

#[test]
fn if_too_many_requests_seem_late_their_time_left_is_taken_as_a_shorter_deadline() {
    let mut retries = LateRetries::new(1);
    retries.time_spent_before(0, &class(), 10 * SECOND, 1.0);
    assert_eq!(
        retries.time_spent_before(0, &class(), 8 * SECOND, 1.0),
        2 * SECOND,
        "a late fraction of 1/20 is plausible"
    );
    assert_eq!(
        retries.time_spent_before(0, &class(), 8 * SECOND, 1.0),
        0,
        "the second in a row exceeds the largest plausible fraction"
    );
    for _ in 0..100 {
        retries.time_spent_before(0, &class(), 10 * SECOND, 1.0);
    }
    assert_eq!(retries.time_spent_before(0, &class(), 8 * SECOND, 1.0), 2 * SECOND);
}
