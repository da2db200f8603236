//! Slow start: what all dispatchers together may send to a worker that is warming up. The reasons and the
//! measurements are in `docs/slow-start.md`.
use super::average::SlidingWindowSum;
use crate::Micros;
use crate::Settings;
use crate::time::to_seconds;

/// Fraction of a slow-start budget that all may use. What one sends counts for a whole window, so that none
/// sends more than its part in any; the rest is for dispatchers that judge the worker's capacity unlike.
const SLOW_START_BUDGET_FRACTION: f64 = 0.9;
/// An overload is laid to dispatchers notified of the start if they sent more than all over this.
const SLOW_START_NOTIFIED_DIVISOR: f64 = 1.5;
/// Steps of the window in which sent work is summed: it counts up to one step longer than a window.
const SLOW_START_WINDOW_STEPS: Micros = 32;
/// A dispatcher's part of a budget holds so many usual requests, or all of it where that is less. Parts of
/// 1.2, 2 and 2.5 requests gave less (`docs/large-fleet.md`, "Tried, and not taken").
const SLOW_START_PART_REQUESTS: f64 = 4.0;
/// By chance a random position is held by more dispatchers than one. More than this many standard deviations
/// above the mean, and two more, hold those of the sharers once in a million starts.
const SLOW_START_HOLDER_DEVIATIONS: f64 = 5.0;
/// What a dispatcher with a random position uses of its part where not all share: others may hold it too.
const SLOW_START_RANDOM_POSITION_FRACTION: f64 = 0.5;

/// What is known of a worker's full capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerCapacity {
    pub(super) slots: f64,
    /// Work a second on one slot.
    pub(super) service_rate: f64,
}

/// Shares out the slow-start budgets of workers.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowStartBudgets {
    rules: SlowStartRules,
    /// When this dispatcher started.
    dispatcher_started_at: Option<Micros>,
}

/// The settings that slow start goes by.
#[derive(Clone, Copy, Debug, Default)]
struct SlowStartRules {
    initial_capacity: f64,
    duration: Micros,
    overload_multiple: f64,
    window: Micros,
    fleet_size: u32,
    instance_index: Option<u32>,
}

/// What slow start knows of one worker.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerSlowStart {
    started_at: Option<Micros>,
    sent: SlidingWindowSum,
    hash_key: u64,
    /// This dispatcher's position among those that share the budget, once it was needed.
    position: Option<u32>,
}

/// How a slow-start budget is shared.
struct SlowStartShares {
    /// Dispatchers that share it: those with the first positions.
    sharers: f64,
    /// Work that each may send in a window.
    part: f64,
}

impl WorkerSlowStart {
    /// Takes the worker's start as listed, where 0 is long ago. Whether it is the start of a new process.
    pub(super) fn set_started_at(&mut self, listed: Option<Micros>) -> bool {
        let started_at = listed.filter(|&at| at > 0);
        let is_new_process = started_at.is_some() && started_at != self.started_at;
        self.started_at = started_at;
        is_new_process
    }

    /// Takes the figure that tells the worker from others. Whether it is another one than before.
    pub(super) fn set_hash_key(&mut self, hash_key: u64) -> bool {
        if hash_key == self.hash_key {
            return false;
        }
        self.hash_key = hash_key;
        self.position = None;
        true
    }
}

impl SlowStartBudgets {
    pub(super) fn new(settings: &Settings) -> Self {
        let rules = SlowStartRules {
            initial_capacity: settings.slow_start_initial_capacity,
            duration: settings.slow_start_duration,
            overload_multiple: settings.overload_multiple,
            window: settings.overload_window.max(1),
            fleet_size: settings.fleet_size,
            instance_index: settings.instance_index,
        };
        SlowStartBudgets { rules, ..SlowStartBudgets::default() }
    }

    /// Notes when this dispatcher started: what an earlier process of it sent is not known.
    pub(super) fn start(&mut self, now: Micros) {
        self.dispatcher_started_at = Some(now);
    }

    pub(super) fn is_warming_up(&self, now: Micros, worker: &WorkerSlowStart) -> bool {
        worker.started_at.is_some_and(|at| now < at.saturating_add(self.rules.duration))
    }

    /// Counts work that is sent, to any worker, as each may turn out to have started anew.
    pub(super) fn record_sent(&self, now: Micros, worker: &mut WorkerSlowStart, work: f64) {
        worker.sent.add(now, self.rules.window, SLOW_START_WINDOW_STEPS, work);
    }

    /// Whether a request of so much work may be sent to a worker that is warming up.
    ///
    /// All dispatchers together must stay inside the worker's budget and none knows of the others. So as many
    /// of them share it as leaves each a part that holds a few requests, in the order of their positions, and
    /// none sends more than its part: in a large fleet, equal parts of all would be smaller than any request,
    /// and chance goes beyond any budget with small requests of many.
    pub(super) fn admits(
        &self,
        now: Micros,
        worker: &mut WorkerSlowStart,
        work: f64,
        capacity: WorkerCapacity,
        mean_request_load: f64,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let rules = self.rules;
        let hash_key = worker.hash_key;
        let position = *worker.position.get_or_insert_with(|| rules.position(hash_key, rng));
        // Not what its earlier process got.
        let from = now.max(worker.started_at.map_or(0, |at| at.saturating_add(rules.window)));
        let sent = worker.sent.sum_after(from);
        // A dispatcher that restarted since has forgotten what it sent, which may have been its whole part.
        if let Some(dispatcher_started_at) = self.dispatcher_started_at
            && worker.started_at < self.dispatcher_started_at
            && now < dispatcher_started_at + rules.window
        {
            return false;
        }
        let budget = rules.budget(now, worker.started_at, capacity);
        let SlowStartShares { sharers, part } = rules.shares(budget, mean_request_load);
        f64::from(position) < sharers && sent + work <= part
    }
}

impl SlowStartRules {
    /// This dispatcher's position among all for a worker, from 0, by rendezvous hashing: each pair of the two
    /// has a random figure that all can compute, and the lowest comes first.
    fn position(&self, hash_key: u64, rng: &mut fastrand::Rng) -> u32 {
        let fleet_size = self.fleet_size;
        let hash = |number: u32| fastrand::Rng::with_seed(hash_key ^ (u64::from(number) << 32)).u64(..);
        match self.instance_index {
            Some(local) if local < fleet_size => {
                let local_hash = hash(local);
                (0..fleet_size).filter(|&other| hash(other) < local_hash).count() as u32
            }
            // More dispatchers run than the settings name. Those that they name hold all positions.
            Some(_) => fleet_size,
            // Without a number: a random position, as often shared as left out.
            None => rng.u32(0..fleet_size),
        }
    }

    /// The fraction of its capacity that a worker has by now at the least, 1 once it is warm.
    fn capacity_fraction(&self, now: Micros, started_at: Option<Micros>) -> f64 {
        let Some(started_at) = started_at else { return 1.0 };
        let elapsed_seconds = to_seconds(now.saturating_sub(started_at));
        let elapsed = (elapsed_seconds / to_seconds(self.duration.max(1))).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * elapsed
    }

    /// Work that a worker bears in a window, by its capacity in the middle of the one that ends now.
    fn budget(&self, now: Micros, started_at: Option<Micros>, worker: WorkerCapacity) -> f64 {
        let fraction = self.capacity_fraction(now.saturating_sub(self.window / 2), started_at);
        let capacity = fraction * worker.slots * worker.service_rate;
        self.overload_multiple * capacity * to_seconds(self.window)
    }

    /// What one of the dispatchers that share a budget may send in a window, and how many do.
    fn shares(&self, budget: f64, mean_request_load: f64) -> SlowStartShares {
        let allowed = budget + work_left_to_chance(budget, mean_request_load);
        // Of an overload the notified dispatchers must not have sent over two thirds, and the others a third.
        let target = (SLOW_START_BUDGET_FRACTION * budget).min(allowed / SLOW_START_NOTIFIED_DIVISOR);
        let fleet_size = f64::from(self.fleet_size);
        let usual_part = SLOW_START_PART_REQUESTS * mean_request_load;
        let sharers = (target / usual_part).clamp(1.0, fleet_size).floor();
        let part = target / sharers;
        if self.instance_index.is_some() || sharers >= fleet_size {
            return SlowStartShares { sharers, part };
        }
        // More dispatchers may hold a random position than there are positions.
        let holders = (sharers + SLOW_START_HOLDER_DEVIATIONS * sharers.sqrt() + 2.0).min(fleet_size);
        let part = (part * SLOW_START_RANDOM_POSITION_FRACTION).min(allowed / holders);
        SlowStartShares { sharers, part }
    }
}

/// Work beyond a budget that is laid to chance: 2 x root of N + 2 requests of mean work. Where N is under
/// 30 the platform allows 3 x root of N + 3; the rest is for dispatchers that judge the worker unlike.
fn work_left_to_chance(budget: f64, mean_request_load: f64) -> f64 {
    2.0 * (budget * mean_request_load).sqrt() + 2.0 * mean_request_load
}

#[cfg(test)]
#[path = "../../tests/unit/slow_start.rs"]
mod tests;
