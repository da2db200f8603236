//! The driver of `copperspread-membership`: its sockets, clock and threads. The protocol's rules are all in that crate,
//! which knows no socket and no clock; this one holds no rule.
//!
//! ```text
//!                 ┌─────────── thread "membership" (driver.rs) ────────────┐
//!  UDP  ◄────────►│ all packets that wait, then states, then due timers    │──► MembershipView (arc-swap)
//!                 │             Membership::handle ──► effects             │──► log
//!                 └──▲ received states     │ exchange requests (bounded) ───┘
//!                    │ (bounded) + waker   ▼
//!  TCP  ◄───► threads "membership-in" ◄─ accepted streams     thread "membership-out" ◄────► TCP
//!                      (state_exchange.rs) (bounded)            (state_exchange.rs)
//! ```
//!
//! 1. One thread holds the protocol. It waits for nothing but the sockets and the time.
//! 2. Whole states pass over TCP streams, whose threads read, write and verify tags within time limits: a peer that is
//!    slow or hostile occupies one of these threads and nothing else.
//! 3. Every queue is bounded, and the protocol's thread never waits on one: what does not fit is dropped and counted
//!    ([`DropCounts`]), and the next exchange, 30 s later, makes up for it.
//! 4. The [`MembershipTransport`] owns and joins all threads. The driver's thread ends at a shutdown; with it end the
//!    queues, and with these the streams' threads.
//!
//! Nothing that comes from the network ends a thread.
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
