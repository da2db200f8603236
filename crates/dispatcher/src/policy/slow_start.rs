//! Slow start: limits the work that all dispatchers together send to a worker that is warming up.
//!
//! The slow-start budget of a worker is the work that all dispatchers together may send to the worker in an
//! overload window (see [`Settings::overload_window`]). The budget is divided into equal shares. For each
//! worker, the dispatchers are put in an order, and those with the lowest positions get one share each. Work
//! is measured in slot-seconds. A slot-second is the work that one slot does in one second on a standard
//! core, the core to which cost hints refer.
//!
//! `docs/slow-start.md` describes the design.
use super::average::SlidingWindowSum;
use crate::Micros;
use crate::Settings;
use crate::time::to_seconds;

/// Fraction of a worker's slow-start budget that all dispatchers together may use. The budget is the work
/// that may be sent to the worker while it is warming up. The rest is a margin, because dispatchers may
/// estimate the worker's capacity differently. No dispatcher exceeds its own share of the budget in any
/// overload window (see [`Settings::overload_window`]), because all the work that it sent in the last window
/// counts toward its share.
const SLOW_START_BUDGET_FRACTION: f64 = 0.9;
/// Divisor that limits the work that the notified dispatchers together send to a worker that is warming up. A
/// notified dispatcher is one that was notified of the worker's start. The other dispatchers do not limit
/// what they send.
///
/// Under the rules for slow start, an overload is the fault of the notified dispatchers only if they sent a
/// large part of the work: more than all the sent work divided by this constant. The notified dispatchers
/// are therefore meant to send at most the work that does not overload the worker, divided by this constant.
const SLOW_START_NOTIFIED_DIVISOR: f64 = 1.5;
/// Number of time steps into which the overload window is divided for summing sent work. The overload window
/// is the time over which the work sent to a worker that is warming up is compared with the worker's
/// capacity. Sent work counts for up to one step longer than the window.
const SLOW_START_WINDOW_STEPS: Micros = 32;
/// Smallest share of a worker's slow-start budget that a dispatcher gets, in requests of mean load. The
/// budget is the work that all dispatchers together may send to the worker. At most
/// [`SLOW_START_BUDGET_FRACTION`] of the budget is divided into shares. There are as many equal shares as
/// possible, each at least this large, but no more shares than dispatchers. If the work to divide is smaller
/// than this, there is a single share of all of that work.
const SLOW_START_SHARE_REQUESTS: f64 = 4.0;
/// Number of standard deviations in the assumed maximum number of dispatchers that hold a share of a worker's
/// slow-start budget. A dispatcher without an index in the fleet draws at random whether it holds a share.
/// For n shares, n dispatchers are expected to hold a share, with a standard deviation of about sqrt(n). The
/// assumed maximum is n plus this constant times sqrt(n), plus 2. More dispatchers hold a share in about one
/// of a million worker starts.
const SLOW_START_HOLDER_STD_DEVIATIONS: f64 = 5.0;
/// Fraction of its share of a worker's slow-start budget that a dispatcher uses if it has drawn the share at
/// random. The fraction is below 1, because another dispatcher may have drawn the same share and may also
/// send work. The fraction does not apply if there is a share for every dispatcher.
const SLOW_START_RANDOM_POSITION_FRACTION: f64 = 0.5;

/// Estimated capacity that a worker has once its slow start is over.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerCapacity {
    pub(super) slots: f64,
    /// Service rate of one slot, as a multiple of the rate of a standard core, the core to which cost hints
    /// refer.
    pub(super) service_rate: f64,
}

/// Divides the slow-start budgets of workers among the dispatchers. A slow-start budget is the work that all
/// dispatchers together may send to a worker that is warming up.
#[derive(Clone, Debug, Default)]
pub(super) struct SlowStartBudgets {
    rules: SlowStartRules,
    /// Start time of this dispatcher's process. What an earlier process of this dispatcher sent to a worker
    /// is not known. For one overload window (see [`Settings::overload_window`]) after this time, nothing is
    /// therefore sent to a worker that is warming up and started before this time.
    dispatcher_started_at: Option<Micros>,
}

/// The settings of the dispatcher that apply to slow start.
#[derive(Clone, Copy, Debug, Default)]
struct SlowStartRules {
    initial_capacity: f64,
    duration: Micros,
    overload_multiple: f64,
    window: Micros,
    fleet_size: u32,
    instance_index: Option<u32>,
}

/// Slow-start state of one worker, as this dispatcher keeps it.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerSlowStart {
    started_at: Option<Micros>,
    sent: SlidingWindowSum,
    hash_key: u64,
    /// Position of this dispatcher, from 0, in the worker's order of dispatchers. The dispatchers with the
    /// lowest positions may send work to the worker while it is warming up. The position is computed when it
    /// is first needed.
    position: Option<u32>,
}

/// How the work that may be sent to a worker that is warming up is divided among the dispatchers.
struct SlowStartShares {
    /// Number of equal shares into which the work that may be sent to the worker is divided. Each dispatcher
    /// has a position, from 0, in the worker's order of dispatchers. A dispatcher gets a share if its
    /// position is below this number.
    sharers: f64,
    /// Work that a dispatcher with a share may send to the worker in an overload window (see
    /// [`Settings::overload_window`]). All other dispatchers may send nothing. The unit is the slot-second,
    /// the work that one slot does in one second on a standard core, the core to which cost hints refer.
    share: f64,
}

impl WorkerSlowStart {
    /// Sets the worker's start time from the endpoint list. Returns whether the time shows that a new process
    /// of the worker has started. A listed time of 0 means that the worker started long ago.
    pub(super) fn set_started_at(&mut self, listed: Option<Micros>) -> bool {
        let started_at = listed.filter(|&at| at > 0);
        let is_new_process = started_at.is_some() && started_at != self.started_at;
        self.started_at = started_at;
        is_new_process
    }

    /// Sets the worker's hash key, a number that is the same for this worker at every dispatcher. Returns
    /// whether the key has changed.
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

    /// Records when this dispatcher's process started. The work that a dispatcher may send to a worker that
    /// is warming up is limited for each overload window (see [`Settings::overload_window`]). An earlier
    /// process of this dispatcher may have used up that limit, but what it sent is not known. For one
    /// overload window from the recorded time, nothing is therefore sent to a worker that is warming up and
    /// started before this process.
    pub(super) fn start(&mut self, now: Micros) {
        self.dispatcher_started_at = Some(now);
    }

    /// Returns whether a worker is in its slow-start period.
    pub(super) fn is_warming_up(&self, now: Micros, worker: &WorkerSlowStart) -> bool {
        worker.started_at.is_some_and(|at| now < at.saturating_add(self.rules.duration))
    }

    /// Records that this dispatcher sent a request to a worker. `load` is the request's number of slots
    /// multiplied by its running time in seconds on a standard core, the core to which cost hints refer. The
    /// load is recorded for every worker, because a later endpoint list may show that the worker had
    /// restarted before the request was sent.
    pub(super) fn record_sent(&self, now: Micros, worker: &mut WorkerSlowStart, load: f64) {
        worker.sent.add(now, self.rules.window, SLOW_START_WINDOW_STEPS, load);
    }

    /// Returns whether a request may be sent to a worker that is warming up. `load` is the request's number
    /// of slots multiplied by its running time in seconds on a standard core, the core to which cost hints
    /// refer.
    ///
    /// All dispatchers together must stay within the worker's slow-start budget, the work that may be sent to
    /// the worker, but none knows what the others send. The budget is therefore divided into shares of a few
    /// requests each. For each worker, the dispatchers are put in a different order. The first ones in this
    /// order get a share each, and stay within it.
    ///
    /// Simpler divisions fail in a large fleet. Equal shares for all dispatchers would be smaller than any
    /// request. If many dispatchers sent small requests at random, their sum would by chance exceed any
    /// budget.
    pub(super) fn admits(
        &self,
        now: Micros,
        worker: &mut WorkerSlowStart,
        load: f64,
        capacity: WorkerCapacity,
        mean_request_load: f64,
        rng: &mut fastrand::Rng,
    ) -> bool {
        let rules = self.rules;
        let hash_key = worker.hash_key;
        let position = *worker.position.get_or_insert_with(|| rules.position(hash_key, rng));
        // Work sent before the worker's last start does not count toward this dispatcher's share of the
        // worker's slow-start budget. An earlier process of the worker received that work.
        let from = now.max(worker.started_at.map_or(0, |at| at.saturating_add(rules.window)));
        let sent = worker.sent.sum_at(from);
        // The work that this dispatcher may send to the worker is limited for each time window of length
        // `rules.window`. If the dispatcher has started after the worker, its earlier process may have used
        // up the limit, but what it sent is not known. The new process therefore sends nothing to the worker
        // for one window from its own start. All work of the earlier process then lies outside the current
        // window and does not count.
        if let Some(dispatcher_started_at) = self.dispatcher_started_at
            && worker.started_at < self.dispatcher_started_at
            && now < dispatcher_started_at + rules.window
        {
            return false;
        }
        let budget = rules.budget(now, worker.started_at, capacity);
        let SlowStartShares { sharers, share } = rules.shares(budget, mean_request_load);
        f64::from(position) < sharers && sent + load <= share
    }
}

impl SlowStartRules {
    /// Computes this dispatcher's position, from 0, in the worker's order of dispatchers. The dispatchers
    /// with the lowest positions may send work to the worker while it is warming up. The order follows from
    /// rendezvous hashing: every dispatcher can compute a hash for each pair of dispatcher and worker. The
    /// dispatcher with the lowest hash has position 0.
    fn position(&self, hash_key: u64, rng: &mut fastrand::Rng) -> u32 {
        let fleet_size = self.fleet_size;
        let hash = |number: u32| fastrand::Rng::with_seed(hash_key ^ (u64::from(number) << 32)).u64(..);
        match self.instance_index {
            Some(local) if local < fleet_size => {
                let local_hash = hash(local);
                (0..fleet_size).filter(|&other| hash(other) < local_hash).count() as u32
            }
            // This dispatcher's index is not below the configured fleet size, which is the number of
            // dispatchers. The dispatchers with an index below the fleet size hold all positions below it. At
            // most as many positions as the fleet size get a share of the slow-start budget. This dispatcher,
            // at the next position, gets none.
            Some(_) => fleet_size,
            // A dispatcher without an index draws its position in the order of dispatchers at random. Two
            // dispatchers may thus hold the same position, and some positions are held by none.
            None => rng.u32(0..fleet_size),
        }
    }

    /// Returns the smallest capacity that a worker may have at `now`, as a fraction of its full capacity. The
    /// fraction grows during slow start and is 1 afterwards.
    fn capacity_fraction(&self, now: Micros, started_at: Option<Micros>) -> f64 {
        let Some(started_at) = started_at else { return 1.0 };
        let elapsed_seconds = to_seconds(now.saturating_sub(started_at));
        let elapsed = (elapsed_seconds / to_seconds(self.duration.max(1))).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * elapsed
    }

    /// Returns the slow-start budget: the work that may be sent to a worker without overloading it, in the
    /// overload window (see [`Settings::overload_window`]) that ends at `now`. The unit is the slot-second,
    /// the work that one slot does in one second on a standard core, the core to which cost hints refer. The
    /// budget is computed from the worker's capacity in the middle of that window.
    fn budget(&self, now: Micros, started_at: Option<Micros>, worker: WorkerCapacity) -> f64 {
        let fraction = self.capacity_fraction(now.saturating_sub(self.window / 2), started_at);
        let capacity = fraction * worker.slots * worker.service_rate;
        self.overload_multiple * capacity * to_seconds(self.window)
    }

    /// Computes how many dispatchers share a slow-start budget, the work that may be sent to a worker that is
    /// warming up. Also computes how much work each of them may send in an overload window (see
    /// [`Settings::overload_window`]).
    fn shares(&self, budget: f64, mean_request_load: f64) -> SlowStartShares {
        let allowed = budget + random_excess_allowance(budget, mean_request_load);
        // The target is the work that the dispatchers notified of the worker's start may send together. The
        // worker is overloaded if all dispatchers together send more than `allowed`. Under the rules for slow
        // start, the notified dispatchers are at fault only if they sent more than two thirds of all the work
        // sent. They are therefore never at fault if they send at most two thirds of `allowed`, whatever the
        // others send. `SLOW_START_NOTIFIED_DIVISOR`, 1.5, gives these two thirds.
        let target = (SLOW_START_BUDGET_FRACTION * budget).min(allowed / SLOW_START_NOTIFIED_DIVISOR);
        let fleet_size = f64::from(self.fleet_size);
        let min_share = SLOW_START_SHARE_REQUESTS * mean_request_load;
        let sharers = (target / min_share).clamp(1.0, fleet_size).floor();
        let share = target / sharers;
        if self.instance_index.is_some() || sharers >= fleet_size {
            return SlowStartShares { sharers, share };
        }
        // Each dispatcher draws its position in the worker's order of dispatchers at random, and several may
        // draw the same one. More than `sharers` dispatchers may thus have a position below `sharers`, which
        // allows them to send work to the worker. The share of each is reduced, so that all of them together
        // stay within `allowed`, the work that does not overload the worker.
        let holders = (sharers + SLOW_START_HOLDER_STD_DEVIATIONS * sharers.sqrt() + 2.0).min(fleet_size);
        let share = (share * SLOW_START_RANDOM_POSITION_FRACTION).min(allowed / holders);
        SlowStartShares { sharers, share }
    }
}

/// Returns the work beyond a worker's slow-start budget that is accepted as random variation. For a budget of
/// N requests of mean load, this is the work of 2 * sqrt(N) + 2 such requests.
///
/// Under the rules for slow start, a worker counts as overloaded only if more than an accepted excess is sent
/// beyond the budget. For N below 30, that excess is up to 3 * sqrt(N) + 3 requests. This function returns
/// less, as a margin: a dispatcher that estimates the worker's capacity too high also computes too high a
/// budget.
fn random_excess_allowance(budget: f64, mean_request_load: f64) -> f64 {
    2.0 * (budget * mean_request_load).sqrt() + 2.0 * mean_request_load
}

#[cfg(test)]
#[path = "../../tests/unit/slow_start.rs"]
mod tests;
