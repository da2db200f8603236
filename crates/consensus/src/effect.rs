//! The effects that a member returns to its caller: messages to send, writes to store, and reports.
use crate::clock_comparison::ClockDrift;
use crate::storage::{StorageWrite, WriteToken};
use crate::versioned_document::Version;

/// An effect that [`crate::Node::handle`] returns: an action for the caller to carry out, or a report to the
/// caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Tells the caller to send a message to another member. The network may lose, duplicate, delay or
    /// reorder the message.
    Send {
        /// The name of the member to which the message is sent.
        to: String,
        /// The serialized message. At the receiving member, the caller passes these bytes in as an input of
        /// the kind `Message`.
        bytes: Vec<u8>,
    },
    /// Tells the caller to write to storage. The caller carries out the writes in the order of their tokens,
    /// and confirms with [`crate::Input::Persisted`] once a write is durable.
    Persist {
        /// The token that identifies this write. Each later write has a larger token.
        token: WriteToken,
        /// The changes to the voter's stored state.
        write: StorageWrite,
    },
    /// Reports that this member's proposal to replace the fleet's rules was rejected. The proposal changed
    /// nothing.
    ProposalRejected {
        /// The version of the fleet's rules from which the rejected proposal was derived.
        base_version: Version,
        /// The version of the fleet's rules in force at the time of the rejection, as known to the member
        /// that rejected the proposal.
        in_force: Version,
        /// Why the proposal was rejected, for example because it was not derived from the newest version of
        /// the fleet's rules.
        reason: RejectionReason,
    },
    /// Reports that a proposal of this member was committed as a new version of the fleet's rules. The
    /// version takes effect later.
    ProposalAccepted {
        /// The version of the fleet's rules from which the committed proposal was derived.
        base_version: Version,
        /// The new version of the fleet's rules. It contains the proposed rules.
        version: Version,
    },
    /// Reports that this member has learned of a new committed version of the fleet's rules, now the newest
    /// that the member knows. From now on, the member forbids what this version forbids. What only this
    /// version allows stays forbidden until the version takes effect. [`Effect::VersionInForce`] then
    /// follows, possibly at once.
    VersionCommitted(Version),
    /// Reports that a version of the fleet's rules took effect, as soon as this member learns of it.
    VersionInForce(Version),
    /// Reports that this member no longer holds a lease. Either no new grant from a leader with a quorum
    /// arrived in time, or the member's clock was proven to drift. Until [`Effect::LeaseRestored`], new
    /// versions of the fleet's rules may fail to reach the member. The member therefore follows restricted
    /// rules, which forbid everything that a later version could forbid ([`crate::Rules::without_lease`]).
    LeaseExpired,
    /// Reports that this member holds a lease again after [`Effect::LeaseExpired`].
    LeaseRestored,
    /// Reports that this member's clock drifts from other clocks by more than the setting
    /// [`crate::Settings::max_drift_ppm`] permits. A member reports this in two cases:
    ///
    /// 1. The member has proven a drift between its own clock and the leader's. Until
    ///    [`Effect::ClockDriftCleared`], the lease of this member does not count. This member then follows
    ///    the restricted rules ([`crate::EffectiveRules::Restricted`]).
    /// 2. The member leads, and most of the other members that it has heard from recently have told it that
    ///    they have proven a drift from its clock. The member then also transfers the leadership.
    ClockDriftDetected(ClockDrift),
    /// Reports that no drift between this member's clock and the leader's is proven any longer, after
    /// [`Effect::ClockDriftDetected`].
    ClockDriftCleared,
}

/// The reason why a member's proposal to replace the fleet's rules was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RejectionReason {
    /// The proposal was not derived from the newest version of the fleet's rules. A proposal that arrives
    /// while [`crate::Settings::max_pending_versions`] versions are committed but not in force gets the same
    /// reason, because the leader's response does not distinguish the two cases.
    StaleBase,
    /// The proposed document exceeds [`crate::Settings::max_document_bytes`], or cannot be serialized.
    TooLarge,
    /// This member already has eight proposals without a result, which is the limit.
    PendingLimitReached,
}
