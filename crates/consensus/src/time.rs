//! Instants and durations as integers, so that a test can give each member its own clock.

/// An instant or a duration in microseconds. Instants count from an arbitrary origin that is fixed within one
/// process. The clock must keep running while the machine is suspended.
pub type Micros = u64;

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1_000;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
