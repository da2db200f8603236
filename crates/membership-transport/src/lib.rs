//! The sockets, the clock and the threads for `copperspread-membership`. That crate implements the membership
//! protocol and does no I/O. This crate runs the protocol, and contains no rule of the protocol.
//!
//! ```text
//!                 ┌─────────── thread "membership" (driver.rs) ────────────┐
//!  UDP  ◄────────►│ all waiting packets, then states, then due timers      │──► MembershipView (arc-swap)
//!                 │             Membership::handle ──► effects             │──► log
//!                 └──▲ received states     │ exchange requests (bounded) ───┘
//!                    │ (bounded) + waker   ▼
//!  TCP  ◄───► threads "membership-in" ◄─ accepted streams     thread "membership-out" ◄────► TCP
//!                      (state_exchange.rs) (bounded)            (state_exchange.rs)
//! ```
//!
//! 1. One thread, the driver, runs the protocol. It blocks only while it waits for the sockets and the next
//!    timer.
//! 2. States are exchanged over TCP streams. The stream threads read, write and verify the states within time
//!    limits. A slow or hostile peer can occupy these threads for a limited time, but never the driver.
//! 3. Every queue is bounded, and the driver never waits for a queue. What does not fit into a queue is
//!    dropped and counted ([`DropCounts`]). The next periodic announcement or state exchange, within 30 s,
//!    makes up for the loss.
//! 4. [`MembershipTransport`] owns and joins all threads. At a shutdown, the driver thread ends and drops its
//!    ends of the queues. The stream threads then end too.
//!
//! No input from the network ends a thread.
#![forbid(unsafe_code)]

mod config;
mod counters;
mod driver;
mod messages;
mod shared;
mod sockets;
mod state_exchange;
mod timed_stream;
mod transport;
mod view;

pub use config::{StartError, TransportConfig};
pub use transport::MembershipTransport;
pub use view::{DropCounts, MembershipView, RejectionCounts};
