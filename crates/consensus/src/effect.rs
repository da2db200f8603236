//! The effects of a member: reports, and the messages and writes that the caller must carry out.
use crate::clock_comparison::ClockDrift;
use crate::storage::{StorageWrite, WriteToken};
use crate::versioned_document::Version;

/// An effect of [`crate::Node::handle`]: an action for the caller to carry out, or a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message. The network may lose, duplicate, delay or reorder it.
    Send {
        /// The name of the member that must receive the message.
        to: String,
        /// The serialized message, to be passed in at the recipient as an input of the kind `Message`.
        bytes: Vec<u8>,
    },
    /// Write to storage in the order of the tokens, and confirm with [`crate::Input::Persisted`] once the
    /// write is durable.
    Persist {
        /// The token of this write, which increases with each write.
        token: WriteToken,
        /// The changes to the stored state.
        write: StorageWrite,
    },
    /// Reports that a proposal of this member was rejected and changed nothing.
    ProposalRejected {
        /// The version that the proposal was derived from.
        base_version: Version,
        /// The version that was in force when the proposal was rejected, as far as the rejecting member knew.
        in_force: Version,
        /// Why the proposal was rejected, such as a stale base version.
        reason: RejectionReason,
    },
    /// Reports that a proposal of this member was committed; it takes effect later.
    ProposalAccepted {
        /// The version that the proposal was derived from.
        base_version: Version,
        /// The version that the proposal was committed as.
        version: Version,
    },
    /// Reports the newest committed version that this member now knows. From now on this member forbids what
    /// the version forbids; [`Effect::VersionInForce`] follows when the version takes effect, possibly at
    /// once.
    VersionCommitted(Version),
    /// Reports that this version took effect.
    VersionInForce(Version),
    /// Reports that this member no longer has a lease, because no new grant from a leader with a quorum
    /// arrived in time or because its clock was proven to drift. Until [`Effect::LeaseRestored`], this member
    /// follows the restricted rules, and version changes may fail to reach it.
    LeaseExpired,
    /// Reports that a lease holds again after [`Effect::LeaseExpired`].
    LeaseRestored,
    /// Reports that this member's clock drifts from other clocks by more than the clock bound. A member that
    /// proves a drift between its own clock and the leader's follows the restricted rules until
    /// [`Effect::ClockDriftCleared`]. The leader reports a drift of its own clock if most of the other
    /// members have proven a drift from the leader's clock, and then transfers the leadership.
    ClockDriftDetected(ClockDrift),
    /// Reports that the member's clock is within the clock bound again.
    ClockDriftCleared,
}

/// The reason for which a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RejectionReason {
    /// The proposal's base is not the newest version. The same reason is given for a proposal that arrives
    /// while [`crate::Settings::max_pending_versions`] versions are pending, because the leader's response
    /// does not distinguish the two cases.
    StaleBase,
    /// The document exceeds [`crate::Settings::max_document_bytes`], or cannot be serialized.
    TooLarge,
    /// Eight proposals of this member are pending already, which is the limit.
    PendingLimitReached,
}
