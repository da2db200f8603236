//! The unit of time.

/// An instant or a duration in microseconds. Instants count from an arbitrary moment that is the same for all calls.
pub type Micros = u64;

/// One second.
pub const SECOND: Micros = 1_000_000;
