//! Instants and durations of the membership protocol.

/// An instant or a duration, in microseconds. Instants count from an arbitrary origin that is the same for
/// all calls.
pub type Micros = u64;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
