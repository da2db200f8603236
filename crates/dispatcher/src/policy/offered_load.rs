//! The mean of the requests that this dispatcher is offered.
use super::average::move_average;
use super::figures::GROUP_GAIN;
use super::figures::SLOW_GAIN;

/// Mean work and slots of the offered requests.
#[derive(Clone, Debug)]
pub(super) struct OfferedLoad {
    mean_request_load: f64,
    /// The requests that the mean load rests on, up to the inverse of [`GROUP_GAIN`].
    samples: f64,
    mean_request_slots: f64,
}

impl Default for OfferedLoad {
    fn default() -> Self {
        OfferedLoad { mean_request_load: 1.0, samples: 0.0, mean_request_slots: 1.0 }
    }
}

impl OfferedLoad {
    /// Counts a request. The mean load is a plain mean of the first hundred requests: a mean of the last
    /// twenty, from 1, made the count of dispatchers that share a slow-start budget rise and fall within a
    /// window (`docs/slow-start.md`).
    pub(super) fn record(&mut self, work: f64, slots: f64) {
        self.samples = (self.samples + 1.0).min(1.0 / GROUP_GAIN);
        self.mean_request_load += (work * slots - self.mean_request_load) / self.samples;
        move_average(&mut self.mean_request_slots, slots, SLOW_GAIN);
    }

    /// Mean work times slots of a request.
    pub(super) fn mean_request_load(&self) -> f64 {
        self.mean_request_load
    }

    /// Mean slots of a request.
    pub(super) fn mean_request_slots(&self) -> f64 {
        self.mean_request_slots
    }
}

#[cfg(test)]
#[path = "../../tests/unit/offered_load.rs"]
mod tests;
