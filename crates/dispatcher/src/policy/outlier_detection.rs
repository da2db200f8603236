//! Outlier detection: workers whose attempts fail are ranked down, never ejected.
use super::average::move_average;
use super::figures::SLOW_GAIN;
use super::request::Attempt;
use crate::Micros;
use crate::Outcome;
use crate::time::to_seconds;

/// Weight of one outcome in a worker's failure rate.
const FAILURE_GAIN: f64 = 0.2;
/// ... and in its failure rate of one class, of which a few must suffice: each costs its whole request.
const CLASS_FAILURE_GAIN: f64 = 0.3;
/// An attempt in flight for this many times its estimate, and for this long, counts as a failure.
const OVERDUE_ESTIMATES: f64 = 4.0;
const MIN_OVERDUE_SECONDS: f64 = 0.5;
/// A worker's failure rate halves in this time without outcomes, so that it is tried again.
const FAILURE_HALF_LIFE_SECONDS: f64 = 5.0;
/// Highest failure rate used: keeps the estimate finite, so that retries stay possible.
const MAX_FAILURE_RATE: f64 = 0.9;

/// How often attempts at one worker fail.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureRates {
    all: f64,
    /// By class, as far as one has failed.
    by_class: Vec<f64>,
}

impl FailureRates {
    /// Forgets the failures of a worker that has started anew.
    pub(super) fn reset(&mut self) {
        self.all = 0.0;
        self.by_class.fill(0.0);
    }

    /// Counts an outcome of an attempt, or of a load query, which has no class. Failures are counted for each
    /// class too, as some workers serve all classes but one.
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

    /// Counts an attempt here, once, if it has become overdue: a worker that takes requests and falls silent
    /// would show it only at their deadline. It has not failed yet, and may be of this class alone.
    pub(super) fn record_if_overdue(&mut self, now: Micros, class: usize, attempt: &mut Attempt) {
        if becomes_overdue(now, attempt) {
            attempt.is_overdue = true;
            move_average(self.class_rate(class), 1.0, CLASS_FAILURE_GAIN);
        }
    }

    /// Lets the failure rates fade to this part: see [`failure_decay`].
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

    fn expected(&self, class: usize) -> f64 {
        self.by_class.get(class).map_or(self.all, |&rate| rate.max(self.all))
    }
}

/// Rejection rates of kinds and of the fleet, which the failure rates of workers are judged with.
#[derive(Clone, Debug, Default)]
pub(super) struct OutlierDetector {
    kind_rejection_rates: Vec<f64>,
    fleet_rejection_rate: f64,
}

impl OutlierDetector {
    /// Makes room for so many kinds, which have rejected nothing.
    pub(super) fn resize(&mut self, kind_count: usize) {
        self.kind_rejection_rates.resize(kind_count, 0.0);
    }

    /// The ranking divides by this: fast errors look like speed, and a full kind spends a request's attempts.
    pub(super) fn expected_success_rate(&self, worker: &FailureRates, kind: u32, class: usize) -> f64 {
        let rejection_rate = self.kind_rejection_rates[kind as usize];
        let failure_rate = worker.expected(class);
        (1.0 - failure_rate.min(MAX_FAILURE_RATE)) * (1.0 - rejection_rate.min(MAX_FAILURE_RATE))
    }

    /// The fraction of all attempts that workers reject.
    pub(super) fn rejection_rate(&self) -> f64 {
        self.fleet_rejection_rate
    }

    /// Counts whether a worker of this kind rejected an attempt.
    pub(super) fn record_rejection(&mut self, kind: u32, is_rejected: bool) {
        let sample = f64::from(is_rejected);
        move_average(&mut self.kind_rejection_rates[kind as usize], sample, SLOW_GAIN);
        move_average(&mut self.fleet_rejection_rate, sample, SLOW_GAIN);
    }
}

/// The part of a failure rate that is left after a span without outcomes.
pub(super) fn failure_decay(span: Micros) -> f64 {
    0.5_f64.powf(to_seconds(span) / FAILURE_HALF_LIFE_SECONDS)
}

/// Whether an attempt in flight has become overdue, which counts once as a failure.
fn becomes_overdue(now: Micros, attempt: &Attempt) -> bool {
    if !attempt.is_in_flight || attempt.is_overdue {
        return false;
    }
    let elapsed = to_seconds(now.saturating_sub(attempt.sent_at));
    let limit = (OVERDUE_ESTIMATES * attempt.estimate).max(MIN_OVERDUE_SECONDS);
    elapsed > limit
}

#[cfg(test)]
#[path = "../../tests/unit/outlier_detection.rs"]
mod tests;
