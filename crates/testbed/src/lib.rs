//! The laboratory: a model of the world round a scheduler, a drive in virtual time, and a referee.
//!
//! ```text
//!   scenario.rs (TOML) ──► model/ ──► fleet, faults, arrivals, keys, workers, what breaks on the wire
//!                            │ events and effects, time as an argument
//!              ┌─────────────┴──────────────┐
//!           sim.rs                      emulation/
//!   virtual time, policy.rs        real time on loopback, the program's
//!   called directly                own processes (or the node with a policy)
//!              └─────────────┬──────────────┘
//!                 what clients and workers saw ──► referee.rs
//!                            │
//!        outcome.rs ──► compare.rs (paired by seed) ──► report.rs
//!                            ▲
//!                      experiment.rs (TOML: scenarios, variants, seeds; kept run by run)
//! ```
//!
//! `load.rs` sends the same arrivals to any address over HTTP; `cost.rs` measures the whole program
//! against `relay.rs`, which decides nothing.
//!
//! `members.rs` plays schedulers' membership on a network that loses, delays and cuts, apart from the above.
//!
//! The model does no I/O and reads no clock. All chance comes from one seed, with a stream for each
//! component, so that two variants of one experiment meet the same arrivals.
pub mod compare;
pub mod cost;
pub mod emulation;
pub mod experiment;
mod http_client;
mod job_request;
pub mod load;
pub mod membership_simulation;
pub mod model;
pub mod outcome;
pub mod policy;
pub mod relay;
pub mod report;
pub mod rule_checker;
pub mod scenario;
pub mod simulation;
pub mod startup;
pub mod trace;
