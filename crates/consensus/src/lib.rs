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
//! 1. Three, five or seven voters order the versions of one document ([`ReplicatedState`]). All others, and the voters
//!    too, hold copies of it under leases that the voters' leader grants.
//! 2. A version takes effect once every member that may hold a lease without knowing it has said that it
//!    knows it, or has lost that lease ([`Settings::wait`]).
//! 3. The decision asks [`LeasedRules::rules`] with its own instant: within the lease the one version in force, else
//!    what all versions that may be in force allow.
//!
//! It does not know what the rules say: [`Rules`] narrows two documents to what both allow.
#![forbid(unsafe_code)]

mod clock_comparison;
mod decision_conflict;

mod leader;
mod leased_rules;
mod node;
mod packet;
mod raft_voter;
mod replicated_state;
mod settings;
mod storage;
mod versioned_document;

pub use clock_comparison::{ClockComparison, ClockDrift};
pub use decision_conflict::{Decision, DecisionBasis, decisions_conflict};
pub use leased_rules::{EffectiveRules, LeasedRules};
pub use node::{Effect, Input, MemberIdentity, Node, RejectionReason, StartState};
pub use packet::MAX_MESSAGE_BYTES;
pub use replicated_state::{ProposalId, ProposalOutcome, ReplicatedState};
pub use settings::{Settings, SettingsError};
pub use storage::{LogEntry, Snapshot, StorageWrite, StoredState, TermVote};
pub use versioned_document::{Digest, Rules, Version, VersionedDocument};

/// An instant or a span in microseconds; instants count from any moment that is the same for all calls of one
/// process. The clock must go on while the machine sleeps.
pub type Micros = u64;

/// A millisecond.
pub const MILLISECOND: Micros = 1_000;

/// A second.
pub const SECOND: Micros = 1_000_000;
