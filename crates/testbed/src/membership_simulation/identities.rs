//! The addresses, identities and shared key of simulated members.
use std::net::SocketAddr;

use copperspread_membership::{Key, Member};

/// The port in the address of every simulated member.
const PORT: u16 = 7000;
/// The zones of the simulated members. The members are assigned to the zones in turn, in the order of their
/// indexes.
const ZONES: [&str; 3] = ["arnhem", "zwolle", "eindhoven"];

/// Returns the network address of the simulated member with this index.
pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], PORT))
}

/// Returns the index of the simulated member with this address; `None` for an IPv6 address, which no
/// simulated member has.
pub(super) fn member_index(address: SocketAddr) -> Option<usize> {
    match address {
        SocketAddr::V4(v4) => {
            let [.., high, low] = v4.ip().octets();
            Some(usize::from(high) << 8 | usize::from(low))
        }
        SocketAddr::V6(_) => None,
    }
}

/// The key that all simulated members share.
///
/// # Panics
/// Never, because the key has a valid length.
pub fn shared_key() -> Key {
    Key::new(b"a key for the tests alone").expect("the key has a valid length")
}

/// Returns the identity of the simulated member with this index. The generation identifies one process of the
/// member, and grows with every start of a new process.
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
