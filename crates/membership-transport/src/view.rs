//! What a member shows of itself: the form of the page `GET /-/cluster`. The names in its JSON are fixed.
use std::sync::Arc;

use copperspread_membership::Member;
use serde::{Serialize, Serializer};

/// What a member knows, and what it has counted since its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MembershipView {
    /// This member's present identity.
    #[serde(rename = "own")]
    pub local_member: Member,
    /// The other members that are up, suspected ones included, sorted by name.
    #[serde(serialize_with = "serialize_members")]
    pub members: Arc<[Member]>,
    /// Lifeguard's local health multiplier, from 0 (healthy) to 8.
    #[serde(rename = "doubt")]
    pub local_health_multiplier: u32,
    /// How many pauses of its own process it has detected.
    #[serde(rename = "pauses")]
    pub detected_pauses: u64,
    /// Packets and states that were rejected.
    pub rejected: RejectionCounts,
    /// Packets received, rejected ones included.
    pub packets_in: u64,
    /// Packets sent.
    pub packets_out: u64,
    /// Bytes of the packets received, without the headers of UDP and IP.
    pub bytes_in: u64,
    /// Bytes of the packets sent, without the headers of UDP and IP.
    pub bytes_out: u64,
}

fn serialize_members<S: Serializer>(members: &Arc<[Member]>, serializer: S) -> Result<S::Ok, S::Error> {
    (**members).serialize(serializer)
}

/// Packets and states that were rejected, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct RejectionCounts {
    /// Longer than any of this protocol.
    pub too_large: u64,
    /// Too short, or with a body that cannot be decoded.
    pub malformed: u64,
    /// Not made with the cluster's key.
    pub forged: u64,
    /// Of another version.
    pub other_version: u64,
}

/// What was dropped or failed on this side, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DropCounts {
    /// Packets that the socket did not take.
    pub packets_unsent: u64,
    /// Streams that arrived while the queue of accepted streams was full.
    pub streams_rejected: u64,
    /// Streams that failed or took too long, in either direction.
    pub streams_failed: u64,
    /// Exchanges that were due while the queue of exchange requests was full.
    pub exchanges_skipped: u64,
    /// States for which the driver's queue had no room within their stream's time limit.
    pub states_dropped: u64,
}
