//! The load reports of a worker, and the worker's true state for the `oracle` policy.
use copperspread_dispatcher::{LoadReport, Micros, SECOND};

use super::Worker;
use super::job::TrueState;

impl Worker {
    /// Returns the worker's true state at the time `now`. The `oracle` policy uses the true states to select
    /// the worker that would finish a request first.
    pub fn true_state(&self, now: Micros) -> TrueState {
        let rate = self.spec.speed * self.capacity_fraction(now) / self.slowdown;
        let usable = self.spec.cores.min(self.spec.slots);
        let is_free = self.waiting.is_empty() && self.used_slots < usable;
        let wait = if is_free { 0.0 } else { self.backlog() / (usable * rate) };
        TrueState { wait, rate, accepts_jobs: self.accepts_jobs() && !self.is_stuck }
    }

    /// Renews the load report with which the worker answers load queries. Must be called once per `interval`.
    /// Each call of `noise` draws the random error of one reported value, such as the number of free slots.
    pub fn refresh_load_report(&mut self, now: Micros, interval: Micros, mut noise: impl FnMut() -> f64) {
        let slots = self.spec.slots;
        let offered = f64::from(std::mem::take(&mut self.offered_since_refresh));
        let offered_per_second = offered * SECOND as f64 / interval.max(1) as f64;
        let report = LoadReport {
            qps: Some((offered_per_second + noise()).max(0.0)),
            in_flight: Some((self.job_count() as f64 + noise()).max(0.0)),
            free_slots: Some((slots - self.used_slots + noise()).clamp(0.0, slots)),
            ..LoadReport::default()
        };
        self.refreshed_reports.push_back((now, report));
    }

    /// Returns the load report that answers a load query: the newest report that is at least `min_age` old.
    /// Returns `None` if no report is that old.
    pub fn answer_load_query(&mut self, now: Micros, min_age: Micros) -> Option<LoadReport> {
        let is_old_enough = |&(at, _): &(Micros, LoadReport)| at + min_age <= now;
        while self.refreshed_reports.get(1).is_some_and(is_old_enough) {
            self.refreshed_reports.pop_front();
        }
        self.refreshed_reports.front().filter(|report| is_old_enough(report)).map(|&(_, report)| report)
    }

    /// Returns the load report that the worker sends with a response. A new report is made if the last one is
    /// at least `refresh` old. `noise` then draws the random error of the reported number of free slots.
    pub fn load_report(&mut self, now: Micros, refresh: Micros, noise: impl FnOnce() -> f64) -> LoadReport {
        if now >= self.last_report.0 + refresh {
            let free = (self.spec.slots - self.used_slots).max(0.0);
            let report = LoadReport {
                free_slots: Some((free + noise()).clamp(0.0, self.spec.slots)),
                queue: Some(self.waiting.len() as f64),
                utilization: Some((self.used_slots / self.spec.cores).min(1.0)),
                ..LoadReport::default()
            };
            self.last_report = (now, report);
        }
        self.last_report.1
    }
}
