//! The parts of the world, each on its own: time and chance come in as arguments.
pub mod arrivals;
pub mod connection_faults;
pub mod fleet;
pub mod idempotency_keys;
pub mod random;
pub mod worker;
