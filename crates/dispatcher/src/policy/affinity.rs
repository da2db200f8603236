//! Affinity: in a large fleet, dispatchers that know the same would all meet at one worker, of which each
//! hears only when its own responses come back late. So each also ranks by a random preference of its own.

/// From so many dispatchers on, local requests tell little of what the others have at a worker.
const LARGE_FLEET_SIZE: u32 = 16;
/// How much affinity weighs there: of two workers one that ranks 1.1 times as high is chosen 1.1 to the power
/// of 1 / this times as rarely. At 0.1 too many still meet at one; 0.35 was no better.
const AFFINITY_EXPONENT: f64 = 0.2;

/// This dispatcher's affinity for one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Affinity(f64);

impl Default for Affinity {
    /// That of a worker which is not preferred to others.
    fn default() -> Self {
        Affinity(1.0)
    }
}

/// How this dispatcher's affinities weigh.
#[derive(Clone, Debug)]
pub(super) struct AffinityRules {
    is_large_fleet: bool,
    /// With this factor the lowest affinity of the ready workers is about 1.
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

    /// Whether workers are ranked by affinity.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.is_large_fleet
    }

    /// Draws the affinity for a worker that was not known.
    pub(super) fn draw(&self, rng: &mut fastrand::Rng) -> Affinity {
        if !self.is_large_fleet {
            return Affinity::default();
        }
        // Of exponential figures to a power, each times a rank, the lowest is at a worker with a chance
        // that falls with its rank to the inverse power.
        Affinity((-(1.0 - rng.f64()).ln()).powf(AFFINITY_EXPONENT))
    }

    /// Notes how many workers are ready. Those that left do not count: a list that changes for days would
    /// raise the scale without end.
    pub(super) fn set_ready_workers(&mut self, ready: usize) {
        if self.is_large_fleet {
            self.scale = (ready.max(1) as f64).powf(AFFINITY_EXPONENT);
        }
    }

    /// The factor of a worker's rank.
    pub(super) fn rank_factor(&self, worker: Affinity) -> f64 {
        worker.0 * self.scale
    }
}

#[cfg(test)]
#[path = "../../tests/unit/affinity.rs"]
mod tests;
