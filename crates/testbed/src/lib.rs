//! The testbed runs scenarios of workers, clients and faults against dispatch policies and schedulers.
//!
//! It consists of a model, a simulation and an emulation of the model, and a rule checker.
//!
//! ```text
//!   scenario (TOML) ──► model ──► fleet, faults, arrivals, idempotency keys, workers, connection faults
//!                         │ events and effects, time as an argument
//!           ┌─────────────┴──────────────┐
//!      simulation                    emulation
//!   virtual time, policies        real time on loopback, with processes
//!   called directly               of schedulers or policy nodes
//!           └─────────────┬──────────────┘
//!        observations of clients and workers ──► rule_checker
//!                         │
//!              outcome ──► compare (paired by seed) ──► report
//!                         ▲
//!                    experiment (TOML: scenarios, variants, seeds; each run is stored when it ends)
//! ```
//!
//! A policy node is a process that serves as a scheduler with one of the testbed's own policies in place of
//! the real dispatcher.
//!
//! `load` sends the same jobs to any address over HTTP. `cost` compares the CPU time of the scheduler process
//! with that of `relay`, which forwards requests without a dispatch policy.
//!
//! `membership_simulation` simulates the schedulers' membership protocol on a faulty network, independently
//! of the other modules.
//!
//! The model does no I/O and reads no clock. All random numbers of a run come from one seed. Each purpose has
//! its own stream of random numbers, so that two variants of one experiment get the same arrivals.
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
