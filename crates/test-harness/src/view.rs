//! A member's view of the membership: the response to `GET /-/cluster`, as JSON.
//!
//! `copperspread-membership-transport` defines equivalent types to write this response. The duplication is
//! intentional: the harness reads the response independently of the code that writes it, so a renamed
//! field fails the tests.
use std::net::SocketAddr;

use serde::Deserialize;

/// The properties of a member, as it announces them to the others.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MemberInfo {
    /// The member's name, which stays the same after a restart.
    pub name: String,
    /// The name of the zone in which the member runs.
    pub zone: String,
    /// The name of the region in which the member runs.
    pub region: String,
    /// The address for packets and streams from other members.
    pub address: SocketAddr,
    /// The generation, which increases with each start of the member's process.
    pub generation: u64,
    /// How often the member has rejoined after the others had declared it dead, since its process started.
    #[serde(rename = "returned")]
    pub rejoins: u32,
}

/// The number of rejected packets, by cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct RejectionCounts {
    /// Packets longer than the protocol allows.
    pub too_large: u64,
    /// Packets that are too short, or whose body cannot be decoded.
    pub malformed: u64,
    /// Packets that were not authenticated with the cluster's key.
    pub forged: u64,
    /// Packets of another protocol version.
    pub other_version: u64,
}

/// One member's view of the membership.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MembershipView {
    /// The properties of the member that responded with this view.
    #[serde(rename = "own")]
    pub local_member: MemberInfo,
    /// The other members that this member considers alive.
    pub members: Vec<MemberInfo>,
    /// Lifeguard's local health multiplier of the member, from 0 (healthy) to 8.
    #[serde(rename = "doubt")]
    pub local_health_multiplier: u32,
    /// The number of pauses of its own process that the member has detected.
    #[serde(rename = "pauses")]
    pub detected_pauses: u64,
    /// The number of received packets that the member has rejected, by cause.
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
    /// Whether the view lists another member with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| member.name == name)
    }
}
