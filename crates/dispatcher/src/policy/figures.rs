//! Figures that several rules have in common, and the check of figures from outside.
use crate::Micros;
use crate::SECOND;

/// Interval of the periodic refresh of all workers: short beside the seconds in which rates change.
pub(super) const REFRESH_INTERVAL: Micros = SECOND;
/// Weight of one sample in a mean over all requests or many workers: about the last hundred count.
pub(super) const GROUP_GAIN: f64 = 0.01;
/// Weight of one sample in a mean that moves slowly: about the last twenty count.
pub(super) const SLOW_GAIN: f64 = 0.05;
/// Largest valid count of slots, and hint in seconds; beyond it they count as absent.
pub(super) const MAX_FIGURE: f64 = 1e4;

/// A figure from outside, if it is one that can be meant.
pub(super) fn validated(figure: Option<f64>, max: f64) -> Option<f64> {
    figure.filter(|&x| x.is_finite() && x > 0.0 && x <= max)
}

#[cfg(test)]
#[path = "../../tests/unit/figures.rs"]
mod tests;
