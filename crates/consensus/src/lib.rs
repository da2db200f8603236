//! Replicates one versioned document of rules among the schedulers, by consensus (Raft) and leases.
//!
//! Each scheduler is a member: a voter or a non-voter. The crate does no I/O and reads no clock. Its caller
//! passes in the time, received messages and a random seed, and carries out the messages and storage writes
//! that the crate returns. Once a storage write is durable, the caller confirms the write with
//! [`Input::Persisted`].
//!
//! ```text
//!  Propose ──► Node::handle ──► Raft among the voters ──► ReplicatedState: versions committed, then in force
//!  Message ──►  (one per        (crate `raft`; the caller │
//!  Tick    ──►   member)         stores the log)          ▼ lease grants, version updates
//!                                     LeasedRules::effective_rules(now): rules in force, or restricted rules
//! ```
//!
//! 1. Three, five or seven voters agree on the order of the document's versions ([`ReplicatedState`]). All
//!    members, voters included, hold copies of the document under leases that the leader grants. Versions are
//!    numbered within an epoch. After all voters have lost their storage, they start a new epoch
//!    ([`Version::epoch`]).
//! 2. A committed version does not take effect at once. The leader first waits until each member either has
//!    reported that it knows the version, or holds no lease that was granted before the commit. Such a lease
//!    has expired once [`Settings::lease_expiry_wait`] has passed since its grant. A member accepts a lease
//!    that was granted after the commit only if it then knows the version.
//! 3. For each of its decisions, a member calls [`LeasedRules::effective_rules`] with the current time. While
//!    the member's lease holds and the member knows only one version, that version is in force, and the call
//!    returns its rules. Otherwise the call returns the restricted rules, which allow only what all versions
//!    that may be in force allow.
//!
//! The crate does not interpret the rules. It only combines documents through the [`Rules`] trait.
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
