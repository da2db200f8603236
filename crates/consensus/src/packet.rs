//! The messages between members, and their wire format: one byte for the format version, followed by the
//! message in postcard encoding. The bytes depend on the order of variants and fields.
use serde::{Deserialize, Serialize};

use crate::clock_comparison::ClockDrift;
use crate::raft_message::RaftMessage;
use crate::replicated_state::{ProposalId, ProposalOutcome};
use crate::storage::Snapshot;
use crate::time::Micros;
use crate::versioned_document::{Version, VersionedDocument};
use crate::voter_id::VoterId;

const PACKET_FORMAT_VERSION: u8 = 1;
/// The maximum size of a message, in bytes. It leaves room for a snapshot of nine documents of 1 MiB: the
/// document in force and eight pending ones.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// An update that tells a member which versions of the fleet's rules are committed and applied by the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionUpdate {
    /// All committed versions of the fleet's rules, from the version in force to the newest.
    pub(crate) versions: Vec<Version>,
    /// The documents with the fleet's rules of those versions that the receiving member may lack.
    pub(crate) documents: Vec<VersionedDocument>,
}

/// A member's request for a lease. The request also reports two versions of the fleet's rules: the version
/// that the member last knew to be in force, and the newest version that the member knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRequest {
    /// A random number that identifies this start of the member's process.
    pub(crate) session: u64,
    /// The time at which the member sent the request, by the member's clock.
    pub(crate) sent_at: Micros,
    pub(crate) in_force: Version,
    pub(crate) newest: Version,
    /// The drift between the member's clock and the leader's that the member has proven, if any. It consists
    /// of which clock runs faster, and of the smallest difference in rate that is consistent with the
    /// recorded times.
    pub(crate) drift: Option<ClockDrift>,
}

/// The leader's grant of a lease to a member. The leader sends the grant only once a quorum has confirmed,
/// after the request arrived, that the leader still leads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseGrant {
    pub(crate) session: u64,
    /// The time at which the member sent its lease request, by the member's clock, copied from that request.
    /// The lease that is granted to the member begins at this time.
    pub(crate) sent_at: Micros,
    pub(crate) term: u64,
    /// The time at which the leader granted the lease, by the leader's clock.
    pub(crate) leader_time: Micros,
    pub(crate) update: VersionUpdate,
}

/// A proposal to replace the fleet's rules, which a member sends to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Proposal {
    pub(crate) id: ProposalId,
    pub(crate) base_version: Version,
    pub(crate) bytes: Vec<u8>,
}

/// A message between members, as it is sent on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// A Raft message between voters.
    Raft(RaftMessage),
    LeaseRequest(LeaseRequest),
    LeaseGrant(LeaseGrant),
    /// An update that tells a member which versions of the fleet's rules are committed. The leader sends this
    /// update apart from the member's lease grants, which contain such an update too.
    VersionUpdate(VersionUpdate),
    /// A response to a lease request, sent by a voter that is not the leader. The response names the leader
    /// that the voter knows.
    LeaderHint {
        session: u64,
        leader_id: VoterId,
    },
    Proposal(Proposal),
    ProposalResult {
        id: ProposalId,
        outcome: ProposalOutcome,
    },
    /// A rejoin request, with which a voter without stored state asks the other voters for the current state.
    RejoinRequest {
        nonce: u64,
        generation: u64,
    },
    /// The response to a rejoin request, sent by a voter that has no stored state either.
    RejoinEmpty {
        nonce: u64,
        generation: u64,
    },
    /// The leader's response to a rejoin request, with a snapshot of the replicated state. On the request,
    /// the leader appends an entry to the log. The leader takes the snapshot once that entry is committed and
    /// applied.
    RejoinSnapshot {
        nonce: u64,
        leader_id: VoterId,
        snapshot: Snapshot,
    },
}

impl Packet {
    pub(crate) fn serialize(&self) -> Vec<u8> {
        // Serializing these types to memory cannot fail.
        postcard::to_extend(self, vec![PACKET_FORMAT_VERSION]).unwrap_or_default()
    }

    /// Deserializes a packet. Returns `None` if the bytes are too long or are not a valid packet of this
    /// format version.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Packet> {
        let (&format_version, body) = bytes.split_first()?;
        if format_version != PACKET_FORMAT_VERSION || bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
