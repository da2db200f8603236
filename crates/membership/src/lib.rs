//! Membership among schedulers, with no I/O and no clock: time and packets come in, packets and news go out.
//!
//! ```text
//!  packet ──► seal::open ──► Cluster::handle ──► Effect::Send ──► seal (HMAC) ──► the driver's socket
//!  time   ─────────────────►  (foca: SWIM)   ──► Effect::Up, Down, Replaced, Refuted
//! ```
//!
//! 1. The protocol is SWIM as `foca` has it: random probing, indirect probes through others, suspicion
//!    before death, incarnations that refute, news carried on probes with a bounded number of sends.
//! 2. This crate owns the timers (`timers.rs`), and with them what Lifeguard adds: a member whose own probes
//!    fail widens its time-outs, and one that was paused takes what waits for it before it judges others.
//! 3. What no packet holds, the list of all members, is exchanged as a [`State`] over a stream (`state.rs`).
//! 4. Every packet and state carries a version and a tag under the cluster's key (`seal.rs`): without it nobody
//!    joins, and nobody is evicted.
//!
//! It never says who leads, stores nothing, and knows of no zone's health: that is for crates above.
#![forbid(unsafe_code)]

mod cluster;
mod member;
mod seal;
mod state;
mod timers;

pub use cluster::{Effect, Input, Membership, PacketError, Settings, SettingsError};
pub use member::Member;
pub use seal::{Key, KeyError, MAX_PACKET_BYTES, MAX_STATE_BYTES};
pub use state::MembershipState;

/// An instant or a span in microseconds; instants count from any moment that is the same for all calls.
pub type Micros = u64;

/// A second.
pub const SECOND: Micros = 1_000_000;
