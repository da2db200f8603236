//! Models clients, workers and faults for simulation and emulation alike. No I/O and no clock: time and
//! random streams come in as arguments.
pub mod arrivals;
pub mod connection_faults;
pub mod fleet;
pub mod idempotency_keys;
pub mod random;
pub mod scheduler_id;
pub mod worker;
