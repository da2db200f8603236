use super::{MAX_FAILURE_RATE, OutlierDetector};
use crate::policy::request::{Attempt, Request};
use crate::{Outcome, SECOND};

const KIND: u32 = 0;

fn detector() -> OutlierDetector {
    let mut detector = OutlierDetector::new(2);
    detector.resize(3, 2);
    detector
}

fn success_rate(detector: &OutlierDetector, worker: usize, class: usize) -> f64 {
    detector.expected_success_rate(worker, KIND, class)
}

#[test]
fn a_failure_counts_against_its_worker_and_more_in_its_class() {
    let mut detector = detector();
    detector.record_outcome(1, Some(0), Outcome::Error);
    assert_eq!(success_rate(&detector, 1, 0), 0.7);
    assert_eq!(success_rate(&detector, 1, 1), 0.8);
    assert_eq!((success_rate(&detector, 0, 0), success_rate(&detector, 2, 0)), (1.0, 1.0));
}

#[test]
fn a_load_query_counts_for_no_class() {
    let mut detector = detector();
    detector.record_outcome(1, None, Outcome::ConnectFailed);
    assert_eq!((success_rate(&detector, 1, 0), success_rate(&detector, 1, 1)), (0.8, 0.8));
}

#[test]
fn rejections_and_what_was_never_decided_are_no_failures() {
    let mut detector = detector();
    for outcome in [Outcome::Rejected, Outcome::Cancelled, Outcome::Superseded, Outcome::Served] {
        detector.record_outcome(1, Some(0), outcome);
        assert_eq!(success_rate(&detector, 1, 0), 1.0, "{outcome:?}");
    }
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed, Outcome::TimedOut] {
        let before = success_rate(&detector, 1, 0);
        detector.record_outcome(1, Some(0), outcome);
        assert!(success_rate(&detector, 1, 0) < before, "{outcome:?}");
    }
}

#[test]
fn the_success_rate_never_falls_to_zero() {
    let mut detector = detector();
    for _ in 0..1_000 {
        detector.record_outcome(0, Some(0), Outcome::Error);
        detector.record_rejection(KIND, true);
    }
    let least = 1.0 - MAX_FAILURE_RATE;
    assert_eq!(success_rate(&detector, 0, 0), least * least);
    assert!(detector.rejection_rate() > 0.99);
    assert_eq!(detector.expected_success_rate(1, 1, 0), 1.0, "another kind is not meant");
}

#[test]
fn failures_halve_in_five_seconds_and_a_new_process_has_none() {
    let mut detector = detector();
    detector.record_outcome(0, Some(0), Outcome::Error);
    detector.record_outcome(1, Some(0), Outcome::Error);
    detector.decay(5 * SECOND);
    assert_eq!(success_rate(&detector, 0, 0), 0.85);
    detector.reset(0);
    assert_eq!((success_rate(&detector, 0, 0), success_rate(&detector, 0, 1)), (1.0, 1.0));
    assert_eq!(success_rate(&detector, 1, 0), 0.85);
}

#[test]
fn room_for_more_workers_keeps_what_is_known() {
    let mut detector = detector();
    detector.record_outcome(2, Some(1), Outcome::Error);
    detector.resize(10, 2);
    assert_eq!(success_rate(&detector, 2, 1), 0.7);
    assert_eq!(success_rate(&detector, 9, 1), 1.0);
}

#[test]
fn an_attempt_becomes_overdue_once_after_four_estimates_and_half_a_second() {
    let mut detector = detector();
    let attempt = |estimate| Attempt { is_in_flight: true, estimate, ..Attempt::default() };
    let mut requests = [attempt(0.01), attempt(1.0)].map(|attempt| {
        let attempts = [attempt].into_iter().collect();
        Request { attempts, ..Request::default() }
    });
    let mut overdue_at = |now| {
        detector.record_overdue_attempts(now, requests.iter_mut());
        let are_overdue = requests.each_ref().map(|request| request.attempts[0].is_overdue);
        let percent = (100.0 * success_rate(&detector, 0, 0)).round();
        (are_overdue, percent)
    };
    assert_eq!(overdue_at(SECOND / 2), ([false, false], 100.0));
    assert_eq!(overdue_at(SECOND / 2 + 1), ([true, false], 70.0));
    assert_eq!(overdue_at(4 * SECOND), ([true, false], 70.0));
    assert_eq!(overdue_at(4 * SECOND + 1), ([true, true], 49.0));
}
