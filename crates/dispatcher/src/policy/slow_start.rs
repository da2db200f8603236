//! Slow start: what all dispatchers together may send to a worker that is warming up.
use super::Dispatcher;
use super::request::Request;
use super::worker::Worker;
use crate::{Micros, time::to_seconds};

/// Fraction of a slow-start budget that all may use. What one sends counts for a whole window, so that none
/// sends more than its part in any; the rest is for dispatchers that judge the worker's capacity unlike.
const SLOW_START_BUDGET_FRACTION: f64 = 0.9;
/// An overload is laid to dispatchers notified of the start if they sent more than all over this.
const SLOW_START_NOTIFIED_DIVISOR: f64 = 1.5;
const SLOW_START_WINDOW_STEPS: Micros = 32;
/// A dispatcher's part of a budget holds so many usual requests, or all of it where that is less.
const SLOW_START_PART_REQUESTS: f64 = 4.0;
/// By chance a random position is held by more dispatchers than one. More than this many standard deviations
/// above the mean, and two more, hold those of the sharers once in a million starts.
const SLOW_START_HOLDER_DEVIATIONS: f64 = 5.0;

/// How a slow-start budget is shared.
struct SlowStartShares {
    /// Dispatchers that share it: those with the first positions.
    sharers: f64,
    /// Work that each may send in a window.
    part: f64,
}

impl Dispatcher {
    pub(super) fn is_warming_up(&self, now: Micros, worker: &Worker) -> bool {
        worker.started_at.is_some_and(|at| now < at.saturating_add(self.settings.slow_start_duration))
    }

    /// The fraction of its capacity that a worker has by now at the least, 1 once it is warm.
    fn capacity_fraction(&self, now: Micros, worker: &Worker) -> f64 {
        let Some(started_at) = worker.started_at else { return 1.0 };
        let duration = self.settings.slow_start_duration.max(1);
        let initial = self.settings.slow_start_initial_capacity;
        let elapsed = (to_seconds(now.saturating_sub(started_at)) / to_seconds(duration)).min(1.0);
        initial + (1.0 - initial) * elapsed
    }

    fn overload_window(&self) -> Micros {
        self.settings.overload_window.max(1)
    }

    /// For any worker, as each may turn out to have started anew.
    pub(super) fn record_slow_start_work(&mut self, now: Micros, index: usize, work: f64) {
        let window = self.overload_window();
        self.workers[index].slow_start_sent.add(now, window, SLOW_START_WINDOW_STEPS, work);
    }

    /// This dispatcher's position among all for a worker, from 0, by rendezvous hashing: each pair of the two
    /// has a random figure that all can compute, and the lowest comes first.
    fn slow_start_position(&mut self, index: usize) -> u32 {
        if let Some(position) = self.workers[index].slow_start_position {
            return position;
        }
        let fleet_size = self.settings.fleet_size;
        let key = self.workers[index].hash_key;
        let hash = |number: u32| fastrand::Rng::with_seed(key ^ (u64::from(number) << 32)).u64(..);
        let position = match self.settings.instance_index {
            Some(local) if local < fleet_size => {
                (0..fleet_size).filter(|&other| hash(other) < hash(local)).count() as u32
            }
            // More dispatchers run than the settings name. Those that they name hold all positions.
            Some(_) => fleet_size,
            // Without a number: a random position, as often shared as left out.
            None => self.rng.u32(0..fleet_size),
        };
        self.workers[index].slow_start_position = Some(position);
        position
    }

    /// Work that a worker bears in a window, by its capacity in the middle of the one that ends now.
    fn slow_start_budget(&self, now: Micros, worker: &Worker) -> f64 {
        let window = self.overload_window();
        let slots = self.kinds[worker.kind as usize].slots.unwrap_or(1.0);
        let fraction = self.capacity_fraction(now.saturating_sub(window / 2), worker);
        let capacity = fraction * slots * worker.service_rate;
        self.settings.overload_multiple * capacity * to_seconds(window)
    }

    /// Work beyond a budget that is laid to chance: 2 x root of N + 2 requests of mean work. Where N is under
    /// 30 the platform allows 3 x root of N + 3; the rest is for dispatchers that judge the worker unlike.
    fn slow_start_chance(&self, budget: f64) -> f64 {
        let mean_load = self.offered_load.mean_request_load();
        2.0 * (budget * mean_load).sqrt() + 2.0 * mean_load
    }

    /// What one of the dispatchers that share a budget may send in a window, and how many do.
    fn slow_start_shares(&self, budget: f64) -> SlowStartShares {
        let allowed = budget + self.slow_start_chance(budget);
        // Of an overload the notified dispatchers must not have sent over two thirds, and the others a third.
        let target = (SLOW_START_BUDGET_FRACTION * budget).min(allowed / SLOW_START_NOTIFIED_DIVISOR);
        let fleet_size = f64::from(self.settings.fleet_size);
        let mean_load = self.offered_load.mean_request_load();
        let sharers = (target / (SLOW_START_PART_REQUESTS * mean_load)).clamp(1.0, fleet_size).floor();
        let part = target / sharers;
        if self.settings.instance_index.is_some() || sharers >= fleet_size {
            return SlowStartShares { sharers, part };
        }
        // More dispatchers may hold a random position than there are positions.
        let holders = (sharers + SLOW_START_HOLDER_DEVIATIONS * sharers.sqrt() + 2.0).min(fleet_size);
        SlowStartShares { sharers, part: (part * 0.5).min(allowed / holders) }
    }

    /// All dispatchers together must stay inside the worker's budget and none knows of the others. So as many
    /// of them share it as leaves each a part that holds a few requests, in the order of their positions, and
    /// none sends more than its part: in a large fleet, equal parts of all would be smaller than any request,
    /// and chance goes beyond any budget with small requests of many.
    pub(super) fn slow_start_admits(&mut self, now: Micros, index: usize, request: &Request) -> bool {
        let position = self.slow_start_position(index);
        let window = self.overload_window();
        let worker = &self.workers[index];
        // Not what its earlier process got.
        let from = now.max(worker.started_at.map_or(0, |at| at.saturating_add(window)));
        let sent = worker.slow_start_sent.sum_after(from);
        // A dispatcher that restarted since has forgotten what it sent, which may have been its whole part.
        if worker.started_at < self.started_at && now < self.started_at.unwrap_or(now) + window {
            return false;
        }
        let budget = self.slow_start_budget(now, worker);
        let SlowStartShares { sharers, part } = self.slow_start_shares(budget);
        f64::from(position) < sharers && sent + request.work * request.slots <= part
    }
}
