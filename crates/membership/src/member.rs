//! The identity by which the members of the cluster know a scheduler. Also defines which of two identities
//! with the same address takes precedence.
use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// Maximum length of a member's name, zone or region, in bytes. The length is bounded because the header of a
/// packet contains up to three members, each with these three texts.
const MAX_NAME_BYTES: usize = 64;

/// The identity of a member, which is a scheduler. Of two identities with the same address, the one with the
/// later generation takes precedence. If the generations are equal, the one with more rejoins does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The member's name, which stays the same after a restart.
    pub name: String,
    /// The name of the zone in which the member runs.
    pub zone: String,
    /// The name of the region in which the member runs.
    pub region: String,
    /// The address at which other members reach the member.
    pub address: SocketAddr,
    /// A number that grows with every start of the member's process, for example the Unix time of the start.
    /// The number can be lower than that of an earlier process, for example because the clock was set back.
    /// The member then raises the number as soon as it learns of the earlier process.
    pub generation: u64,
    /// How often the running process of the member has rejoined after the other members had declared the
    /// member dead. Counted from 0 again when the process raises its own generation ([`Member::generation`]).
    // The JSON of the status page `GET /-/cluster` names this field `returned`, and this JSON name must not
    // change.
    #[serde(rename = "returned")]
    pub rejoins: u32,
}

impl Member {
    /// Whether the member's name, zone and region are short enough for a packet.
    pub(crate) fn fits_in_packet(&self) -> bool {
        [&self.name, &self.zone, &self.region].iter().all(|text| text.len() <= MAX_NAME_BYTES)
    }

    /// Returns this identity with a generation above that of `known`, the identity by which other members
    /// still know an earlier process of this member. Returns `None` if `known` does not take precedence over
    /// this identity, or belongs to a different member at the same address.
    pub(crate) fn with_generation_above(&self, known: &Member) -> Option<Member> {
        let known_takes_precedence =
            known.address == self.address && known.name == self.name && known.win_addr_conflict(self);
        known_takes_precedence.then(|| Member {
            generation: known.generation.saturating_add(1),
            rejoins: 0,
            ..self.clone()
        })
    }

    /// Creates a placeholder identity for the unknown member at an address. The identity of any real member
    /// at that address takes precedence.
    pub(crate) fn placeholder(address: SocketAddr) -> Member {
        let (name, zone, region) = Default::default();
        Member { name, zone, region, address, generation: 0, rejoins: 0 }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        Some(Member { rejoins: self.rejoins.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Member) -> bool {
        // Two members with the same address, generation and number of rejoins can exist only because of a
        // wrong configuration. Their names are compared so that all members prefer the same one of the two.
        (self.generation, self.rejoins, &self.name) > (other.generation, other.rejoins, &other.name)
    }
}
