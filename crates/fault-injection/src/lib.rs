//! Fault plans for the network and the processes of a fleet. The testbed executes a plan in virtual time, and
//! the test harness executes the same plan in real time on real processes.
//!
//! ```text
//!   FaultPlan: at 1 s Partition, at 6 s Heal ...  ──►  testbed or test harness
//!                                                         │ network              │ processes
//!                                              NetworkLinks::apply(fault)   pause, resume, kill, start
//!                                              NetworkLinks::delivery_delays(from, to) ──► packet delays
//! ```
//!
//! The crate does no I/O and reads no clock. All randomness comes from the random number generator that the
//! caller passes in. Members are numbered from 0.
#![forbid(unsafe_code)]

mod fault;
mod link_conditions;
mod links;
pub mod plans;

pub use fault::{Fault, FaultPlan, FaultStep, ProcessAction};
pub use link_conditions::LinkConditions;
pub use links::NetworkLinks;
