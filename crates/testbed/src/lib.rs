//! The testbed: a model of workers, clients and faults, a simulation and an emulation of it, and a rule checker.
//!
//! ```text
//!   scenario (TOML) ──► model ──► fleet, faults, arrivals, idempotency keys, workers, connection faults
//!                         │ events and effects, time as an argument
//!           ┌─────────────┴──────────────┐
//!      simulation                    emulation
//!   virtual time, policies        real time on loopback, the program's
//!   called directly               own processes (or the proxy with a policy)
//!           └─────────────┬──────────────┘
//!              what clients and workers saw ──► rule_checker
//!                         │
//!              outcome ──► compare (paired by seed) ──► report
//!                         ▲
//!                    experiment (TOML: scenarios, variants, seeds; results kept run by run)
//! ```
//!
//! `load` sends the same arrivals to any address over HTTP; `cost` measures the whole program against `relay`,
//! which forwards without a decision.
//!
//! `membership_simulation` runs the schedulers' membership protocol on a faulty network, apart from the above.
//!
//! The model does no I/O and reads no clock. All randomness comes from one seed, with a stream for each purpose,
//! so that two variants of one experiment get the same arrivals.
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
