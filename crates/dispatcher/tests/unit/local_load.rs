use super::{InFlightAttempt, LocalLoad};
use crate::{Micros, RequestId, SECOND};

fn attempt(request: u64, slots: f64, sent_at: Micros) -> InFlightAttempt {
    InFlightAttempt { request: RequestId(request), attempt: 0, slots, sent_at }
}

#[test]
fn slots_in_use_are_the_slots_of_the_attempts_in_flight() {
    let mut load = LocalLoad::default();
    assert!(load.is_idle());
    load.add(attempt(1, 2.0, SECOND));
    load.add(attempt(2, 0.5, SECOND));
    assert_eq!((load.slots_in_use(), load.is_idle()), (2.5, false));
    load.complete(RequestId(1), 0, 2 * SECOND, SECOND);
    load.complete(RequestId(2), 1, 2 * SECOND, SECOND);
    assert_eq!(load.slots_in_use(), 0.5, "another attempt of the same request stays in flight");
    load.complete(RequestId(2), 0, 2 * SECOND, SECOND);
    assert_eq!((load.slots_in_use(), load.is_idle()), (0.0, true));
}

#[test]
fn slots_at_an_earlier_instant_include_attempts_that_completed_later() {
    let mut load = LocalLoad::default();
    load.add(attempt(1, 1.0, SECOND));
    load.add(attempt(2, 2.0, 3 * SECOND));
    load.complete(RequestId(1), 0, 4 * SECOND, 2 * SECOND);
    assert_eq!(load.slots_at(SECOND - 1), 0.0);
    assert_eq!(load.slots_at(SECOND), 1.0);
    assert_eq!(load.slots_at(3 * SECOND), 3.0);
    assert_eq!(load.slots_at(4 * SECOND), 3.0, "the attempt completed at this instant");
    assert_eq!(load.slots_at(4 * SECOND + 1), 2.0);
}

#[test]
fn completed_attempts_are_discarded_after_the_retention_time() {
    let mut load = LocalLoad::default();
    load.add(attempt(1, 1.0, 0));
    load.add(attempt(2, 1.0, 0));
    load.complete(RequestId(1), 0, SECOND, SECOND);
    load.complete(RequestId(2), 0, 2 * SECOND + 1, SECOND);
    assert_eq!(load.slots_at(SECOND), 1.0, "the first attempt has been discarded");
}
