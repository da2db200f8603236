//! Outlier detection: a worker whose attempts fail gets a worse rank, but is never excluded from selection.
use super::average::move_average;
use super::constants::SLOW_GAIN;
use super::request::Attempt;
use crate::Micros;
use crate::Outcome;
use crate::time::to_seconds;

/// Weight of one outcome in a worker's failure rate over all request classes: about the last 5 outcomes
/// contribute.
const FAILURE_GAIN: f64 = 0.2;
/// Weight of one outcome in a worker's failure rate for one request class. The weight is higher than that of
/// an outcome in the failure rate over all classes. A few failures of a class are thus enough to make the
/// worker's rank worse for this class. A fast reaction is needed, because each failed attempt can make a
/// client's request fail.
const CLASS_FAILURE_GAIN: f64 = 0.3;
/// Multiple of an attempt's service-time estimate after which an attempt in flight is overdue. An overdue
/// attempt counts as a failure of its worker.
const OVERDUE_ESTIMATE_MULTIPLE: f64 = 4.0;
/// Shortest time after which an attempt in flight is overdue, in seconds.
const MIN_OVERDUE_SECONDS: f64 = 0.5;
/// Half-life of a worker's failure rates, in seconds. Earlier failures may keep a worker from getting any
/// attempts. The decay then improves the worker's rank until the worker is tried again.
const FAILURE_HALF_LIFE_SECONDS: f64 = 5.0;
/// Highest failure or rejection rate used in the ranking. The limit keeps ranks finite, so that even a worker
/// that fails every attempt stays available for retries.
const MAX_FAILURE_RATE: f64 = 0.9;

/// Failure rates of the attempts and load queries at one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureRates {
    /// The worker's failure rate over the attempts of all request classes and the load queries together.
    all: f64,
    /// Failure rate of each request class, by class index. Classes beyond the end of this list have no
    /// recorded outcome yet.
    by_class: Vec<f64>,
}

impl FailureRates {
    /// Discards the failure rates of a worker that has restarted.
    pub(super) fn reset(&mut self) {
        self.all = 0.0;
        self.by_class.fill(0.0);
    }

    /// Records the outcome of an attempt, or of a load query if `class` is `None`. The outcome of an attempt
    /// also counts in the failure rate of the attempt's class, because a worker may fail for only one class.
    pub(super) fn record_outcome(&mut self, class: Option<usize>, outcome: Outcome) {
        let failed = match outcome {
            Outcome::Served => 0.0,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => 1.0,
            Outcome::Rejected | Outcome::Cancelled | Outcome::Superseded => return,
        };
        move_average(&mut self.all, failed, FAILURE_GAIN);
        if let Some(class) = class {
            move_average(self.class_rate(class), failed, CLASS_FAILURE_GAIN);
        }
    }

    /// Records an attempt in flight as a failure, once, if the attempt has become overdue. Otherwise a worker
    /// that accepts requests but does not respond would be noticed only at the deadlines of those requests.
    ///
    /// Only the failure rate of the attempt's class changes. The attempt has not failed yet, and the fault
    /// may affect only this class.
    pub(super) fn record_if_overdue(&mut self, now: Micros, class: usize, attempt: &mut Attempt) {
        if becomes_overdue(now, attempt) {
            attempt.is_overdue = true;
            move_average(self.class_rate(class), 1.0, CLASS_FAILURE_GAIN);
        }
    }

    /// Multiplies all failure rates by `decay`, which [`failure_decay`] computes for the time since the last
    /// call.
    pub(super) fn decay(&mut self, decay: f64) {
        self.all *= decay;
        self.by_class.iter_mut().for_each(|rate| *rate *= decay);
    }

    fn class_rate(&mut self, class: usize) -> &mut f64 {
        if self.by_class.len() <= class {
            self.by_class.resize(class + 1, 0.0);
        }
        &mut self.by_class[class]
    }

    /// Returns the failure rate that is expected of this worker for a request of the given class.
    fn expected(&self, class: usize) -> f64 {
        self.by_class.get(class).map_or(self.all, |&rate| rate.max(self.all))
    }
}

/// Tracks how often workers reject attempts. Computes, from these rejection rates and a worker's failure
/// rates, which fraction of attempts at the worker is expected to succeed. The worker's rank depends on this
/// fraction.
#[derive(Clone, Debug, Default)]
pub(super) struct OutlierDetector {
    kind_rejection_rates: Vec<f64>,
    fleet_rejection_rate: f64,
}

impl OutlierDetector {
    /// Resizes the table of rejection rates for the given number of worker kinds. New kinds have a rejection
    /// rate of 0.
    pub(super) fn resize(&mut self, kind_count: usize) {
        self.kind_rejection_rates.resize(kind_count, 0.0);
    }

    /// Returns the expected fraction of attempts at a worker that succeed. The worker's rank is divided by
    /// this fraction. Without the division, a worker that returns errors fast would look like a fast worker.
    /// If all workers of a kind are full, they reject attempts. Without the division, requests would keep
    /// going to this kind until all their attempts were used up.
    pub(super) fn expected_success_rate(&self, worker: &FailureRates, kind: u32, class: usize) -> f64 {
        let rejection_rate = self.kind_rejection_rates[kind as usize];
        let failure_rate = worker.expected(class);
        (1.0 - failure_rate.min(MAX_FAILURE_RATE)) * (1.0 - rejection_rate.min(MAX_FAILURE_RATE))
    }

    /// Returns the fraction of all attempts that workers reject.
    pub(super) fn rejection_rate(&self) -> f64 {
        self.fleet_rejection_rate
    }

    /// Records whether a worker of the given kind rejected an attempt.
    pub(super) fn record_rejection(&mut self, kind: u32, is_rejected: bool) {
        let sample = f64::from(is_rejected);
        move_average(&mut self.kind_rejection_rates[kind as usize], sample, SLOW_GAIN);
        move_average(&mut self.fleet_rejection_rate, sample, SLOW_GAIN);
    }
}

/// Returns the fraction of a failure rate that remains after `duration` if no outcome is recorded in that
/// time.
pub(super) fn failure_decay(duration: Micros) -> f64 {
    0.5_f64.powf(to_seconds(duration) / FAILURE_HALF_LIFE_SECONDS)
}

/// Returns whether `attempt` is in flight, is overdue, and has not been recorded as overdue yet. An attempt
/// is overdue when the time since its sending exceeds [`OVERDUE_ESTIMATE_MULTIPLE`] times its service-time
/// estimate, and also [`MIN_OVERDUE_SECONDS`].
fn becomes_overdue(now: Micros, attempt: &Attempt) -> bool {
    if !attempt.is_in_flight || attempt.is_overdue {
        return false;
    }
    let elapsed = to_seconds(now.saturating_sub(attempt.sent_at));
    let limit = (OVERDUE_ESTIMATE_MULTIPLE * attempt.estimate).max(MIN_OVERDUE_SECONDS);
    elapsed > limit
}

#[cfg(test)]
#[path = "../../tests/unit/outlier_detection.rs"]
mod tests;
