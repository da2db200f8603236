//! The messages between members: postcard after a byte for the format's version. Their bytes depend on the order of
//! variants and fields.
use serde::{Deserialize, Serialize};

use crate::clock_comparison::ClockDrift;
use crate::raft_message::RaftMessage;
use crate::replicated_state::{ProposalId, ProposalOutcome};
use crate::storage::Snapshot;
use crate::time::Micros;
use crate::versioned_document::{Version, VersionedDocument};
use crate::voter_id::VoterId;

const PACKET_FORMAT_VERSION: u8 = 1;
/// Size limit of a message: a snapshot of nine documents of 1 MiB fits.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// The committed versions, as the leader has applied them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionUpdate {
    /// From the one in force to the newest.
    pub(crate) versions: Vec<Version>,
    /// Those that the recipient may lack.
    pub(crate) documents: Vec<VersionedDocument>,
}

/// A member requests a lease, and reports what it knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseRequest {
    /// A random number of this start of its process.
    pub(crate) session: u64,
    /// By its own clock.
    pub(crate) sent_at: Micros,
    pub(crate) in_force: Version,
    pub(crate) newest: Version,
    /// What it has proved of its clock against the leader's.
    pub(crate) drift: Option<ClockDrift>,
}

/// The leader grants a lease, after a quorum has confirmed that it leads since it got the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LeaseGrant {
    pub(crate) session: u64,
    /// Copied from the request: the lease begins there.
    pub(crate) sent_at: Micros,
    pub(crate) term: u64,
    /// The instant of the grant by the leader's clock.
    pub(crate) leader_time: Micros,
    pub(crate) update: VersionUpdate,
}

/// A proposal on its way to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Proposal {
    pub(crate) id: ProposalId,
    pub(crate) base_version: Version,
    pub(crate) bytes: Vec<u8>,
}

/// One message between members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// Between voters.
    Raft(RaftMessage),
    LeaseRequest(LeaseRequest),
    LeaseGrant(LeaseGrant),
    /// What changed, without a lease.
    VersionUpdate(VersionUpdate),
    /// The answer of a voter that does not lead to a lease request: which voter leads, as far as it knows.
    LeaderHint {
        session: u64,
        leader_id: VoterId,
    },
    Proposal(Proposal),
    ProposalResult {
        id: ProposalId,
        outcome: ProposalOutcome,
    },
    /// A voter without storage asks the others for the state.
    RejoinRequest {
        nonce: u64,
        generation: u64,
    },
    /// The answer of a voter that has no storage either.
    RejoinEmpty {
        nonce: u64,
        generation: u64,
    },
    /// The leader's answer: the state with a commit that is later than the request.
    RejoinSnapshot {
        nonce: u64,
        leader_id: VoterId,
        snapshot: Snapshot,
    },
}

impl Packet {
    pub(crate) fn serialize(&self) -> Vec<u8> {
        // Serializing to memory fails for no value of these types.
        postcard::to_extend(self, vec![PACKET_FORMAT_VERSION]).unwrap_or_default()
    }

    /// `None` for bytes that are no packet of this format.
    pub(crate) fn parse(bytes: &[u8]) -> Option<Packet> {
        let (&format_version, body) = bytes.split_first()?;
        if format_version != PACKET_FORMAT_VERSION || bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        postcard::from_bytes(body).ok()
    }
}
