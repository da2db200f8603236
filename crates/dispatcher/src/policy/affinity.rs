//! Affinity: in a large fleet, dispatchers that know the same would all meet at one worker, of which each
//! hears only when its own responses come back late. So each also ranks by a random preference of its own.

/// From so many dispatchers on, local requests tell little of what the others have at a worker.
const LARGE_FLEET_SIZE: u32 = 16;
/// How much affinity weighs there: of two workers one that ranks 1.1 times as high is chosen 1.1 to the power
/// of 1 / this times as rarely. At 0.1 too many still meet at one; 0.35 was no better.
const AFFINITY_EXPONENT: f64 = 0.2;

/// This dispatcher's affinity for each worker.
#[derive(Clone, Debug)]
pub(super) struct AffinityTable {
    is_large_fleet: bool,
    /// By worker.
    affinities: Vec<f64>,
    /// With this factor the lowest affinity of the ready workers is about 1.
    scale: f64,
}

impl Default for AffinityTable {
    fn default() -> Self {
        AffinityTable { is_large_fleet: false, affinities: Vec::new(), scale: 1.0 }
    }
}

impl AffinityTable {
    pub(super) fn new(fleet_size: u32) -> Self {
        AffinityTable { is_large_fleet: fleet_size >= LARGE_FLEET_SIZE, ..AffinityTable::default() }
    }

    /// Whether workers are ranked by affinity.
    pub(super) fn is_large_fleet(&self) -> bool {
        self.is_large_fleet
    }

    /// Makes room for so many workers, none of which is preferred.
    pub(super) fn resize(&mut self, worker_count: usize) {
        self.affinities.resize(worker_count, 1.0);
    }

    /// Draws the affinity for a worker that was not known.
    pub(super) fn draw(&mut self, worker: usize, rng: &mut fastrand::Rng) {
        if self.is_large_fleet {
            // Of exponential figures to a power, each times a rank, the lowest is at a worker with a chance
            // that falls with its rank to the inverse power.
            self.affinities[worker] = (-(1.0 - rng.f64()).ln()).powf(AFFINITY_EXPONENT);
        }
    }

    /// Notes how many workers are ready. Those that left do not count: a list that changes for days would
    /// raise the scale without end.
    pub(super) fn set_ready_workers(&mut self, ready: usize) {
        if self.is_large_fleet {
            self.scale = (ready.max(1) as f64).powf(AFFINITY_EXPONENT);
        }
    }

    /// The factor of a worker's rank.
    pub(super) fn rank_factor(&self, worker: usize) -> f64 {
        self.affinities[worker] * self.scale
    }
}

#[cfg(test)]
#[path = "../../tests/unit/affinity.rs"]
mod tests;
