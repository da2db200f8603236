//! The time that a client spent on a request before this dispatcher saw it.
use super::average::move_average;
use crate::Micros;
use crate::RequestClass;
use crate::time::to_seconds;

/// Weight of one request in the fraction of those that arrive when their whole objective seems spent.
const LATE_RETRY_GAIN: f64 = 0.05;
/// Largest fraction that can be retries of so late; beyond it, clients wait less long than they might.
const MAX_LATE_RETRY_FRACTION: f64 = 0.08;
/// A request counts as its client's first if it has all but one part in so many of the longest time left.
const FIRST_REQUEST_PARTS: Micros = 1_000;

/// Tells clients' retries from first requests by the time that they have left.
#[derive(Clone, Debug, Default)]
pub(super) struct LateRetries {
    longest_time_left_by_class: Vec<Micros>,
    /// Fraction of requests that arrive when their whole latency objective seems spent.
    late_fraction: f64,
}

impl LateRetries {
    pub(super) fn new(class_count: usize) -> Self {
        LateRetries { longest_time_left_by_class: vec![0; class_count], late_fraction: 0.0 }
    }

    /// Time that the client spent before. Where every request of a class is shortened, the time left says
    /// nothing unless it falls below the longest.
    pub(super) fn time_spent_before(
        &mut self,
        class_index: usize,
        class: &RequestClass,
        time_left: Micros,
        objective_seconds: f64,
    ) -> Micros {
        let longest = &mut self.longest_time_left_by_class[class_index];
        *longest = (*longest).max(time_left);
        let is_first = time_left >= *longest - *longest / FIRST_REQUEST_PARTS;
        let spent = if is_first { 0 } else { class.deadline.saturating_sub(time_left) };
        // Many clients may wait less long than their class allows: taken for time spent before, the rest
        // would leave none of the objective, and all of them would be rejected.
        let is_late_retry = to_seconds(spent) >= objective_seconds;
        move_average(&mut self.late_fraction, f64::from(is_late_retry), LATE_RETRY_GAIN);
        if is_late_retry && self.late_fraction > MAX_LATE_RETRY_FRACTION { 0 } else { spent }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/late_retries.rs"]
mod tests;
