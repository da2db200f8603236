//! Slow start of workers: a new process has only a share of its capacity, and may fail from overload.
use copperspread_dispatcher::{Micros, SECOND};

use super::Worker;

impl Worker {
    /// Returns the share of its full capacity that the worker has now, from 0 to 1.
    pub fn capacity_fraction(&self, now: Micros) -> f64 {
        let Some(start) = self.started_at else { return 1.0 };
        let age = now.saturating_sub(start) as f64 / self.spec.slow_start_duration.max(1) as f64;
        let initial = self.spec.slow_start_fraction;
        (initial + (1.0 - initial) * age).min(1.0)
    }

    /// Returns the worker's current capacity, in core-seconds of work per second.
    pub fn capacity(&self, now: Micros) -> f64 {
        self.spec.cores.min(self.spec.slots) * self.spec.speed * self.capacity_fraction(now)
    }

    /// Records the load of a job that the worker gets during slow start, in core-seconds. Returns whether the
    /// worker fails from overload.
    ///
    /// The worker fails if it got too much load during the last `WorkerSpec::overload_window`. The limit is
    /// the work that the worker's current capacity can do in this time, times
    /// `WorkerSpec::overload_multiple`.
    pub(super) fn becomes_overloaded(&mut self, now: Micros, load: f64) -> bool {
        let Some(window) = self.spec.overload_window else { return false };
        if self.capacity_fraction(now) >= 1.0 {
            self.slow_start_load.clear();
            return false;
        }
        self.slow_start_load.push_back((now, load));
        while self.slow_start_load.front().is_some_and(|&(at, _)| at + window < now) {
            self.slow_start_load.pop_front();
        }
        let recent_load: f64 = self.slow_start_load.iter().map(|&(_, load)| load).sum();
        recent_load > self.spec.overload_multiple * self.capacity(now) * window as f64 / SECOND as f64
    }
}
