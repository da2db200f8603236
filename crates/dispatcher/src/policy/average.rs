//! Moving averages and sums over sliding windows. Callers pass the sample weights and the window lengths.
use crate::Micros;
use crate::time::to_seconds;
use std::collections::VecDeque;

/// Adds a sample to an exponential moving average. The new average is the old average times `1 - weight` plus
/// the sample times `weight`. The weight lies between 0 and 1.
pub(super) fn move_average(average: &mut f64, sample: f64, weight: f64) {
    *average += (sample - *average) * weight;
}

/// Returns the mean of `first` and `second`, weighted by `first_weight` and `second_weight`.
pub(super) fn weighted_mean(first: f64, first_weight: f64, second: f64, second_weight: f64) -> f64 {
    (first_weight * first + second_weight * second) / (first_weight + second_weight)
}

/// A moving average of the logarithms of samples. The logarithms limit the effect of outliers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogAverage {
    /// The average of the samples' logarithms.
    pub(super) log_mean: f64,
    /// Number of samples in the average. The number stops growing at `1 / min_weight`, where `min_weight` is
    /// the argument of [`LogAverage::add`].
    pub(super) samples: f64,
    /// Time at which the last sample was added to the average.
    pub(super) updated_at: Micros,
}

impl LogAverage {
    /// Adds a sample, given as its logarithm. All samples have equal weights until the average contains `1 /
    /// min_weight` samples. From then on, each new sample has the weight `min_weight`.
    pub(super) fn add(&mut self, log_sample: f64, min_weight: f64, now: Micros) {
        self.samples += 1.0;
        self.log_mean += (log_sample - self.log_mean) * min_weight.max(1.0 / self.samples);
        self.samples = self.samples.min(1.0 / min_weight);
        self.updated_at = now;
    }
}

/// Lower bound of the average of expected values in an [`AverageRatio`]. That average is a divisor and must
/// not be 0.
const MIN_EXPECTED: f64 = 1e-3;

/// Ratio of the observed values of a quantity to its expected values. The ratio is the moving average of the
/// observed values divided by the moving average of the expected values.
#[derive(Clone, Copy, Debug)]
pub(super) struct AverageRatio {
    observed: f64,
    expected: f64,
}

impl AverageRatio {
    /// Creates a ratio of 1 whose two moving averages both start at `value`.
    pub(super) fn starting_at(value: f64) -> Self {
        AverageRatio { observed: value, expected: value }
    }

    /// Adds an observed value and an expected value, each to its own moving average. Both have the same
    /// weight.
    pub(super) fn add(&mut self, observed: f64, expected: f64, weight: f64) {
        move_average(&mut self.observed, observed, weight);
        move_average(&mut self.expected, expected, weight);
    }

    /// Returns the moving average of the observed values divided by that of the expected values. The result
    /// is limited to the range from `1 / max` to `max`.
    pub(super) fn ratio(&self, max: f64) -> f64 {
        (self.observed / self.expected.max(MIN_EXPECTED)).clamp(1.0 / max, max)
    }
}

/// Moving average of the number of events per second. Older events count exponentially less.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventRate {
    per_second: f64,
    measured_at: Micros,
}

impl EventRate {
    /// Adds an event at the time `now` and returns the current rate, in events per second. The contribution
    /// of earlier events decays exponentially with the time constant `window_seconds`.
    pub(super) fn add_event(&mut self, now: Micros, window_seconds: f64) -> f64 {
        let elapsed = to_seconds(now.saturating_sub(self.measured_at));
        self.per_second = self.per_second * (-elapsed / window_seconds).exp() + 1.0 / window_seconds;
        self.measured_at = now;
        self.per_second
    }
}

/// A sum of amounts over a sliding time window. The amounts of one time step are stored as one number, so the
/// cost of computing the sum does not grow with the number of amounts.
#[derive(Clone, Debug, Default)]
pub(super) struct SlidingWindowSum {
    steps: VecDeque<WindowStep>,
}

/// The sum of the amounts added in one time step.
#[derive(Clone, Copy, Debug)]
struct WindowStep {
    /// Time at which the amounts of this time step leave the sliding window and no longer count in its sum.
    expires_at: Micros,
    amount: f64,
}

impl SlidingWindowSum {
    /// Adds an amount to the current time step. The amount counts until one window length after the end of
    /// that step. The window has the length `window` and is divided into `steps` time steps.
    pub(super) fn add(&mut self, now: Micros, window: Micros, steps: Micros, amount: f64) {
        let step = (window / steps).max(1);
        let expires_at = (now / step + 1) * step + window;
        match self.steps.back_mut().filter(|last| last.expires_at == expires_at) {
            Some(last) => last.amount += amount,
            None => self.steps.push_back(WindowStep { expires_at, amount }),
        }
        while self.steps.front().is_some_and(|first| first.expires_at <= now) {
            self.steps.pop_front();
        }
    }

    /// Returns the sum of the amounts that are still in the window at `instant`.
    pub(super) fn sum_at(&self, instant: Micros) -> f64 {
        self.steps.iter().filter(|step| step.expires_at > instant).map(|step| step.amount).sum()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/average.rs"]
mod tests;
