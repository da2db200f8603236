//! The rules on which all schedulers agree, with no I/O and no clock: time, messages and chance come in,
//! messages and what is to be stored go out.
//!
//! ```text
//!  Propose ──► Node::handle ──► Raft among the voters ──► State: ordered, then in force
//!  Message ──►    (one a       (crate `raft`, its log    │
//!  Tick    ──►     member)      by Persist, Persisted)   ▼ Grant, News
//!                                               Held::rules(now): within the lease, or the safe rules
//! ```
//!
//! 1. Three, five or seven voters order the versions of one document ([`State`]). All others, and the voters
//!    too, hold copies of it under leases that the voters' leader grants.
//! 2. A version takes effect once every member that may hold a lease without knowing it has said that it
//!    knows it, or has lost that lease ([`Settings::wait`]).
//! 3. The decision asks [`Held::rules`] with its own instant: within the lease the one version in force, else
//!    what all versions that may be in force allow.
//!
//! It does not know what the rules say: [`Rules`] narrows two documents to what both allow.
#![forbid(unsafe_code)]

mod clock;
mod decision;
mod document;
mod held;
mod lead;
mod log;
mod node;
mod settings;
mod state;
mod voter;
mod wire;

pub use clock::{Clock, Drift};
pub use decision::{Basis, Decision, contradict};
pub use document::{Digest, Document, Rules, Version};
pub use held::{Acting, Held};
pub use log::{Change, Entry, Saved, Snapshot, Vote};
pub use node::{Effect, Input, Node, Own, Start, Why};
pub use settings::{Settings, SettingsError};
pub use state::{Outcome, ProposalId, State};
pub use wire::MOST_MESSAGE;

/// An instant or a span in microseconds; instants count from any moment that is the same for all calls of one
/// process. The clock must go on while the machine sleeps.
pub type Micros = u64;

/// A millisecond.
pub const MS: Micros = 1_000;

/// A second.
pub const SECOND: Micros = 1_000_000;
