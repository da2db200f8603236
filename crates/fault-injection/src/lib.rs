//! Faults of a fleet's network and processes, as plans: the testbed plays a plan in virtual time, and the test harness
//! plays the same plan in real time on real processes.
//!
//! ```text
//!   FaultPlan: at 1 s Partition, at 6 s Heal ...  ──►  a player (testbed or test harness)
//!                                                         │ network              │ processes
//!                                              NetworkLinks::apply(fault)   pause, resume, kill, start
//!                                              NetworkLinks::delivery_delays(from, to) ──► a packet's copies
//! ```
//!
//! The crate has no I/O and no clock, and all randomness comes from the generator that a player hands in. Members are
//! numbered from 0.
#![forbid(unsafe_code)]

mod fault;
mod link_conditions;
mod links;
pub mod plans;

pub use fault::{Fault, FaultPlan, FaultStep, ProcessAction};
pub use link_conditions::LinkConditions;
pub use links::NetworkLinks;
