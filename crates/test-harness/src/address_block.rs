//! A block of loopback addresses for each fleet.
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Last octet of the address that holds the claim to a block.
const CLAIM_HOST: u8 = 251;
/// The claim's port, below those that the system gives out: the same in all blocks, as it is the lock.
const CLAIM_PORT: u16 = 21_921;
/// Each member's port for clients.
const HTTP_PORT: u16 = 21_922;
/// Each member's port for its peers.
const MEMBERSHIP_PORT: u16 = 21_923;
/// Last octet of the address of all relays. Members have those below.
const RELAY_HOST: u8 = 250;
/// Attempts to get one port for both protocols.
const MAX_BIND_ATTEMPTS: u32 = 100;

/// A block of 256 addresses, claimed until it is dropped.
pub(crate) struct AddressBlock {
    third_octet: u8,
    _claim: TcpListener,
}

impl AddressBlock {
    /// Claims the first block that no other fleet of this machine has.
    ///
    /// # Panics
    /// All blocks are claimed.
    pub(crate) fn claim() -> AddressBlock {
        let free = (1..=u8::MAX).find_map(|third_octet| {
            let address = Ipv4Addr::new(127, 0, third_octet, CLAIM_HOST);
            let claim = TcpListener::bind((address, CLAIM_PORT)).ok()?;
            Some(AddressBlock { third_octet, _claim: claim })
        });
        free.expect("a block of loopback addresses that no other fleet has")
    }

    /// Where a member, counted from 0, takes requests of clients.
    pub(crate) fn http_address(&self, member: usize) -> SocketAddr {
        (self.member_ip(member), HTTP_PORT).into()
    }

    /// Where a member takes its peers' packets.
    pub(crate) fn membership_address(&self, member: usize) -> SocketAddr {
        (self.member_ip(member), MEMBERSHIP_PORT).into()
    }

    fn member_ip(&self, member: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.third_octet, member as u8 + 1)
    }

    /// Which member sends from an address.
    pub(crate) fn member_at(&self, address: SocketAddr) -> Option<usize> {
        match address {
            SocketAddr::V4(address) if address.ip().octets()[..3] == [127, 0, self.third_octet] => {
                let host = address.ip().octets()[3];
                (host != 0 && host < RELAY_HOST).then(|| usize::from(host) - 1)
            }
            _ => None,
        }
    }

    /// Binds the sockets of one relay.
    ///
    /// # Panics
    /// The system has no port that is free for both protocols.
    pub(crate) fn bind_relay(&self) -> RelaySockets {
        let relay_ip = Ipv4Addr::new(127, 0, self.third_octet, RELAY_HOST);
        let bound = (0..MAX_BIND_ATTEMPTS).find_map(|_| RelaySockets::bind(relay_ip));
        bound.expect("a port for TCP and UDP")
    }
}

/// The sockets of a relay, on one port.
pub(crate) struct RelaySockets {
    pub(crate) tcp: TcpListener,
    pub(crate) udp: UdpSocket,
    pub(crate) address: SocketAddr,
}

impl RelaySockets {
    fn bind(ip: Ipv4Addr) -> Option<RelaySockets> {
        let tcp = TcpListener::bind((ip, 0)).ok()?;
        let address = tcp.local_addr().ok()?;
        let udp = UdpSocket::bind(address).ok()?;
        Some(RelaySockets { tcp, udp, address })
    }
}
