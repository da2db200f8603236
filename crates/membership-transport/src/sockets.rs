//! The sockets of a member: UDP for packets and TCP for streams, on one port.
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

use mio::{Interest, Poll, Token, Waker};

use crate::config::StartError;

/// Receive buffer that is asked for, in bytes, for the packets that wait during a pause; the system may give less.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;
/// Attempts to get one port for both protocols where the system chooses it.
const MAX_BIND_ATTEMPTS: usize = 16;

const PACKETS: Token = Token(0);
const STREAMS: Token = Token(1);
const WAKE: Token = Token(2);

/// The sockets as the system bound them, not yet polled.
pub(crate) struct BoundSockets {
    udp: UdpSocket,
    tcp: TcpListener,
    pub(crate) address: SocketAddr,
}

/// The sockets with the poll that waits for them. The driver's thread owns and closes them.
pub(crate) struct PolledSockets {
    pub(crate) poll: Poll,
    pub(crate) udp: mio::net::UdpSocket,
    pub(crate) tcp: mio::net::TcpListener,
}

impl BoundSockets {
    /// Binds both protocols to one port.
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

    /// Registers them with a poll, and gives what wakes it.
    pub(crate) fn register(self) -> io::Result<(PolledSockets, Waker)> {
        // A smaller buffer does as well, with more packets lost while the process is stopped.
        let _ = socket2::SockRef::from(&self.udp).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        self.udp.set_nonblocking(true)?;
        self.tcp.set_nonblocking(true)?;
        let mut udp = mio::net::UdpSocket::from_std(self.udp);
        let mut tcp = mio::net::TcpListener::from_std(self.tcp);
        let poll = Poll::new()?;
        poll.registry().register(&mut udp, PACKETS, Interest::READABLE)?;
        poll.registry().register(&mut tcp, STREAMS, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKE)?;
        Ok((PolledSockets { poll, udp, tcp }, waker))
    }
}
