//! Who a member is.
use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// Longest name, zone or region, in bytes: a packet names up to three members in its head alone.
const MAX_NAME_BYTES: usize = 64;

/// A scheduler as its peers know it. Of two with one address the later generation stands.
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
    /// Grows with every start of its process, such as the start's Unix time.
    pub generation: u64,
    /// How often it came back within this start after the others had given it up.
    #[serde(rename = "returned")]
    pub rejoins: u32,
}

impl Member {
    /// Whether its texts are short enough for a packet.
    pub(crate) fn fits_in_packet(&self) -> bool {
        [&self.name, &self.zone, &self.region].iter().all(|text| text.len() <= MAX_NAME_BYTES)
    }

    /// A stand-in for whoever listens at an address; any real member there replaces it.
    pub(crate) fn placeholder(address: SocketAddr) -> Member {
        let nameless = String::new();
        let (zone, region) = (nameless.clone(), nameless.clone());
        Member { name: nameless, zone, region, address, generation: 0, rejoins: 0 }
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
        // The names settle what a wrong set-up leaves equal: the same everywhere.
        (self.generation, self.rejoins, &self.name) > (other.generation, other.rejoins, &other.name)
    }
}
