//! Checks the rules on dispatches: none to draining workers, and within the budget to those that warm up.
use std::collections::VecDeque;

use copperspread_dispatcher::{Micros, SECOND, WorkerId};
use rustc_hash::FxHashMap;

use super::violations::{Rule, Violations};
use super::{DRAIN_GRACE, TIMING_GRACE};
use crate::model::scheduler_id::SchedulerId;

/// What all schedulers together may send to a worker that is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartBudget {
    /// The share of its capacity that a worker has at its start.
    pub initial_capacity: f64,
    /// The time until it has its full capacity.
    pub duration: Micros,
    /// At most this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... within any interval of this length.
    pub overload_window: Micros,
}

impl SlowStartBudget {
    /// Core-seconds that may be sent within the window to a worker of this capacity and age.
    fn core_seconds(&self, capacity: f64, age: Micros) -> f64 {
        let capacity_fraction =
            self.initial_capacity + (1.0 - self.initial_capacity) * age as f64 / self.duration as f64;
        self.overload_multiple * capacity * capacity_fraction * self.overload_window as f64 / SECOND as f64
    }
}

/// The workers of which schedulers were notified that they take no work, and since when.
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
            let late_s = (now - since) as f64 / SECOND as f64;
            violations.record(Rule::NoDispatchWhileDraining, now, || {
                format!("worker {}, told {late_s:.2} s before", worker.0)
            });
        }
    }
}

struct WarmingWorker {
    started_at: Micros,
    capacity: f64,
    /// Time and core-seconds of each attempt within the window.
    sent: VecDeque<(Micros, f64)>,
    is_violated: bool,
}

/// The workers that are warming up, and what they were sent.
pub(super) struct SlowStartRule {
    budget: Option<SlowStartBudget>,
    warming: FxHashMap<WorkerId, WarmingWorker>,
}

impl SlowStartRule {
    pub(super) fn new(budget: Option<SlowStartBudget>) -> SlowStartRule {
        SlowStartRule { budget, warming: FxHashMap::default() }
    }

    pub(super) fn worker_started(&mut self, now: Micros, worker: WorkerId, capacity: f64) {
        let warming = WarmingWorker { started_at: now, capacity, sent: VecDeque::new(), is_violated: false };
        self.warming.insert(worker, warming);
    }

    pub(super) fn check(
        &mut self,
        now: Micros,
        worker: WorkerId,
        core_seconds: f64,
        violations: &mut Violations,
    ) {
        let Some(budget) = self.budget else { return };
        let Some(warming) = self.warming.get_mut(&worker) else { return };
        let age = now.saturating_sub(warming.started_at);
        if age >= budget.duration {
            self.warming.remove(&worker);
            return;
        }
        warming.sent.push_back((now, core_seconds));
        while warming.sent.front().is_some_and(|&(at, _)| at + budget.overload_window < now) {
            warming.sent.pop_front();
        }
        let allowed = budget.core_seconds(warming.capacity, age);
        let sent: f64 = warming.sent.iter().map(|&(_, core_seconds)| core_seconds).sum();
        // Recorded once for each start: what follows is the same overload.
        if sent > allowed && !warming.is_violated {
            warming.is_violated = true;
            violations.record(Rule::WithinSlowStartBudget, now, || {
                format!("worker {}: {sent:.1} of {allowed:.1} core-seconds", worker.0)
            });
        }
    }
}
