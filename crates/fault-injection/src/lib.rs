//! What goes wrong between the members of a fleet and with their processes, as plans: the same plan is played
//! in virtual time by the laboratory, and in real time by the harness on real processes.
//!
//! ```text
//!   Plan: at 1 s Cut, at 6 s Heal ...  ──►  a drive (laboratory: virtual time; harness: real time)
//!                                              │ links                │ processes
//!                                        Links::take(fault)    pause, resume, kill, start
//!                                        Links::way(from, to) ──► when a packet's copies come, if any
//! ```
//!
//! No I/O and no clock; all chance comes from the generator that a drive hands in. Members are numbers from 0.
#![forbid(unsafe_code)]

mod links;
mod plan;

pub use links::{LinkConditions, NetworkLinks};
pub use plan::{Fault, FaultPlan, ProcessAction, plans};
