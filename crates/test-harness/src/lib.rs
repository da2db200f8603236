//! Test support: a fleet of real `copperspread-scheduler serve` processes on loopback, and the faults between them.
//!
//! ```text
//!   member i, 127.0.B.i ──UDP, TCP──► relay of j, 127.0.B.250, a port each ──► member j, 127.0.B.j
//!                                          │ knows the sender by its address
//!                                     NetworkLinks: block, lose, duplicate, delay (crates/fault-injection)
//!   Fleet ── pause, resume, kill, start by id;  GET /-/cluster ──► MembershipView
//! ```
//!
//! 1. Each fleet claims a block of addresses 127.0.B.0/24 until it is dropped (`address_block.rs`), so that fleets run
//!    side by side and a port still belongs to a member when its process starts again.
//! 2. Faults are those of `copperspread-fault-injection`: the testbed plays the same plans in virtual time.
//! 3. Every wait polls up to a bound, and fails with what it awaited and what all members showed last.
//!
//! Nothing of the program is linked in: its path is an argument. As test support, the crate panics where a test must
//! fail.
#![forbid(unsafe_code)]

mod address_block;
mod client;
mod config;
mod fleet;
mod process;
mod relay;
mod view;

pub use client::ViewError;
pub use config::FleetConfig;
pub use copperspread_fault_injection::{Fault, FaultPlan, FaultStep, LinkConditions, ProcessAction, plans};
pub use fleet::{Fleet, ObservedView};
pub use view::{MemberInfo, MembershipView, RejectionCounts};
