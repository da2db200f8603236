//! Constants shared by several policy modules, and validation of externally supplied numbers.
use crate::Micros;
use crate::SECOND;

/// Interval of the periodic refresh, which updates the failure rates and service rates of all workers. One
/// second is short enough because service rates change over several seconds.
pub(super) const REFRESH_INTERVAL: Micros = SECOND;
/// Weight of one sample in a moving average over all requests or many workers: about the last 100 samples
/// contribute.
pub(super) const GROUP_GAIN: f64 = 0.01;
/// Weight of one sample in the moving averages of load ratios, rejection rates and slot counts: about the
/// last 20 samples contribute.
pub(super) const SLOW_GAIN: f64 = 0.05;
/// Largest valid value of an externally supplied number. Such numbers are a cost hint (in seconds), the
/// measure of a worker's capacity in the endpoint list, a request's number of slots, and the values in a load
/// report. A larger number counts as absent.
pub(super) const MAX_VALID_VALUE: f64 = 1e4;

/// Returns an externally supplied value if it is finite, above 0 and at most `max`, and `None` otherwise.
pub(super) fn validated(value: Option<f64>, max: f64) -> Option<f64> {
    value.filter(|&x| x.is_finite() && x > 0.0 && x <= max)
}

#[cfg(test)]
#[path = "../../tests/unit/constants.rs"]
mod tests;
