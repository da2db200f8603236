//! Outlier detection: workers whose attempts fail are ranked down, never ejected.
use super::figures::SLOW_GAIN;
use super::request::Request;
use crate::Micros;
use crate::Outcome;
use crate::average::move_average;
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

/// Failure rates of workers, and rejection rates of their kinds.
#[derive(Clone, Debug, Default)]
pub(super) struct OutlierDetector {
    class_count: usize,
    /// By worker.
    failure_rates: Vec<f64>,
    /// By worker and class: those of one worker lie side by side.
    class_failure_rates: Vec<f64>,
    kind_rejection_rates: Vec<f64>,
    fleet_rejection_rate: f64,
}

impl OutlierDetector {
    pub(super) fn new(class_count: usize) -> Self {
        OutlierDetector { class_count, ..OutlierDetector::default() }
    }

    /// Makes room for so many workers and kinds, of which nothing bad is known.
    pub(super) fn resize(&mut self, worker_count: usize, kind_count: usize) {
        self.failure_rates.resize(worker_count, 0.0);
        self.class_failure_rates.resize(worker_count * self.class_count, 0.0);
        self.kind_rejection_rates.resize(kind_count, 0.0);
    }

    /// Forgets the failures of a worker that has started anew.
    pub(super) fn reset(&mut self, worker: usize) {
        self.failure_rates[worker] = 0.0;
        self.class_rates(worker).fill(0.0);
    }

    fn class_rates(&mut self, worker: usize) -> &mut [f64] {
        let first = worker * self.class_count;
        &mut self.class_failure_rates[first..first + self.class_count]
    }

    /// The ranking divides by this: fast errors look like speed, and a full kind spends a request's attempts.
    pub(super) fn expected_success_rate(&self, worker: usize, kind: u32, class: usize) -> f64 {
        let rejection_rate = self.kind_rejection_rates[kind as usize];
        let class_rate = self.class_failure_rates[worker * self.class_count + class];
        let failure_rate = class_rate.max(self.failure_rates[worker]);
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

    /// Counts an outcome of an attempt, or of a load query, which has no class. Failures are counted for each
    /// class too, as some workers serve all classes but one.
    pub(super) fn record_outcome(&mut self, worker: usize, class: Option<usize>, outcome: Outcome) {
        let failed = match outcome {
            Outcome::Served => 0.0,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => 1.0,
            Outcome::Rejected | Outcome::Cancelled | Outcome::Superseded => return,
        };
        move_average(&mut self.failure_rates[worker], failed, FAILURE_GAIN);
        if let Some(class) = class {
            move_average(&mut self.class_rates(worker)[class], failed, CLASS_FAILURE_GAIN);
        }
    }

    /// Counts attempts that have become overdue, once each: a worker that takes requests and falls silent
    /// would show it only at their deadline.
    pub(super) fn record_overdue_attempts<'a>(
        &mut self,
        now: Micros,
        requests: impl Iterator<Item = &'a mut Request>,
    ) {
        for request in requests {
            let attempts = request.attempts.iter_mut();
            for attempt in attempts.filter(|attempt| attempt.is_in_flight && !attempt.is_overdue) {
                let elapsed = to_seconds(now.saturating_sub(attempt.sent_at));
                let limit = (OVERDUE_ESTIMATES * attempt.estimate).max(MIN_OVERDUE_SECONDS);
                attempt.is_overdue = elapsed > limit;
                if attempt.is_overdue {
                    let rate = &mut self.class_rates(attempt.worker as usize)[request.class];
                    move_average(rate, 1.0, CLASS_FAILURE_GAIN);
                }
            }
        }
    }

    /// Lets the failure rates fade over a span.
    pub(super) fn decay(&mut self, span: Micros) {
        let decay = 0.5_f64.powf(to_seconds(span) / FAILURE_HALF_LIFE_SECONDS);
        self.failure_rates.iter_mut().for_each(|rate| *rate *= decay);
        self.class_failure_rates.iter_mut().for_each(|rate| *rate *= decay);
    }
}

#[cfg(test)]
#[path = "../../tests/unit/outlier_detection.rs"]
mod tests;
