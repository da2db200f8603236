//! The parts of the world, each on its own: time and chance come in as arguments.
pub mod arrivals;
pub mod chance;
pub mod fleet;
pub mod keys;
pub mod wire;
pub mod worker;
