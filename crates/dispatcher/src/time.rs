//! Time as the policy counts it: whole microseconds. An instant counts from any fixed start; spans are
//! differences.

/// Microseconds: an instant on the caller's clock, or a span.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;

/// A span in seconds.
pub(crate) fn to_seconds(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// The span of some seconds; figures out of range saturate, NaN is 0.
pub(crate) fn from_seconds(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}
