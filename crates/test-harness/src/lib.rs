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
//! 1. Each fleet claims an address block 127.0.B.0/24 until it is dropped (`address_block.rs`). Fleets can
//!    therefore run side by side, and a member's ports are still free when its process restarts.
//! 2. The faults are those of `copperspread-fault-injection`; the testbed executes the same plans in
//!    virtual time.
//! 3. Every wait polls until its condition holds, at most until a timeout. A failure reports the condition,
//!    the last responses and the logs.
//!
//! The crate does not link the scheduler: it takes the path of the program as an argument. As test support,
//! it panics to fail a test.
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
