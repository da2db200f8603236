//! Offered load: the mean load of a request that arrives at this dispatcher, and the mean number of slots
//! that such a request occupies.
use super::average::move_average;
use super::constants::GROUP_GAIN;
use super::constants::SLOW_GAIN;

/// Moving averages of the load and the slots of the offered requests.
#[derive(Clone, Debug)]
pub(super) struct OfferedLoad {
    mean_request_load: f64,
    /// Number of requests in the mean load, at most the inverse of [`GROUP_GAIN`].
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
    /// moving average from then on. The number of dispatchers that may send to a worker that is warming up
    /// depends on the mean load. With a moving average over about 20 requests that starts at 1, this number
    /// would rise and fall within one overload window, the time over which the work sent to such a worker is
    /// limited.
    pub(super) fn record(&mut self, work: f64, slots: f64) {
        self.samples = (self.samples + 1.0).min(1.0 / GROUP_GAIN);
        self.mean_request_load += (work * slots - self.mean_request_load) / self.samples;
        move_average(&mut self.mean_request_slots, slots, SLOW_GAIN);
    }

    /// Mean load of a request: its work times its slots, in slot-seconds on a standard core.
    pub(super) fn mean_request_load(&self) -> f64 {
        self.mean_request_load
    }

    /// Mean number of slots that a request occupies.
    pub(super) fn mean_request_slots(&self) -> f64 {
        self.mean_request_slots
    }
}

#[cfg(test)]
#[path = "../../tests/unit/offered_load.rs"]
mod tests;
