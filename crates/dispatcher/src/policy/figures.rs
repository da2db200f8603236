//! Constants shared by several policy modules, and validation of externally supplied numbers.
use crate::Micros;
use crate::SECOND;

/// Interval of the periodic refresh of all workers, chosen because service rates change over several seconds.
pub(super) const REFRESH_INTERVAL: Micros = SECOND;
/// Weight of one sample in a moving average over all requests or many workers: about the last 100 samples
/// contribute.
pub(super) const GROUP_GAIN: f64 = 0.01;
/// Weight of one sample in a slowly moving average: about the last 20 samples contribute.
pub(super) const SLOW_GAIN: f64 = 0.05;
/// Largest valid value of a cost hint (in seconds), a listed size, a slot count or another number of a load
/// report; a larger value is treated as absent.
pub(super) const MAX_VALID_VALUE: f64 = 1e4;

/// Returns an externally supplied value if it is finite, above 0 and at most `max`.
pub(super) fn validated(value: Option<f64>, max: f64) -> Option<f64> {
    value.filter(|&x| x.is_finite() && x > 0.0 && x <= max)
}

#[cfg(test)]
#[path = "../../tests/unit/figures.rs"]
mod tests;
