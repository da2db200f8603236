//! Late retries: estimates how much of a request's deadline the client spent on earlier tries.
use super::average::move_average;
use crate::Micros;
use crate::RequestClass;
use crate::time::to_seconds;

/// Weight of one request in the fraction of late retries: about the last 20 requests contribute.
const LATE_RETRY_GAIN: f64 = 0.05;
/// Largest plausible fraction of requests that are late retries. Above this fraction, clients are assumed to
/// use shorter deadlines than their class allows.
const MAX_LATE_RETRY_FRACTION: f64 = 0.08;
/// Divisor of the tolerance for first requests. A request counts as its client's first try if its time left
/// falls short of the longest time left seen in its class by at most that longest time divided by this
/// constant.
const FIRST_REQUEST_TOLERANCE_DIVISOR: Micros = 1_000;

/// Distinguishes clients' retries from first requests by the time that their clients still wait.
#[derive(Clone, Debug, Default)]
pub(super) struct LateRetries {
    longest_time_left_by_class: Vec<Micros>,
    /// Fraction of requests that seem to have spent their whole latency objective before arrival.
    late_fraction: f64,
}

impl LateRetries {
    pub(super) fn new(class_count: usize) -> Self {
        LateRetries { longest_time_left_by_class: vec![0; class_count], late_fraction: 0.0 }
    }

    /// Returns the time that a client spent on earlier tries of a request, given that the client gives up
    /// after `time_left`. The returned time is 0 if `time_left` is about the longest one seen in the class,
    /// because clients may use a shorter deadline for all their requests. It is also 0 if the request seems
    /// to have spent its whole latency objective and the same holds for implausibly many requests.
    pub(super) fn time_spent_before(
        &mut self,
        class_index: usize,
        class: &RequestClass,
        time_left: Micros,
        objective_seconds: f64,
    ) -> Micros {
        let longest = &mut self.longest_time_left_by_class[class_index];
        *longest = (*longest).max(time_left);
        let is_first = time_left >= *longest - *longest / FIRST_REQUEST_TOLERANCE_DIVISOR;
        let spent = if is_first { 0 } else { class.deadline.saturating_sub(time_left) };
        // Many clients may use shorter deadlines than their class allows. If the difference between the
        // class's deadline and `time_left` were treated as time spent on earlier tries, nothing would be left
        // of the latency objective and all requests of these clients would be rejected.
        let is_late_retry = to_seconds(spent) >= objective_seconds;
        move_average(&mut self.late_fraction, f64::from(is_late_retry), LATE_RETRY_GAIN);
        if is_late_retry && self.late_fraction > MAX_LATE_RETRY_FRACTION { 0 } else { spent }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/late_retries.rs"]
mod tests;
