//! Outlier detection: workers whose attempts fail are ranked down, never ejected.
use super::Dispatcher;
use super::figures::REFRESH_INTERVAL;
use super::worker::Worker;
use crate::{Micros, Outcome, average::move_average, time::to_seconds};

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

impl Dispatcher {
    /// The ranking divides by this: fast errors look like speed, and a full kind spends a request's attempts.
    pub(super) fn expected_success_rate(&self, worker: &Worker, class: usize) -> f64 {
        let rejection_rate = self.kinds[worker.kind as usize].rejection_rate;
        let class_rate = worker.class_failure_rates.get(class);
        let failure_rate = class_rate.map_or(worker.failure_rate, |&rate| rate.max(worker.failure_rate));
        (1.0 - failure_rate.min(MAX_FAILURE_RATE)) * (1.0 - rejection_rate.min(MAX_FAILURE_RATE))
    }

    /// Failures are counted for each class too, as some workers serve all classes but one.
    pub(super) fn record_failure(&mut self, index: usize, class: Option<usize>, outcome: Outcome) {
        let worker = &mut self.workers[index];
        let failed = match outcome {
            Outcome::Served => 0.0,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => 1.0,
            Outcome::Rejected | Outcome::Cancelled | Outcome::Superseded => return,
        };
        move_average(&mut worker.failure_rate, failed, FAILURE_GAIN);
        if let Some(rate) = class.and_then(|class| worker.class_failure_rates.get_mut(class)) {
            move_average(rate, failed, CLASS_FAILURE_GAIN);
        }
    }

    /// A worker that takes requests and falls silent would show it only at their deadline.
    pub(super) fn record_overdue_attempts(&mut self, now: Micros) {
        for request in self.requests.values_mut() {
            let attempts = request.attempts.iter_mut();
            for attempt in attempts.filter(|attempt| attempt.is_in_flight && !attempt.is_overdue) {
                let elapsed = to_seconds(now.saturating_sub(attempt.sent_at));
                let limit = (OVERDUE_ESTIMATES * attempt.estimate).max(MIN_OVERDUE_SECONDS);
                attempt.is_overdue = elapsed > limit;
                if attempt.is_overdue {
                    let worker = &mut self.workers[attempt.worker as usize];
                    let rate = &mut worker.class_failure_rates[request.class];
                    move_average(rate, 1.0, CLASS_FAILURE_GAIN);
                }
            }
        }
    }

    pub(super) fn decay_failure_rates(&mut self) {
        let decay = 0.5_f64.powf(to_seconds(REFRESH_INTERVAL) / FAILURE_HALF_LIFE_SECONDS);
        for worker in &mut self.workers {
            worker.failure_rate *= decay;
            worker.class_failure_rates.iter_mut().for_each(|rate| *rate *= decay);
        }
    }
}
