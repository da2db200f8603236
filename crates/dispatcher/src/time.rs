//! Time in whole microseconds. Instants count from an arbitrary fixed origin; durations are their
//! differences.

/// A number of microseconds: an instant on the caller's clock, or a duration.
pub type Micros = u64;

/// The number of microseconds in a second, for writing durations in seconds: `10 * SECOND`.
pub const SECOND: Micros = 1_000_000;

/// Converts microseconds to seconds.
pub(crate) fn to_seconds(duration: Micros) -> f64 {
    duration as f64 / SECOND as f64
}

/// Converts seconds to microseconds. Values out of range saturate; NaN becomes 0.
pub(crate) fn from_seconds(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}
