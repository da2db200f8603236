//! Affinity: a random preference of a dispatcher for certain workers, used in fleets with many dispatchers.
//!
//! Dispatchers with the same information would all select the same worker. Each of them would notice the
//! overload of that worker only when its own responses are late. Each dispatcher therefore draws a random
//! affinity for every worker, independently of the other dispatchers, and multiplies the worker's rank by
//! this affinity. As a result, the dispatchers select different workers.

/// Number of dispatchers from which on a fleet counts as large. In a large fleet, each dispatcher multiplies
/// the rank of each worker by a random affinity. With 16 or more dispatchers, a dispatcher's own requests
/// reveal little about the load that the others put on a worker. Most of what the dispatchers know is then
/// the same for all. Without the random factor, many of them would select the same worker.
const LARGE_FLEET_SIZE: u32 = 16;
/// Exponent of the random affinity. The affinity is an exponentially distributed random value raised to this
/// power. Each worker's rank is multiplied by an affinity, and the worker with the lowest product is
/// selected. A worker whose rank is 1.1 times that of another worker is therefore selected less often, by the
/// factor 1.1^(1/exponent). At an exponent of 0.2 this factor is 1.6. At an exponent of 0.1 it would be 2.6,
/// and too many dispatchers would select the same worker.
const AFFINITY_EXPONENT: f64 = 0.2;

/// This dispatcher's affinity for one worker: a number by which the worker's rank is multiplied. The worker
/// with the lowest rank is selected, so a low affinity means a preferred worker.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Affinity(f64);

impl Default for Affinity {
    /// Returns an affinity of 1. A worker's rank is multiplied by the affinity and by
    /// [`AffinityRules::scale`]. With fewer than [`LARGE_FLEET_SIZE`] dispatchers, that scale is 1, so the
    /// rank stays unchanged.
    fn default() -> Self {
        Affinity(1.0)
    }
}

/// Draws a random factor for each worker, the affinity of this dispatcher for the worker, and applies the
/// factor to the worker's rank.
#[derive(Clone, Debug)]
pub(super) struct AffinityRules {
    is_large_fleet: bool,
    /// Factor by which every affinity is multiplied. An affinity is a random factor for the rank of one
    /// worker. With at least [`LARGE_FLEET_SIZE`] dispatchers, the scale makes the lowest affinity among the
    /// ready workers about 1. Ranks then stay comparable with the ranks of workers that are warming up, to
    /// which no affinity is applied. With fewer dispatchers, all affinities are 1, and so is the scale.
    scale: f64,
    /// Highest affinity of the workers that this dispatcher prefers. `None` if it prefers none to the others,
    /// because the fleet is small or has few ready workers.
    preferred_limit: Option<Affinity>,
}

impl Default for AffinityRules {
    fn default() -> Self {
        AffinityRules { is_large_fleet: false, scale: 1.0, preferred_limit: None }
    }
}

impl AffinityRules {
    pub(super) fn new(fleet_size: u32) -> Self {
        AffinityRules { is_large_fleet: fleet_size >= LARGE_FLEET_SIZE, ..AffinityRules::default() }
    }

    /// Returns whether the fleet is large enough for workers to be ranked by affinity.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.is_large_fleet
    }

    /// Draws this dispatcher's affinity for a worker, a random factor by which the worker's rank is
    /// multiplied. The affinity is drawn when the endpoint list gives the worker a new hash key, the number
    /// that identifies the worker at all dispatchers. With fewer than [`LARGE_FLEET_SIZE`] dispatchers, the
    /// result is always 1: a dispatcher's own requests then reveal enough about the load of the workers.
    pub(super) fn draw(&self, rng: &mut fastrand::Rng) -> Affinity {
        if !self.is_large_fleet {
            return Affinity::default();
        }
        // The affinity is an exponentially distributed random value raised to the power `AFFINITY_EXPONENT`.
        // Each worker's rank, a time in seconds, is multiplied by its own affinity, and the worker with the
        // lowest product is selected. The probability that a worker is selected is then proportional to
        // `rank.powf(-1.0 / AFFINITY_EXPONENT)`.
        Affinity((-(1.0 - rng.f64()).ln()).powf(AFFINITY_EXPONENT))
    }

    /// Updates the scale by which all affinities are multiplied. An affinity is a random factor for the rank
    /// of one worker. The scale makes the lowest affinity among the ready workers about 1. The more
    /// affinities are drawn, the lower the lowest of them is. The scale therefore grows with `ready`, the
    /// number of ready workers. If removed workers counted too, the scale would keep growing while workers
    /// are replaced over days.
    pub(super) fn set_ready_workers(&mut self, ready: usize) {
        if self.is_large_fleet {
            self.scale = (ready.max(1) as f64).powf(AFFINITY_EXPONENT);
        }
    }

    /// Determines which workers this dispatcher prefers to the others: the `max_preferred` ready workers with
    /// the lowest affinities, or all workers if no more are ready. `ready` holds the affinities of all ready
    /// workers.
    pub(super) fn set_preferred_workers(&mut self, mut ready: Vec<Affinity>, max_preferred: usize) {
        self.preferred_limit = (self.is_large_fleet && ready.len() > max_preferred).then(|| {
            let (_, highest, _) =
                ready.select_nth_unstable_by(max_preferred - 1, |left, right| left.0.total_cmp(&right.0));
            *highest
        });
    }

    /// Returns whether this dispatcher prefers a worker with the given affinity to other workers, or has no
    /// such preference.
    pub(super) fn is_preferred(&self, affinity: Affinity) -> bool {
        self.preferred_limit.is_none_or(|limit| affinity <= limit)
    }

    /// Returns the factor by which a worker's rank is multiplied. The factor is `affinity`, which this
    /// dispatcher has drawn at random for the worker, multiplied by the scale for all affinities.
    pub(super) fn rank_factor(&self, affinity: Affinity) -> f64 {
        affinity.0 * self.scale
    }
}

#[cfg(test)]
#[path = "../../tests/unit/affinity.rs"]
mod tests;
