//! Addresses, names and the key of simulated members.
use std::net::SocketAddr;

use copperspread_membership::{Key, Member};

/// The port on which every simulated member listens.
const PORT: u16 = 7000;
/// The members' zones, in turn.
const ZONES: [&str; 3] = ["arnhem", "zwolle", "eindhoven"];

/// The address of the member with this index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], PORT))
}

/// The index of the member with this address.
pub(super) fn member_index(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [.., high, low] = v4.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

/// The key of all simulated members.
///
/// # Panics
/// Never: the key is long enough.
pub fn key() -> Key {
    Key::new(b"a key for the tests alone").expect("a key")
}

/// The member with this index, in one generation of its process.
pub fn member_info(index: usize, generation: u64) -> Member {
    Member {
        name: format!("n{index}"),
        zone: ZONES[index % ZONES.len()].to_owned(),
        region: "nl".to_owned(),
        address: address(index),
        generation,
        rejoins: 0,
    }
}
