//! Address blocks. Each fleet of test processes gets 256 loopback addresses of its own. A member of a fleet
//! is one scheduler process.
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// Last octet of the address on which a fleet listens to claim an address block.
const CLAIM_HOST: u8 = 251;
/// Port on which a fleet listens to claim an address block. All fleets use this port, so only one fleet can
/// claim each block. The port is below the system's ephemeral ports.
const CLAIM_PORT: u16 = 21_921;
/// Port on which each member accepts clients.
const HTTP_PORT: u16 = 21_922;
/// Port on which each member receives packets and streams from other members.
const MEMBERSHIP_PORT: u16 = 21_923;
/// Last octet of the address that all relays of a fleet share. A relay receives what other members send to a
/// member, and forwards it to that member. The addresses of members have lower last octets.
const RELAY_HOST: u8 = 250;
/// Maximum number of attempts to find a free port for a relay. The port must be free for both TCP and UDP.
/// Each attempt binds a TCP port that the system assigns, and then the UDP port with the same number.
const MAX_BIND_ATTEMPTS: u32 = 100;

/// A block of loopback addresses that a fleet has claimed. The claim ends when this value is dropped.
pub(crate) struct AddressBlock {
    third_octet: u8,
    _claim: TcpListener,
}

impl AddressBlock {
    /// Claims the first address block that no other fleet on this machine has claimed.
    ///
    /// # Panics
    /// Panics if all blocks are claimed.
    pub(crate) fn claim() -> AddressBlock {
        let free = (1..=u8::MAX).find_map(|third_octet| {
            let address = Ipv4Addr::new(127, 0, third_octet, CLAIM_HOST);
            let claim = TcpListener::bind((address, CLAIM_PORT)).ok()?;
            Some(AddressBlock { third_octet, _claim: claim })
        });
        free.expect("a block of loopback addresses is free")
    }

    /// Returns the address on which a member accepts clients. `member` is the member's number, counted from
    /// 0.
    pub(crate) fn http_address(&self, member: usize) -> SocketAddr {
        (self.member_ip(member), HTTP_PORT).into()
    }

    /// Returns the address on which a member receives packets and streams from other members.
    pub(crate) fn membership_address(&self, member: usize) -> SocketAddr {
        (self.member_ip(member), MEMBERSHIP_PORT).into()
    }

    fn member_ip(&self, member: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, 0, self.third_octet, member as u8 + 1)
    }

    /// Returns the number of the member that has this address, or `None` if no member can have the address.
    pub(crate) fn member_at(&self, address: SocketAddr) -> Option<usize> {
        match address {
            SocketAddr::V4(address) if address.ip().octets()[..3] == [127, 0, self.third_octet] => {
                let host = address.ip().octets()[3];
                (host != 0 && host < RELAY_HOST).then(|| usize::from(host) - 1)
            }
            _ => None,
        }
    }

    /// Binds the TCP socket and the UDP socket of one relay to the same port.
    ///
    /// # Panics
    /// Panics if no port can be bound for both TCP and UDP.
    pub(crate) fn bind_relay(&self) -> RelaySockets {
        let relay_ip = Ipv4Addr::new(127, 0, self.third_octet, RELAY_HOST);
        let bound = (0..MAX_BIND_ATTEMPTS).find_map(|_| RelaySockets::bind(relay_ip));
        bound.expect("a port is free for both TCP and UDP")
    }
}

/// The TCP and UDP sockets of a relay, bound to the same port.
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
