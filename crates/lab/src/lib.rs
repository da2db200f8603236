//! The laboratory: a model of the world round a scheduler, a drive in virtual time, and a referee.
//!
//! ```text
//!   scenario.rs (TOML) ──► model::world ──► clients, workers, faults, network, discovery
//!                              │ events and effects, time as an argument
//!                              ▼
//!   policy.rs ◄── Event ── sim::engine ── what clients and workers saw ──► referee.rs
//!   (the module, ── Action ─►   │
//!    baselines)                 └──► outcome.rs ──► compare.rs (paired by seed)
//! ```
//!
//! `load.rs` sends the same arrivals over real sockets.
//!
//! The model does no I/O and reads no clock. All chance comes from one seed, with a stream for each
//! component, so that two variants of one experiment meet the same arrivals.
pub mod compare;
pub mod emulate;
pub mod load;
pub mod model;
pub mod outcome;
pub mod policy;
pub mod referee;
pub mod report;
pub mod scenario;
pub mod sim;
