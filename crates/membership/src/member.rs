//! The identity of a member.
use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// Longest name, zone or region, in bytes: the header of a packet alone names up to three members.
const MAX_NAME_BYTES: usize = 64;

/// A scheduler as its peers know it. Of two with one address the one of the later generation counts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name, the same after a restart.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where its peers reach it.
    pub address: SocketAddr,
    /// Grows with every start of its process, such as the start's Unix time. Where it was lower than that of an
    /// earlier process, as after a step back of the clock, the member raises it as soon as it learns of that one.
    pub generation: u64,
    /// How often it rejoined, within this run of its process, after the others had declared it dead.
    #[serde(rename = "returned")]
    pub rejoins: u32,
}

impl Member {
    /// Whether its texts are short enough for a packet.
    pub(crate) fn fits_in_packet(&self) -> bool {
        [&self.name, &self.zone, &self.region].iter().all(|text| text.len() <= MAX_NAME_BYTES)
    }

    /// The identity that counts over an earlier one of this member, which the others still know. It is `None`
    /// where this one does already, or where another member was known under this one's address.
    pub(crate) fn superseding(&self, known: &Member) -> Option<Member> {
        let is_superseded =
            known.address == self.address && known.name == self.name && known.win_addr_conflict(self);
        is_superseded.then(|| Member {
            generation: known.generation.saturating_add(1),
            rejoins: 0,
            ..self.clone()
        })
    }

    /// Stands for whoever listens at an address; any real member there replaces it.
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
        // Where a wrong configuration makes the rest equal, the names decide: the same way at every member.
        (self.generation, self.rejoins, &self.name) > (other.generation, other.rejoins, &other.name)
    }
}
