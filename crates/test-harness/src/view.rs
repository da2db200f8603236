//! A member's view of the membership, which the member sends as JSON in the response to `GET /-/cluster`.
//!
//! `copperspread-membership-transport` has equivalent types, with which the response is written. The
//! duplication is intentional. This crate reads the response independently of the code that writes it, so a
//! renamed field fails the tests.
use std::net::SocketAddr;

use serde::Deserialize;

/// What a member announces about itself to the other members.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MemberInfo {
    /// The member's name, which stays the same after a restart.
    pub name: String,
    /// The name of the zone in which the member runs.
    pub zone: String,
    /// The name of the region in which the member runs.
    pub region: String,
    /// The address to which other members send packets and streams for this member.
    pub address: SocketAddr,
    /// The member's generation, a number that increases with each start of the member's process.
    pub generation: u64,
    /// How often the member has rejoined since its process started. A member rejoins after the others have
    /// declared it dead.
    #[serde(rename = "returned")]
    pub rejoins: u32,
}

/// The numbers of received packets and states that a member has rejected, by cause. A state is the list
/// of known members that another member has sent over a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct RejectionCounts {
    /// Number of packets and states that were rejected because they were longer than the protocol allows.
    pub too_large: u64,
    /// Number of packets and states that were rejected because they were too short, or because their body
    /// could not be decoded.
    pub malformed: u64,
    /// Number of packets and states that were rejected because they were not authenticated with the cluster's
    /// key.
    pub forged: u64,
    /// Number of packets and states that were rejected because they had another protocol version.
    pub other_version: u64,
}

/// One member's view of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MembershipView {
    /// The properties of the member whose view this is.
    #[serde(rename = "own")]
    pub local_member: MemberInfo,
    /// The other members that this member considers to be alive.
    pub members: Vec<MemberInfo>,
    /// The member's local health multiplier as defined by Lifeguard, from 0 (healthy) to 8.
    #[serde(rename = "doubt")]
    pub local_health_multiplier: u32,
    /// How often the member has detected that its own process was paused.
    #[serde(rename = "pauses")]
    pub detected_pauses: u64,
    /// The numbers of received packets and states that the member has rejected, by cause.
    pub rejected: RejectionCounts,
    /// The number of packets that the member has received.
    pub packets_in: u64,
    /// The number of packets that the member has sent.
    pub packets_out: u64,
    /// The number of bytes that the member has received.
    pub bytes_in: u64,
    /// The number of bytes that the member has sent.
    pub bytes_out: u64,
}

impl MembershipView {
    /// Whether the view contains another member with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| member.name == name)
    }
}
