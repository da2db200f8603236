//! Affinity: a random preference of a dispatcher for certain workers, used in fleets with many dispatchers.
//!
//! Dispatchers with the same information would all select the same worker. Each of them would notice the
//! overload of that worker only when its own responses are late. Each dispatcher therefore draws a random
//! affinity for every worker, independently of the other dispatchers, and multiplies the worker's rank by
//! this affinity. As a result, the dispatchers select different workers.

/// Number of dispatchers from which on a fleet counts as large. In a large fleet, workers are ranked by
/// affinity. With 16 or more dispatchers, a dispatcher's own requests reveal little about the load that the
/// others put on a worker. Without affinity, many dispatchers would then select the same worker.
const LARGE_FLEET_SIZE: u32 = 16;
/// Exponent of the random affinity. The affinity is an exponentially distributed random value raised to this
/// power. A worker whose rank is 1.1 times that of another worker is selected less often by the factor
/// 1.1^(1/exponent). At an exponent of 0.1, too many dispatchers would select the same worker.
const AFFINITY_EXPONENT: f64 = 0.2;

/// This dispatcher's affinity for one worker: a number by which the worker's rank is multiplied. The worker
/// with the lowest rank is selected, so a low affinity means a preferred worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Affinity(f64);

impl Default for Affinity {
    /// Returns the neutral affinity of 1, which leaves a worker's rank unchanged in a small fleet. In a large
    /// fleet, every affinity, including this one, is multiplied by a scale factor when ranks are computed.
    fn default() -> Self {
        Affinity(1.0)
    }
}

/// Draws affinities and applies them to the ranks of workers.
#[derive(Clone, Debug)]
pub(super) struct AffinityRules {
    is_large_fleet: bool,
    /// Factor by which every affinity is multiplied. In a large fleet, the factor makes the lowest affinity
    /// among the ready workers about 1. In a small fleet, the factor is 1.
    scale: f64,
}

impl Default for AffinityRules {
    fn default() -> Self {
        AffinityRules { is_large_fleet: false, scale: 1.0 }
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

    /// Draws this dispatcher's affinity for a worker. The affinity is drawn when the endpoint list gives the
    /// worker a new hash key, the number that identifies the worker at all dispatchers. In a small fleet, the
    /// result is always the neutral affinity of 1.
    pub(super) fn draw(&self, rng: &mut fastrand::Rng) -> Affinity {
        if !self.is_large_fleet {
            return Affinity::default();
        }
        // The affinity is an exponentially distributed random value raised to the power `AFFINITY_EXPONENT`.
        // A worker then has the lowest product of rank and affinity with a probability that is proportional
        // to `rank.powf(-1.0 / AFFINITY_EXPONENT)`.
        Affinity((-(1.0 - rng.f64()).ln()).powf(AFFINITY_EXPONENT))
    }

    /// Updates the factor that makes the lowest affinity among the ready workers about 1. The more affinities
    /// are drawn, the lower is the lowest of them, so the factor grows with `ready`, the number of ready
    /// workers. If removed workers counted too, the factor would keep growing while workers are replaced over
    /// days.
    pub(super) fn set_ready_workers(&mut self, ready: usize) {
        if self.is_large_fleet {
            self.scale = (ready.max(1) as f64).powf(AFFINITY_EXPONENT);
        }
    }

    /// Returns the factor by which the rank of a worker with this affinity is multiplied.
    pub(super) fn rank_factor(&self, affinity: Affinity) -> f64 {
        affinity.0 * self.scale
    }
}

#[cfg(test)]
#[path = "../../tests/unit/affinity.rs"]
mod tests;
