//! Offered load: averages over the requests that arrive at this dispatcher. One average is the mean number of
//! slots that a request occupies. The other is the mean load of a request, which is the number of its slots
//! multiplied by its running time on a standard core.
use super::average::move_average;
use super::constants::GROUP_GAIN;
use super::constants::SLOW_GAIN;

/// Averages over the requests that arrive at this dispatcher: of their load, and of the number of slots that
/// they occupy. The load of a request is the number of its slots multiplied by its running time on a standard
/// core.
#[derive(Clone, Debug)]
pub(super) struct OfferedLoad {
    mean_request_load: f64,
    /// Number of requests that count in the mean load of a request. The number stops growing at the inverse
    /// of [`GROUP_GAIN`]. From then on, the mean is a moving average over about that many requests.
    samples: f64,
    mean_request_slots: f64,
}

impl Default for OfferedLoad {
    fn default() -> Self {
        OfferedLoad { mean_request_load: 1.0, samples: 0.0, mean_request_slots: 1.0 }
    }
}

impl OfferedLoad {
    /// Adds a request to the mean load and to the mean number of slots of a request. The mean load is the
    /// arithmetic mean of the first 100 requests. From then on, it is a moving average over about 100
    /// requests.
    ///
    /// The mean load must be steady. It determines how many dispatchers may send requests to a worker that is
    /// warming up, and this number should not change within one overload window. The overload window is the
    /// time over which the work sent to the worker is limited. Each of these dispatchers may send the work of
    /// a few requests of mean load, and the sum for all dispatchers is limited.
    ///
    /// An average over only 20 requests, as is used for the mean number of slots, would vary too much. A
    /// moving average from the first request on would start at the assumed load of 1 and take many requests
    /// to reach the actual load.
    pub(super) fn record(&mut self, work: f64, slots: f64) {
        self.samples = (self.samples + 1.0).min(1.0 / GROUP_GAIN);
        self.mean_request_load += (work * slots - self.mean_request_load) / self.samples;
        move_average(&mut self.mean_request_slots, slots, SLOW_GAIN);
    }

    /// Returns the mean load of the offered requests, in slot-seconds. The load of a request is the number of
    /// slots that the request occupies, multiplied by its running time in seconds on a standard core. A
    /// standard core is the core to which cost hints refer.
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
