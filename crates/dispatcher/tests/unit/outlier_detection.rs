use super::{FailureRates, MAX_FAILURE_RATE, OutlierDetector, failure_decay};
use crate::policy::request::Attempt;
use crate::{Outcome, SECOND};

const KIND: u32 = 0;

fn detector() -> OutlierDetector {
    let mut detector = OutlierDetector::default();
    detector.resize(2);
    detector
}

fn success_rate(rates: &FailureRates, class: usize) -> f64 {
    detector().expected_success_rate(rates, KIND, class)
}

#[test]
fn a_failure_counts_for_the_worker_and_with_more_weight_for_the_request_class() {
    let mut rates = FailureRates::default();
    assert_eq!((success_rate(&rates, 0), success_rate(&rates, 1)), (1.0, 1.0));
    rates.record_outcome(Some(0), Outcome::Error);
    assert_eq!((success_rate(&rates, 0), success_rate(&rates, 1)), (0.7, 0.8));
    rates.record_outcome(Some(3), Outcome::Served);
    assert!(
        (success_rate(&rates, 3) - 0.84).abs() < 1e-12,
        "the class has no failure, but the worker has one"
    );
}

#[test]
fn a_failed_load_query_counts_for_the_worker_but_for_no_class() {
    let mut rates = FailureRates::default();
    rates.record_outcome(None, Outcome::ConnectFailed);
    assert_eq!((success_rate(&rates, 0), success_rate(&rates, 1)), (0.8, 0.8));
}

#[test]
fn rejected_cancelled_and_unsent_attempts_are_not_failures() {
    let mut rates = FailureRates::default();
    for outcome in [Outcome::Rejected, Outcome::Cancelled, Outcome::Superseded, Outcome::Served] {
        rates.record_outcome(Some(0), outcome);
        assert_eq!(success_rate(&rates, 0), 1.0, "{outcome:?}");
    }
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::ConnectFailed, Outcome::TimedOut] {
        let before = success_rate(&rates, 0);
        rates.record_outcome(Some(0), outcome);
        assert!(success_rate(&rates, 0) < before, "{outcome:?}");
    }
}

#[test]
fn the_expected_success_rate_stays_above_zero() {
    let mut rates = FailureRates::default();
    let mut detector = detector();
    for _ in 0..1_000 {
        rates.record_outcome(Some(0), Outcome::Error);
        detector.record_rejection(KIND, true);
    }
    let least = 1.0 - MAX_FAILURE_RATE;
    assert_eq!(detector.expected_success_rate(&rates, KIND, 0), least * least);
    assert!(detector.rejection_rate() > 0.99);
    let fresh = FailureRates::default();
    assert_eq!(detector.expected_success_rate(&fresh, 1, 0), 1.0, "another worker kind is not affected");
}

#[test]
fn failure_rates_halve_in_five_seconds_and_are_discarded_for_a_new_process() {
    let mut rates = FailureRates::default();
    rates.record_outcome(Some(0), Outcome::Error);
    rates.decay(failure_decay(5 * SECOND));
    assert_eq!(success_rate(&rates, 0), 0.85);
    rates.reset();
    assert_eq!((success_rate(&rates, 0), success_rate(&rates, 1)), (1.0, 1.0));
}

#[test]
fn an_attempt_becomes_overdue_once_after_the_longer_of_four_estimates_and_half_a_second() {
    let mut rates = FailureRates::default();
    let mut short = Attempt { is_in_flight: true, estimate: 0.01, ..Attempt::default() };
    let mut long = Attempt { estimate: 1.0, ..short };
    let mut overdue_at = |now| {
        rates.record_if_overdue(now, 0, &mut short);
        rates.record_if_overdue(now, 0, &mut long);
        let percent = (100.0 * success_rate(&rates, 0)).round();
        ([short.is_overdue, long.is_overdue], percent)
    };
    assert_eq!(overdue_at(SECOND / 2), ([false, false], 100.0));
    assert_eq!(overdue_at(SECOND / 2 + 1), ([true, false], 70.0));
    assert_eq!(overdue_at(4 * SECOND), ([true, false], 70.0));
    assert_eq!(overdue_at(4 * SECOND + 1), ([true, true], 49.0));
}

#[test]
fn a_completed_attempt_is_never_overdue() {
    let mut rates = FailureRates::default();
    let mut completed = Attempt::default();
    rates.record_if_overdue(1_000 * SECOND, 0, &mut completed);
    assert!(!completed.is_overdue);
    assert_eq!(success_rate(&rates, 0), 1.0);
}
