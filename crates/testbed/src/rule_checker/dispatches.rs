//! Two rules for dispatches. Schedulers send no attempts to draining workers. To a worker in slow start, they
//! send no more load than its slow-start budget allows.
use std::collections::VecDeque;

use copperspread_dispatcher::{Micros, SECOND, WorkerId};
use rustc_hash::FxHashMap;

use super::violations::{Rule, Violations};
use super::{DRAIN_GRACE, TIMING_GRACE};
use crate::model::scheduler_id::SchedulerId;

/// The slow-start budget: how much load all schedulers together may send to a worker in slow start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBudget {
    /// Share of its full capacity that a worker has at its start, from 0 to 1.
    pub initial_capacity: f64,
    /// Time from the start of a worker until it has its full capacity, in microseconds.
    pub duration: Micros,
    /// Factor of the limit on the load that schedulers may send to a worker in slow start. Within
    /// `overload_window`, they may send this factor times the work that the worker's current capacity can do
    /// in that time.
    pub overload_multiple: f64,
    /// Length of the sliding window over which the load sent to a worker is summed, in microseconds.
    pub overload_window: Micros,
}

impl SlowStartBudget {
    /// Returns the work, in core-seconds, that schedulers may send to a worker during a time of the length
    /// `overload_window`. `capacity` is the worker's full capacity, in core-seconds of work per second. `age`
    /// is the time since the worker's start, in microseconds.
    fn core_seconds(&self, capacity: f64, age: Micros) -> f64 {
        let capacity_fraction =
            self.initial_capacity + (1.0 - self.initial_capacity) * age as f64 / self.duration as f64;
        self.overload_multiple * capacity * capacity_fraction * self.overload_window as f64 / SECOND as f64
    }
}

/// Checks that no scheduler sends attempts to a worker that drains or was removed. A scheduler may still send
/// attempts for [`DRAIN_GRACE`] after it is notified of the drain or removal. The time of this notification
/// is stored for each scheduler and worker.
#[derive(Default)]
pub(super) struct DrainRule {
    unavailable_since: FxHashMap<SchedulerAndWorker, Micros>,
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct SchedulerAndWorker {
    scheduler: SchedulerId,
    worker: WorkerId,
}

impl DrainRule {
    pub(super) fn availability_notified(
        &mut self,
        now: Micros,
        scheduler: SchedulerId,
        worker: WorkerId,
        is_available: bool,
    ) {
        let key = SchedulerAndWorker { scheduler, worker };
        if is_available {
            self.unavailable_since.remove(&key);
        } else {
            self.unavailable_since.entry(key).or_insert(now);
        }
    }

    pub(super) fn check(
        &self,
        now: Micros,
        scheduler: SchedulerId,
        worker: WorkerId,
        violations: &mut Violations,
    ) {
        let Some(&since) = self.unavailable_since.get(&SchedulerAndWorker { scheduler, worker }) else {
            return;
        };
        if now > since + DRAIN_GRACE + TIMING_GRACE {
            let since_notified_s = (now - since) as f64 / SECOND as f64;
            violations.record(Rule::NoDispatchWhileDraining, now, || {
                format!("worker {}, told {since_notified_s:.2} s before", worker.0)
            });
        }
    }
}

struct SlowStartWorker {
    started_at: Micros,
    capacity: f64,
    /// The attempts that were sent to the worker during the last [`SlowStartBudget::overload_window`], each
    /// with its time of sending and its work in core-seconds.
    sent: VecDeque<(Micros, f64)>,
    is_violated: bool,
}

/// Checks that schedulers send no more load to a worker in slow start than its slow-start budget allows.
/// Stores the workers in slow start, and the load that was sent to each.
pub(super) struct SlowStartRule {
    budget: Option<SlowStartBudget>,
    workers: FxHashMap<WorkerId, SlowStartWorker>,
}

impl SlowStartRule {
    pub(super) fn new(budget: Option<SlowStartBudget>) -> SlowStartRule {
        SlowStartRule { budget, workers: FxHashMap::default() }
    }

    pub(super) fn worker_started(&mut self, now: Micros, worker: WorkerId, capacity: f64) {
        let state = SlowStartWorker { started_at: now, capacity, sent: VecDeque::new(), is_violated: false };
        self.workers.insert(worker, state);
    }

    pub(super) fn check(
        &mut self,
        now: Micros,
        worker: WorkerId,
        core_seconds: f64,
        violations: &mut Violations,
    ) {
        let Some(budget) = self.budget else { return };
        let Some(state) = self.workers.get_mut(&worker) else { return };
        let age = now.saturating_sub(state.started_at);
        if age >= budget.duration {
            self.workers.remove(&worker);
            return;
        }
        state.sent.push_back((now, core_seconds));
        while state.sent.front().is_some_and(|&(at, _)| at + budget.overload_window < now) {
            state.sent.pop_front();
        }
        let allowed = budget.core_seconds(state.capacity, age);
        let sent: f64 = state.sent.iter().map(|&(_, core_seconds)| core_seconds).sum();
        // At most one violation is recorded for each start of a worker. The attempts that follow a violation
        // belong to the same overload.
        if sent > allowed && !state.is_violated {
            state.is_violated = true;
            violations.record(Rule::WithinSlowStartBudget, now, || {
                format!("worker {}: {sent:.1} of {allowed:.1} core-seconds", worker.0)
            });
        }
    }
}
