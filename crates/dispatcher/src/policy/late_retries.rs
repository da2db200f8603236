//! Late retries: requests that a client repeats after it has spent the whole latency objective on earlier
//! tries. This module estimates how much time the client spent on earlier tries of a request.
use super::average::move_average;
use crate::Micros;
use crate::RequestClass;
use crate::time::to_seconds;

/// Weight of one request in the moving average of the fraction of late retries: about the last 20 requests
/// contribute. A late retry is a request whose client has spent the whole latency objective on earlier tries.
const LATE_RETRY_GAIN: f64 = 0.05;
/// Largest plausible fraction of late retries, which are requests whose clients have spent the whole latency
/// objective on earlier tries. Above this fraction, clients are assumed to use shorter deadlines than their
/// class allows. Requests that look like late retries are then treated as first tries.
const MAX_LATE_RETRY_FRACTION: f64 = 0.08;
/// Divisor that sets the tolerance for recognizing a client's first try of a request. The time left until the
/// client gives up is compared with the longest such time seen in the class. A request counts as a first try
/// if the difference is at most the longest time divided by this constant.
const FIRST_REQUEST_TOLERANCE_DIVISOR: Micros = 1_000;

/// Recognizes clients' retries by the time left until the client gives up. A retry has less time left than a
/// first try.
#[derive(Clone, Debug, Default)]
pub(super) struct LateRetries {
    longest_time_left_by_class: Vec<Micros>,
    /// Fraction of requests whose clients seem to have spent the whole latency objective on earlier tries.
    late_fraction: f64,
}

impl LateRetries {
    pub(super) fn new(class_count: usize) -> Self {
        LateRetries { longest_time_left_by_class: vec![0; class_count], late_fraction: 0.0 }
    }

    /// Returns the time that a client is assumed to have spent on earlier tries of a request. For a retry,
    /// this is the deadline of the request's class minus `time_left`, the time until the client gives up. For
    /// a first try, the result is 0.
    ///
    /// A request counts as a first try if `time_left` is about as long as the longest `time_left` seen in the
    /// class so far. The class's deadline is not used to recognize a first try, because clients may use a
    /// shorter deadline for all their requests.
    ///
    /// A client may seem to have spent at least `objective_seconds`, the latency objective of the request. A
    /// response after the latency objective is late. If more than [`MAX_LATE_RETRY_FRACTION`] of the requests
    /// look like this, they are taken for first tries of clients that use shorter deadlines. The result is
    /// then 0.
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
        // Some clients may use shorter deadlines than their class allows. Their first tries have as little
        // time left as retries of other clients, so time seems to have been spent on earlier tries. The
        // returned time is deducted from the latency objective. For these clients, nothing might be left of
        // the objective, and all their requests would be rejected. The result is therefore 0 if too many
        // requests look like late retries.
        let is_late_retry = to_seconds(spent) >= objective_seconds;
        move_average(&mut self.late_fraction, f64::from(is_late_retry), LATE_RETRY_GAIN);
        if is_late_retry && self.late_fraction > MAX_LATE_RETRY_FRACTION { 0 } else { spent }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/late_retries.rs"]
mod tests;
