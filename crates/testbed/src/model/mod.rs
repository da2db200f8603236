//! Model of clients, workers and faults, shared by simulation and emulation.
//!
//! The model has no I/O and no clock: time and random streams are passed in as arguments.
pub mod arrivals;
pub mod connection_faults;
pub mod fleet;
pub mod idempotency_keys;
pub mod random;
pub mod scheduler_id;
pub mod worker;
