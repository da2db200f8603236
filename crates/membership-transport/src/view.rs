//! The view of a member, which the status page `GET /-/cluster` returns as JSON. The JSON names of the fields
//! are part of the interface of this page, and must not change.
use std::sync::Arc;

use copperspread_membership::Member;
use serde::{Serialize, Serializer};

/// What a member knows about the cluster, and what it has counted since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MembershipView {
    /// The current identity of this member.
    #[serde(rename = "own")]
    pub local_member: Member,
    /// The other members that are up as far as this member knows, including suspected ones, sorted by name.
    #[serde(serialize_with = "serialize_members")]
    pub members: Arc<[Member]>,
    /// The member's local health multiplier, as Lifeguard defines it, from 0 (healthy) to 8.
    #[serde(rename = "doubt")]
    pub local_health_multiplier: u32,
    /// The number of pauses of its own process that this member has detected.
    #[serde(rename = "pauses")]
    pub detected_pauses: u64,
    /// The numbers of packets and membership states that this member rejected, by cause.
    pub rejected: RejectionCounts,
    /// Number of packets that this member received, including rejected ones.
    pub packets_in: u64,
    /// Number of packets that this member sent to other members.
    pub packets_out: u64,
    /// Number of bytes in the received packets, without UDP and IP headers.
    pub bytes_in: u64,
    /// Number of bytes in the sent packets, without UDP and IP headers.
    pub bytes_out: u64,
}

fn serialize_members<S: Serializer>(members: &Arc<[Member]>, serializer: S) -> Result<S::Ok, S::Error> {
    (**members).serialize(serializer)
}

/// The numbers of packets and membership states that a member rejected, by cause. A membership state is the
/// list of members that another member has sent over a TCP stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectionCounts {
    /// Number of rejected packets and membership states that are larger than the maximum size.
    pub too_large: u64,
    /// Number of packets and membership states that were rejected as malformed. Either they are too short to
    /// contain a version and a tag, or their content is not valid.
    pub malformed: u64,
    /// Number of rejected packets and membership states whose authentication tag was not made with the
    /// cluster's key.
    pub forged: u64,
    /// Number of rejected packets and membership states with a valid tag, but with a version of the format
    /// that is not the expected one.
    pub other_version: u64,
}

/// The numbers of packets, streams, state exchanges and received membership states that this member dropped
/// or that failed, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Number of packets that could not be sent, because the socket returned an error.
    pub packets_unsent: u64,
    /// Number of accepted streams that were closed, because the queue of accepted streams was full.
    pub streams_rejected: u64,
    /// Number of streams that failed or exceeded their time limit, and of failed accepts. Both accepted
    /// streams and streams opened by this member are counted. Streams that fail during a shutdown are not
    /// counted.
    pub streams_failed: u64,
    /// Number of state exchanges that were skipped, because the queue of exchange requests was full.
    pub exchanges_skipped: u64,
    /// Number of membership states that were received over a TCP stream and dropped. The queue to the thread
    /// that runs the membership protocol had no room for them before the time limit of the stream.
    pub states_dropped: u64,
}
