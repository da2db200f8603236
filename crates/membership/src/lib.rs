//! Membership of a fleet of schedulers by the SWIM protocol, without I/O and without a clock: packets, peers' states
//! and the time come in as [`Input`]s, and what has to be sent or is now known goes out as [`Effect`]s.
//!
//! ```text
//!  packet ──► Key::open ──► Membership::handle ──► Effect::SendPacket ──► Key::seal ──► the transport's socket
//!  time   ─────────────────►   (foca: SWIM)    ──► Effect::MemberUp, MemberDown, MemberReplaced, SelfRefuted
//! ```
//!
//! 1. The protocol itself is `foca`'s: random probes, indirect probes through other members, suspicion before a
//!    member is declared dead, incarnation numbers for refutation, and gossip with a bounded number of sends.
//! 2. This crate owns the timers (`timer_queue.rs`) and with them Lifeguard's local health multiplier
//!    (`local_health.rs`): a member whose own probes fail widens its own time-outs, and one that was paused reads
//!    the packets that waited for it before it judges others.
//! 3. The list of all members, which no packet can hold, is exchanged as a [`MembershipState`] over a stream
//!    (`state.rs`).
//! 4. Every packet and state carries a version and an authentication tag under the cluster's key (`seal.rs`):
//!    without the key nobody joins, and nobody is evicted.
//!
//! The crate elects no leader, stores nothing and does not judge the health of zones; crates above it do.
#![forbid(unsafe_code)]

mod effect_collector;
mod interface;
mod joining;
mod local_health;
mod member;
mod membership;
mod seal;
mod settings;
mod state;
mod time;
mod timer_queue;

pub use interface::{Effect, Input};
pub use member::Member;
pub use membership::Membership;
pub use seal::{Key, KeyError, MAX_PACKET_BYTES, MAX_STATE_BYTES, PacketError};
pub use settings::{Settings, SettingsError};
pub use state::MembershipState;
pub use time::{Micros, SECOND};
