//! Offered load: the mean load of a request that arrives at this dispatcher, and the mean number of slots
//! that such a request occupies.
use super::average::move_average;
use super::constants::GROUP_GAIN;
use super::constants::SLOW_GAIN;

/// Moving averages over the offered requests: of their load, and of the number of slots that they occupy.
#[derive(Clone, Debug)]
pub(super) struct OfferedLoad {
    mean_request_load: f64,
    /// Number of requests in the mean load. The number stops growing at the inverse of [`GROUP_GAIN`].
    samples: f64,
    mean_request_slots: f64,
}

impl Default for OfferedLoad {
    fn default() -> Self {
        OfferedLoad { mean_request_load: 1.0, samples: 0.0, mean_request_slots: 1.0 }
    }
}

impl OfferedLoad {
    /// Adds a request to the averages. The mean load is the arithmetic mean of the first 100 requests and a
    /// moving average from then on.
    ///
    /// The work that may be sent to a worker that is warming up is divided into shares of a few mean loads.
    /// The mean load thus determines how many dispatchers get a share. A moving average over about 20
    /// requests fluctuates, and from a start at 1 it first has to reach the actual load. With such an
    /// average, the number of dispatchers would rise and fall within one overload window, the time over which
    /// the work sent to the worker is limited.
    pub(super) fn record(&mut self, work: f64, slots: f64) {
        self.samples = (self.samples + 1.0).min(1.0 / GROUP_GAIN);
        self.mean_request_load += (work * slots - self.mean_request_load) / self.samples;
        move_average(&mut self.mean_request_slots, slots, SLOW_GAIN);
    }

    /// Returns the mean load of the offered requests, in slot-seconds. A slot-second is the work that one
    /// slot does in one second on a standard core, the core to which cost hints refer. The load of a request
    /// is its work multiplied by the number of slots that it occupies.
    pub(super) fn mean_request_load(&self) -> f64 {
        self.mean_request_load
    }

    /// Returns the mean number of slots that an offered request occupies.
    pub(super) fn mean_request_slots(&self) -> f64 {
        self.mean_request_slots
    }
}

#[cfg(test)]
#[path = "../../tests/unit/offered_load.rs"]
mod tests;
