//! Moving averages and sums. Nothing here decides: weights and windows come from the rules.
use crate::Micros;
use crate::time::to_seconds;
use std::collections::VecDeque;

/// Moves an exponential moving average toward a sample, which counts with this weight.
pub(super) fn move_average(average: &mut f64, sample: f64, weight: f64) {
    *average += (sample - *average) * weight;
}

/// The mean of two figures by their weights.
pub(super) fn weighted_mean(first: f64, first_weight: f64, second: f64, second_weight: f64) -> f64 {
    (first_weight * first + second_weight * second) / (first_weight + second_weight)
}

/// A moving average of logarithms, so that one odd sample moves it little.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogAverage {
    /// The average of the samples' logarithms.
    pub(super) log_mean: f64,
    /// How many samples it rests on, up to the inverse of the least weight given.
    pub(super) samples: f64,
    /// When the last sample came.
    pub(super) updated_at: Micros,
}

impl LogAverage {
    /// Adds a sample, given as its logarithm; the first ones count alike, later ones with `min_weight`.
    pub(super) fn add(&mut self, log_sample: f64, min_weight: f64, now: Micros) {
        self.samples += 1.0;
        self.log_mean += (log_sample - self.log_mean) * min_weight.max(1.0 / self.samples);
        self.samples = self.samples.min(1.0 / min_weight);
        self.updated_at = now;
    }
}

/// Lowest expected average by which is divided.
const MIN_EXPECTED: f64 = 1e-3;

/// The ratio of two moving averages.
#[derive(Clone, Copy, Debug)]
pub(super) struct AverageRatio {
    observed: f64,
    expected: f64,
}

impl AverageRatio {
    /// Starts both averages at one figure.
    pub(super) fn starting_at(figure: f64) -> Self {
        AverageRatio { observed: figure, expected: figure }
    }

    /// Adds a sample to each average.
    pub(super) fn add(&mut self, observed: f64, expected: f64, weight: f64) {
        move_average(&mut self.observed, observed, weight);
        move_average(&mut self.expected, expected, weight);
    }

    /// The ratio, at most `max` and at least its inverse.
    pub(super) fn ratio(&self, max: f64) -> f64 {
        (self.observed / self.expected.max(MIN_EXPECTED)).clamp(1.0 / max, max)
    }
}

/// Events a second, as an exponentially decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EventRate {
    per_second: f64,
    measured_at: Micros,
}

impl EventRate {
    /// Adds an event and gives the rate now; earlier events fade over the window.
    pub(super) fn add_event(&mut self, now: Micros, window_seconds: f64) -> f64 {
        let elapsed = to_seconds(now.saturating_sub(self.measured_at));
        self.per_second = self.per_second * (-elapsed / window_seconds).exp() + 1.0 / window_seconds;
        self.measured_at = now;
        self.per_second
    }
}

/// A sum over a sliding window, kept in steps so that its cost does not grow with the number of amounts.
#[derive(Clone, Debug, Default)]
pub(super) struct SlidingWindowSum {
    steps: VecDeque<WindowStep>,
}

#[derive(Clone, Copy, Debug)]
struct WindowStep {
    /// Until when the step's amounts count.
    expires_at: Micros,
    amount: f64,
}

impl SlidingWindowSum {
    /// Adds an amount that counts for one window of `steps` steps from the end of the present step.
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

    /// The sum of the amounts that still count after `instant`.
    pub(super) fn sum_after(&self, instant: Micros) -> f64 {
        self.steps.iter().filter(|step| step.expires_at > instant).map(|step| step.amount).sum()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/average.rs"]
mod tests;
