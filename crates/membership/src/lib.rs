//! Cluster membership for schedulers by the SWIM protocol, without I/O and without a clock. The caller passes
//! in packets, the states of other members and the time as [`Input`]s. Packets to send and changes in the
//! cluster are returned as [`Effect`]s.
//!
//! ```text
//!  packet      ──► Membership::handle: Key::open ──► foca (SWIM) ──► Key::seal ──► Effect::SendPacket
//!  state, time ──► Membership::handle ─────────────► foca (SWIM) ──► Effect::MemberUp, ExchangeState, ...
//! ```
//!
//! 1. The crate `foca` implements the protocol: random probes, indirect probes through other members,
//!    suspicion before a member is declared dead, incarnation numbers for refutation, and gossip with a
//!    bounded number of transmissions.
//! 2. This crate owns the timers (`timer_queue.rs`). It multiplies the probe interval, the probe timeout and
//!    the suspicion timeout by 1 + Lifeguard's local health multiplier (`local_health.rs`). A member that may
//!    itself be slow or isolated thus lengthens its own timeouts. After a pause of its process, a member
//!    delays its timers, so that it reads the packets that have arrived before it suspects others.
//! 3. The list of all members may be too large for a packet. It is exchanged as a [`MembershipState`] over a
//!    stream (`state.rs`).
//! 4. Every packet and state carries a version and an authentication tag under the cluster's key (`seal.rs`).
//!    Without the key, nobody can join the cluster or remove a member from it.
//!
//! This crate elects no leader, stores nothing and does not assess the health of zones; other crates do that.
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
