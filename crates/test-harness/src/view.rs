//! What a member shows of itself and the others: the response to `GET /-/cluster`. The names in its JSON are those of
//! the page. `copperspread-membership-transport` has types of these forms too. They stand twice on purpose: the harness
//! reads the page independently of the code that writes it, so that a name that changes there fails here.
use std::net::SocketAddr;

use serde::Deserialize;

/// A member as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MemberInfo {
    /// Its name, the same after a restart.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Grows with every start of its process.
    pub generation: u64,
    /// How often it rejoined, within this run of its process, after the others had declared it dead.
    #[serde(rename = "returned")]
    pub rejoins: u32,
}

/// Packets that were rejected, by cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct RejectionCounts {
    /// Longer than any of the protocol.
    pub too_large: u64,
    /// Too short, or with a body that cannot be decoded.
    pub malformed: u64,
    /// Not made with the cluster's key.
    pub forged: u64,
    /// Of another version.
    pub other_version: u64,
}

/// One member's view.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct MembershipView {
    /// The member itself.
    #[serde(rename = "own")]
    pub local_member: MemberInfo,
    /// The other members that are up.
    pub members: Vec<MemberInfo>,
    /// Its local health multiplier.
    #[serde(rename = "doubt")]
    pub local_health_multiplier: u32,
    /// How many pauses of its own process it has detected.
    #[serde(rename = "pauses")]
    pub detected_pauses: u64,
    /// What it has rejected.
    pub rejected: RejectionCounts,
    /// Packets received.
    pub packets_in: u64,
    /// Packets sent.
    pub packets_out: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

impl MembershipView {
    /// Whether the member sees another of this name.
    pub fn contains(&self, name: &str) -> bool {
        self.members.iter().any(|member| member.name == name)
    }
}
