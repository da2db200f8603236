//! Instants and spans of time.

/// An instant in milliseconds of Unix time, or a span in milliseconds.
pub type Millis = i64;

/// A minute.
pub const MINUTE: Millis = 60_000;
/// An hour.
pub const HOUR: Millis = 60 * MINUTE;
/// A day of 24 hours.
pub const DAY: Millis = 24 * HOUR;
