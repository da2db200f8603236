//! The sockets of a member: UDP for packets and TCP for streams, with the same port number.
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use mio::{Interest, Poll, Token, Waker};

use crate::config::StartError;

/// Requested size of the UDP receive buffer, in bytes. The buffer holds the packets that arrive while the
/// process is paused. The operating system may grant less.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;
/// Maximum number of attempts to bind UDP and TCP to the same port, if the operating system chooses the port.
const MAX_BIND_ATTEMPTS: usize = 16;

const UDP_TOKEN: Token = Token(0);
const TCP_TOKEN: Token = Token(1);
const WAKER_TOKEN: Token = Token(2);

/// The bound sockets of a member, which are not yet registered with a `mio::Poll`.
pub(crate) struct BoundSockets {
    udp: UdpSocket,
    tcp: TcpListener,
    pub(crate) address: SocketAddr,
}

/// The sockets of a member, and the `mio::Poll` that waits for their events. The driver thread owns and
/// closes them.
pub(crate) struct PolledSockets {
    pub(crate) poll: Poll,
    pub(crate) udp: mio::net::UdpSocket,
    pub(crate) tcp: mio::net::TcpListener,
}

impl BoundSockets {
    /// Binds the UDP socket and the TCP socket to the same address and port.
    pub(crate) fn bind(wanted: SocketAddr) -> Result<BoundSockets, StartError> {
        let bind_error = |source| StartError::Bind { address: wanted, source };
        let mut attempts_left = if wanted.port() == 0 { MAX_BIND_ATTEMPTS } else { 1 };
        loop {
            let udp = UdpSocket::bind(wanted).map_err(bind_error)?;
            let address = udp.local_addr().map_err(bind_error)?;
            match TcpListener::bind(address) {
                Ok(tcp) => return Ok(BoundSockets { udp, tcp, address }),
                Err(error) if attempts_left <= 1 => return Err(bind_error(error)),
                Err(_) => attempts_left -= 1,
            }
        }
    }

    /// Registers the sockets with a new `mio::Poll`. Returns the sockets together with the `mio::Poll`, and a
    /// waker for the thread that waits on it.
    pub(crate) fn register(self) -> io::Result<(PolledSockets, Waker)> {
        // An error when the buffer size is set is ignored. With a smaller buffer, more packets are lost
        // during a pause of the process, and nothing else changes.
        let _ = socket2::SockRef::from(&self.udp).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        self.udp.set_nonblocking(true)?;
        self.tcp.set_nonblocking(true)?;
        let mut udp = mio::net::UdpSocket::from_std(self.udp);
        let mut tcp = mio::net::TcpListener::from_std(self.tcp);
        let poll = Poll::new()?;
        poll.registry().register(&mut udp, UDP_TOKEN, Interest::READABLE)?;
        poll.registry().register(&mut tcp, TCP_TOKEN, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKER_TOKEN)?;
        Ok((PolledSockets { poll, udp, tcp }, waker))
    }
}
