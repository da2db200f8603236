use super::{Attempt, ProgressMark, Request};
use crate::{Action, RequestId};

const RUNNING: Option<ProgressMark> = Some(ProgressMark { at: 0, fraction_done: 0.0 });

fn in_flight(worker: u32) -> Attempt {
    Attempt { worker, is_in_flight: true, ..Attempt::default() }
}

fn request(attempts: &[Attempt]) -> Request {
    Request { id: RequestId(7), attempts: attempts.iter().copied().collect(), ..Request::default() }
}

#[test]
fn the_first_possibly_run_attempt_is_in_flight_or_not_known_to_have_never_run() {
    let never_ran = Attempt { worker: 1, never_ran: true, ..Attempt::default() };
    let completed = Attempt { worker: 2, ..Attempt::default() };
    let first =
        |attempts: &[Attempt]| request(attempts).first_possibly_run_attempt().map(|attempt| attempt.worker);
    assert_eq!(first(&[]), None);
    assert_eq!(first(&[never_ran]), None);
    assert_eq!(first(&[never_ran, completed, in_flight(3)]), Some(2));
    assert_eq!(first(&[never_ran, in_flight(3), completed]), Some(3));
}

#[test]
fn only_attempts_in_flight_count_as_started() {
    let completed = Attempt { progress: RUNNING, ..Attempt::default() };
    assert!(!request(&[]).has_started());
    assert!(!request(&[completed, in_flight(1)]).has_started());
    assert!(request(&[completed, Attempt { progress: RUNNING, ..in_flight(1) }]).has_started());
}

#[test]
fn cancellations_contain_the_numbers_of_the_unwanted_attempts_in_flight() {
    let running = Attempt { progress: RUNNING, ..in_flight(2) };
    let request = request(&[Attempt::default(), in_flight(1), running, in_flight(3)]);
    let numbers = |actions: Vec<Action>| -> Vec<u32> {
        let number = |action| match action {
            Action::Cancel { request: RequestId(7), attempt } => attempt,
            other => panic!("expected a cancellation of request 7, got {other:?}"),
        };
        actions.into_iter().map(number).collect()
    };
    assert_eq!(numbers(request.cancellations(|_| true).collect()), [1, 2, 3]);
    assert_eq!(numbers(request.cancellations(|attempt| attempt.progress.is_none()).collect()), [1, 3]);
}
