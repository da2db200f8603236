//! What a dispatcher knows of workers, kinds and requests.
use crate::average::{LogAverage, SlidingWindowSum};
use crate::{Micros, RequestId, WorkerState, local_load::LocalLoad};
use arrayvec::ArrayVec;

/// Attempts kept for one request; a site that allows more is held to this many.
pub(super) const MAX_TRACKED_ATTEMPTS: usize = 8;

/// What is known of the workers of one kind, or of all.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct GroupStatistics {
    pub(super) rate: LogAverage,
    pub(super) slots: Option<f64>,
    pub(super) rejection_rate: f64,
    /// Largest size listed: that of an idle worker.
    pub(super) max_size: f64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Worker {
    pub(super) state: WorkerState,
    pub(super) zone: u32,
    pub(super) kind: u32,
    pub(super) cell: u32,
    pub(super) started_at: Option<Micros>,
    pub(super) local_load: LocalLoad,
    pub(super) rate: LogAverage,
    /// Work a second on one slot, as used in estimates.
    pub(super) service_rate: f64,
    pub(super) failure_rate: f64,
    pub(super) class_failure_rates: Vec<f64>,
    /// Slots of other dispatchers' attempts by the last report, and when it came.
    pub(super) reported_remote_slots: f64,
    pub(super) reported_at: Option<Micros>,
    /// Size as last listed; slots taken by all dispatchers by that, and by the mean of the lists.
    pub(super) size: Option<f64>,
    pub(super) listed_slots: f64,
    pub(super) mean_listed_slots: f64,
    pub(super) listed_at: Option<Micros>,
    pub(super) slow_start_sent: SlidingWindowSum,
    pub(super) hash_key: u64,
    /// This dispatcher's position among those that share the slow-start budget.
    pub(super) slow_start_position: Option<u32>,
    /// Factor of the rank by this dispatcher's random preference.
    pub(super) affinity: f64,
}

/// When it was last known how much of an attempt was done, and that fraction.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgressMark {
    pub(super) at: Micros,
    pub(super) fraction_done: f64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Attempt {
    pub(super) worker: u32,
    pub(super) sent_at: Micros,
    /// Local slots at the worker fitted when it was sent, so its time shows the worker's rate.
    pub(super) fitted_slots: bool,
    pub(super) progress: Option<ProgressMark>,
    pub(super) is_in_flight: bool,
    pub(super) never_ran: bool,
    /// How long it was to take, in seconds, and whether it has taken far longer.
    pub(super) estimate: f64,
    pub(super) is_overdue: bool,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) slots: f64,
    /// The cost hint, or the usual time of its class, or 1.
    pub(super) work: f64,
    pub(super) has_hint: bool,
    /// When its full weight is lost, before the stretch.
    pub(super) objective_at: Micros,
    pub(super) deadline: Micros,
    pub(super) is_finished: bool,
    pub(super) attempts: ArrayVec<Attempt, MAX_TRACKED_ATTEMPTS>,
}

impl Request {
    /// The first attempt that may have run, or is still in flight.
    pub(super) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.is_in_flight || !attempt.never_ran)
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}

/// Requests rejected on arrival since the last attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RejectionStreak {
    pub(super) count: u32,
    /// When the first of them came.
    pub(super) started_at: Micros,
}

impl RejectionStreak {
    pub(super) fn add(&mut self, now: Micros) {
        if self.count == 0 {
            self.started_at = now;
        }
        self.count = self.count.saturating_add(1);
    }
}
