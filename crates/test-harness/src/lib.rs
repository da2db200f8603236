//! Test support: a fleet of real `copperspread-scheduler serve` processes on loopback, and all that can go wrong between them.
//!
//! ```text
//!   member i, 127.0.B.i ──UDP, TCP──► relay of j, 127.0.B.250, a port each ──► member j, 127.0.B.j
//!                                          │ who sends is known by its number
//!                                     Links: cut, lose, double, hold, delay (crates/fault-injection)
//!   Fleet ── pause, resume, kill, start by id;  GET /-/cluster ──► View
//! ```
//!
//! 1. Each fleet claims a block 127.0.B.0/24 for its life (`block.rs`), so that fleets run side by side and a port
//!    is still a member's own when its process starts again.
//! 2. What goes wrong is a `Fault` of `copperspread-fault-injection`: the laboratory plays the same plans in virtual time.
//! 3. Every wait is a poll with a bound that says what it awaited, and shows what all members saw last.
//!
//! Nothing of the program is linked in: its path is an argument.
#![forbid(unsafe_code)]

mod block;
mod fleet;
mod process;
mod relay;
mod view;

pub use copperspread_fault_injection::{Fault, FaultPlan, LinkConditions, ProcessAction, plans};
pub use fleet::{Fleet, FleetConfig};
pub use view::{MemberInfo, MembershipView, RejectionCounts};
