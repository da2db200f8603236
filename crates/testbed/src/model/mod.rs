//! The model of clients, workers and faults, which the simulation and the emulation share.
//!
//! The model does no I/O and reads no clock. Callers pass in the current time and the source of random
//! numbers.
pub mod arrivals;
pub mod connection_faults;
pub mod fleet;
pub mod idempotency_keys;
pub mod random;
pub mod scheduler_id;
pub mod worker;
