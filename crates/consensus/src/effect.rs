//! The effects of a member: messages and writes that its caller carries out, and reports.
use crate::clock_comparison::ClockDrift;
use crate::storage::{StorageWrite, WriteToken};
use crate::versioned_document::Version;

/// An effect of [`crate::Node::handle`]: an action for the caller to carry out, or a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message. The network may lose, duplicate, delay or reorder it.
    Send {
        /// The recipient's name.
        to: String,
        /// The serialized message.
        bytes: Vec<u8>,
    },
    /// Write to storage in the order of the tokens, and confirm with [`crate::Input::Persisted`] once it is
    /// durable.
    Persist {
        /// The token of this write, which increases with each write.
        token: WriteToken,
        /// The data to write.
        write: StorageWrite,
    },
    /// Reports that a proposal of this member was rejected and changed nothing.
    ProposalRejected {
        /// The version that the proposal was derived from.
        base_version: Version,
        /// The version in force.
        in_force: Version,
        /// The reason for the rejection.
        reason: RejectionReason,
    },
    /// Reports that a proposal of this member was committed; it takes effect later.
    ProposalAccepted {
        /// The version that the proposal was derived from.
        base_version: Version,
        /// The version that the proposal was committed as.
        version: Version,
    },
    /// Reports that this version was committed and is not yet in force. From now on this member forbids what
    /// the version forbids.
    VersionCommitted(Version),
    /// Reports that this version took effect.
    VersionInForce(Version),
    /// Reports that the lease expired without a new grant from a leader with a quorum. This member follows
    /// the restricted rules, and as far as it knows no version can change meanwhile.
    LeaseExpired,
    /// Reports that a lease holds again after [`Effect::LeaseExpired`].
    LeaseRestored,
    /// Reports that the drift between this member's clock and the leader's exceeds the clock bound. A member
    /// with such a clock follows the restricted rules. The leader reports it of its own clock when most
    /// members do.
    ClockDriftDetected(ClockDrift),
    /// Reports that the member's clock is within the clock bound again.
    ClockDriftCleared,
}

/// The reason for which a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RejectionReason {
    /// The proposal's base is not the newest version, or too many versions are pending.
    StaleBase,
    /// The document exceeds [`crate::Settings::max_document_bytes`], or cannot be serialized.
    TooLarge,
    /// Eight proposals of this member are pending already, which is the limit.
    PendingLimitReached,
}
