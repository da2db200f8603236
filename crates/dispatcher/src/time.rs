//! Time in whole microseconds. An instant counts from an arbitrary fixed origin. A duration is the difference
//! of two instants.

/// A number of microseconds: an instant on the caller's clock, or a duration.
pub type Micros = u64;

/// The number of microseconds in a second, for writing durations in seconds: `10 * SECOND`.
pub const SECOND: Micros = 1_000_000;

/// Converts microseconds to seconds.
pub(crate) fn to_seconds(duration: Micros) -> f64 {
    duration as f64 / SECOND as f64
}

/// Converts seconds to microseconds. A value out of range becomes the nearest valid number of microseconds,
/// and NaN becomes 0.
pub(crate) fn from_seconds(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}
