//! Consensus among the schedulers on one versioned document of rules, with no I/O and no clock: time, messages and
//! the random seed come in, messages and writes to storage go out.
//!
//! ```text
//!  Propose ──► Node::handle ──► Raft among the voters ──► ReplicatedState: committed, then in force
//!  Message ──►   (one a         (crate `raft`, its log    │
//!  Tick    ──►    member)        by Persist, Persisted)   ▼ lease grants, version updates
//!                                     LeasedRules::effective_rules(now): within the lease, or restricted
//! ```
//!
//! 1. Three, five or seven voters order the versions of one document ([`ReplicatedState`]). All members, voters
//!    included, hold copies of it under leases that the voters' leader grants.
//! 2. A version takes effect once every member that may hold a lease without knowing it has reported that it
//!    knows it, or has lost that lease ([`Settings::lease_expiry_wait`]).
//! 3. A decision calls [`LeasedRules::effective_rules`] with its own instant: within the lease it gets the one
//!    version in force, else what all versions that may be in force allow.
//!
//! The crate does not know what the rules say: [`Rules::intersection`] narrows two documents to what both allow.
#![forbid(unsafe_code)]

mod clock_comparison;
mod decision_conflict;
mod effect;
mod input;
mod leader;
mod leased_rules;
mod member_progress;
mod node;
mod packet;
mod quorum_reads;
mod raft_conversion;
mod raft_message;
mod raft_storage;
mod raft_voter;
mod replicated_state;
mod rules;
mod settings;
mod start;
mod storage;
mod time;
mod versioned_document;
mod voter_id;

pub use clock_comparison::{ClockComparison, ClockDrift};
pub use decision_conflict::{Decision, DecisionBasis, decisions_conflict};
pub use effect::{Effect, RejectionReason};
pub use input::Input;
pub use leased_rules::{EffectiveRules, LeasedRules};
pub use node::Node;
pub use packet::MAX_MESSAGE_BYTES;
pub use replicated_state::{ProposalId, ProposalOutcome, ReplicatedState};
pub use rules::Rules;
pub use settings::{Settings, SettingsError};
pub use start::{MemberIdentity, StartError, StartState};
pub use storage::{LogEntry, Snapshot, StorageWrite, StoredState, TermVote, WriteToken};
pub use time::{MILLISECOND, Micros, SECOND};
pub use versioned_document::{Digest, Version, VersionedDocument};
