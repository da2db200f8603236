//! Test support: runs a fleet of real `copperspread-scheduler serve` processes on loopback and injects
//! network and process faults.
//!
//! ```text
//!   member i, 127.0.B.(i+1) ──UDP, TCP──► relay of j, 127.0.B.250, own port ──► member j, 127.0.B.(j+1)
//!                                          │ identifies the sender by its address
//!                                     NetworkLinks: block, lose, duplicate, delay (crates/fault-injection)
//!   Fleet ── pause, resume, kill, start;  GET /-/cluster ──► MembershipView
//! ```
//!
//! 1. Each fleet claims an address block 127.0.B.0/24 until the fleet is dropped (`address_block.rs`). Fleets
//!    can therefore run side by side, and a member's ports are still free when its process restarts.
//! 2. The faults are those of `copperspread-fault-injection`. The testbed applies the same fault plans in
//!    simulated time.
//! 3. Every wait checks its condition repeatedly until the condition holds or a timeout expires. A failure
//!    message contains the condition, the members' last responses and the ends of their logs.
//!
//! The crate does not link the scheduler but gets the path of the scheduler program as an argument. The crate
//! only supports tests, so it panics to fail a test.
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
