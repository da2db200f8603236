//! Addresses of a fleet's own on loopback.
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// The number in a block that holds the claim to it.
const CLAIM_HOST: u8 = 251;
/// The claim's port, below those that the system gives out: the same in all blocks, as it is the lock.
const CLAIM_PORT: u16 = 21_921;
/// Each member's ports in its block: for clients, and for its peers.
pub(crate) const LISTEN_PORT: u16 = 21_922;
pub(crate) const MEMBERSHIP_PORT: u16 = 21_923;
/// The number in a block that the relays have.
const RELAY_HOST: u8 = 250;
/// Tries to get one port for both protocols.
const MAX_BIND_ATTEMPTS: u32 = 100;

/// A block of 256 addresses, claimed until it is dropped.
pub(crate) struct AddressBlock {
    third: u8,
    _claim: TcpListener,
}

impl AddressBlock {
    /// The first that no other fleet of this machine has.
    pub(crate) fn claim() -> AddressBlock {
        let free = (1..=u8::MAX).find_map(|third| {
            let claim = TcpListener::bind((Ipv4Addr::new(127, 0, third, CLAIM_HOST), CLAIM_PORT)).ok()?;
            Some(AddressBlock { third, _claim: claim })
        });
        free.expect("a block of loopback addresses that no other fleet has")
    }

    /// The address of a member, from 0.
    pub(crate) fn member_address(&self, number: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.third, number as u8 + 1)
    }

    /// Which member has an address.
    pub(crate) fn member_number(&self, of: SocketAddr) -> Option<usize> {
        match of {
            SocketAddr::V4(of) if of.ip().octets()[..3] == [127, 0, self.third] => {
                let last = of.ip().octets()[3];
                (last != 0 && last < RELAY_HOST).then(|| usize::from(last) - 1)
            }
            _ => None,
        }
    }

    /// The address of all relays.
    pub(crate) fn relay_address(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.third, RELAY_HOST)
    }
}

/// One port for TCP and UDP.
pub(crate) fn bind_tcp_and_udp(at: Ipv4Addr) -> (TcpListener, UdpSocket, SocketAddr) {
    let one = || {
        let streams = TcpListener::bind((at, 0)).ok()?;
        let address = streams.local_addr().ok()?;
        Some((streams, UdpSocket::bind(address).ok()?, address))
    };
    (0..MAX_BIND_ATTEMPTS).find_map(|_| one()).expect("a port for TCP and UDP")
}
