//! Affinity: a random preference for certain workers that each dispatcher of a large fleet draws for itself.
//!
//! Dispatchers with the same information would all select the same worker, and each would notice the pile-up
//! only when its own responses are late. Multiplying the rank of a worker by the dispatcher's own random
//! affinity spreads their requests.

/// Smallest fleet, in dispatchers, in which workers are ranked by affinity: from this size on, a dispatcher's
/// own requests reveal little about the load that the others put on a worker.
const LARGE_FLEET_SIZE: u32 = 16;
/// Exponent of the random affinity. A worker whose rank is 1.1 times that of another is selected
/// 1.1^(1 / exponent) times less often. At 0.1 too many dispatchers still select the same worker.
const AFFINITY_EXPONENT: f64 = 0.2;

/// This dispatcher's affinity for one worker: a factor of the worker's rank; lower means preferred.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Affinity(f64);

impl Default for Affinity {
    /// The neutral affinity of 1. It leaves the worker's rank unchanged in a small fleet; in a large fleet,
    /// this affinity is multiplied by the scale, as every affinity is.
    fn default() -> Self {
        Affinity(1.0)
    }
}

/// Draws affinities and applies them to the ranks of workers.
#[derive(Clone, Debug)]
pub(super) struct AffinityRules {
    is_large_fleet: bool,
    /// Factor by which affinities are multiplied so that the lowest affinity among the ready workers is about
    /// 1.
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

    /// Draws the affinity for a worker with a new hash key; the neutral one in a small fleet.
    pub(super) fn draw(&self, rng: &mut fastrand::Rng) -> Affinity {
        if !self.is_large_fleet {
            return Affinity::default();
        }
        // Multiplying the ranks by exponentially distributed values raised to the power `AFFINITY_EXPONENT`
        // makes a worker the lowest ranked with a probability that is proportional to its rank to the power
        // `-1 / AFFINITY_EXPONENT`.
        Affinity((-(1.0 - rng.f64()).ln()).powf(AFFINITY_EXPONENT))
    }

    /// Updates the scale for the number of ready workers. Removed workers are not counted: otherwise the
    /// scale would keep growing while workers are replaced over days.
    pub(super) fn set_ready_workers(&mut self, ready: usize) {
        if self.is_large_fleet {
            self.scale = (ready.max(1) as f64).powf(AFFINITY_EXPONENT);
        }
    }

    /// Returns the factor by which a worker's rank is multiplied.
    pub(super) fn rank_factor(&self, affinity: Affinity) -> f64 {
        affinity.0 * self.scale
    }
}

#[cfg(test)]
#[path = "../../tests/unit/affinity.rs"]
mod tests;
