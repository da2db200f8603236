//! Instants and spans as integers, so that every member of a test can have a clock of its own.

/// An instant or a span in microseconds. Instants count from any moment that is the same for all calls of one
/// process. The clock must go on while the machine sleeps.
pub type Micros = u64;

/// A millisecond.
pub const MILLISECOND: Micros = 1_000;

/// A second.
pub const SECOND: Micros = 1_000_000;
