//! What a member asks its driver to do, or reports.
use crate::clock_comparison::ClockDrift;
use crate::storage::{StorageWrite, WriteToken};
use crate::versioned_document::Version;

/// An effect of [`crate::Node::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a message; it may be lost, duplicated, delayed and reordered.
    Send {
        /// The recipient's name.
        to: String,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Write to storage, in the order of the tokens, and then confirm with [`crate::Input::Persisted`].
    Persist {
        /// Increases with each write.
        token: WriteToken,
        /// What to write.
        write: StorageWrite,
    },
    /// A proposal of this member changed nothing.
    ProposalRejected {
        /// The version that it was derived from.
        base_version: Version,
        /// The version in force.
        in_force: Version,
        /// Why.
        reason: RejectionReason,
    },
    /// A proposal of this member was committed; it takes effect later.
    ProposalAccepted {
        /// The version that it was derived from.
        base_version: Version,
        /// Its own version.
        version: Version,
    },
    /// This version was committed, and is not yet in force: until then what it forbids is forbidden here.
    VersionCommitted(Version),
    /// This version took effect.
    VersionInForce(Version),
    /// The lease expired because no leader with a quorum was heard: the restricted rules hold here, and versions do
    /// not change as far as this member can tell.
    LeaseExpired,
    /// A lease holds again after [`Effect::LeaseExpired`].
    LeaseRestored,
    /// The drift between this member's clock and the leader's exceeds the bound. Reported by the member, and by the
    /// leader of itself when most members report it. Such a member follows the restricted rules.
    ClockDriftDetected(ClockDrift),
    /// The member's clock is within the bound again.
    ClockDriftCleared,
}

/// Why a proposal was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RejectionReason {
    /// Its base is not the newest version, or too many versions are pending.
    StaleBase,
    /// The document exceeds [`crate::Settings::max_document_bytes`], or cannot be serialized.
    TooLarge,
    /// Eight proposals of this member are pending.
    PendingLimitReached,
}
