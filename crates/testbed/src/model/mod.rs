//! The model that simulation and emulation share: clients, workers and faults. Time and random streams come in
//! as arguments.
pub mod arrivals;
pub mod connection_faults;
pub mod fleet;
pub mod idempotency_keys;
pub mod random;
pub mod scheduler_id;
pub mod worker;
