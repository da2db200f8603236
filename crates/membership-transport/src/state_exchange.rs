//! The exchange of states between two members over TCP. The member that connects sends its state, and the
//! other member replies with its own state. Each sends one state per stream.
//!
//! On the wire, the length of a state comes first, as four bytes in network order. The sealed state follows.
//! The length is bounded. Memory is allocated for the bytes that have arrived, not for the length that the
//! peer has sent. Each stream has one time limit for all its reads and writes.
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use copperspread_membership::{Key, MAX_STATE_BYTES, MembershipState, PacketError};
use crossbeam_channel::{Receiver, Sender, bounded};
use socket2::{Domain, Socket, Type};

use crate::messages::{ExchangeRequest, ReceivedState};
use crate::shared::Shared;
use crate::timed_stream::TimedStream;

/// Number of threads that serve accepted streams. No more streams than this are served at the same time.
pub(crate) const SERVER_THREADS: usize = 4;
/// Time limit for connecting to another member.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Size of the length field before a state, in bytes.
const LENGTH_BYTES: usize = 4;

/// What a stream thread needs to exchange states. Each stream thread has its own clone.
#[derive(Clone)]
pub(crate) struct StateExchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) key: Key,
    pub(crate) received_states: Sender<ReceivedState>,
    /// The IP address to which this member is bound.
    pub(crate) bind_ip: IpAddr,
}

impl StateExchange {
    /// Serves accepted streams, one after the other, until the driver has ended.
    pub(crate) fn serve_streams(&self, streams: &Receiver<TcpStream>) {
        for stream in streams {
            let result = self.serve(stream);
            self.count_failure(&result);
        }
    }

    /// Carries out the exchange requests of the driver, the thread that runs the membership protocol. For
    /// each request, sends this member's list of members to another member, and receives that member's list.
    /// Returns once the driver has ended.
    pub(crate) fn run_requests(&self, requests: &Receiver<ExchangeRequest>) {
        for request in requests {
            let result = self.exchange(&request);
            self.count_failure(&result);
        }
    }

    fn count_failure(&self, result: &io::Result<()>) {
        if result.is_err() && self.shared.is_running() {
            self.shared.counters.streams_failed.increment();
        }
    }

    /// Serves an accepted stream: reads the state of the peer, and replies with the state of this member.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        // An accepted stream is non-blocking, like its listener, but `TimedStream` needs a blocking stream.
        stream.set_nonblocking(false)?;
        let mut stream = TimedStream::new(stream, &self.shared);
        let Some(state) = self.read_state(&mut stream)? else { return Ok(()) };
        let (reply, reply_receiver) = bounded(1);
        let received = ReceivedState { state, reply: Some(reply) };
        if self.send_to_driver(received, stream.deadline())
            && let Ok(own_state) = reply_receiver.recv_deadline(stream.deadline())
        {
            self.write_state(&mut stream, &own_state)?;
        }
        Ok(())
    }

    /// Connects to a peer, sends the state of this member, and reads the peer's state.
    fn exchange(&self, request: &ExchangeRequest) -> io::Result<()> {
        let stream = self.connect(request.peer)?;
        let mut stream = TimedStream::new(stream, &self.shared);
        self.write_state(&mut stream, &request.state)?;
        if let Some(state) = self.read_state(&mut stream)? {
            self.send_to_driver(ReceivedState { state, reply: None }, stream.deadline());
        }
        Ok(())
    }

    /// Connects to a peer from the IP address to which this member is bound, because peers usually know the
    /// member by that address. If the member is bound to the unspecified address, the operating system
    /// chooses the IP address.
    fn connect(&self, peer: SocketAddr) -> io::Result<TcpStream> {
        let socket = Socket::new(Domain::for_address(peer), Type::STREAM, None)?;
        if !self.bind_ip.is_unspecified() {
            socket.bind(&SocketAddr::new(self.bind_ip, 0).into())?;
        }
        socket.connect_timeout(&peer.into(), CONNECT_TIMEOUT)?;
        Ok(socket.into())
    }

    /// Reads, verifies and decodes the state of a peer. If the state is rejected, counts the rejection and
    /// returns `None`. This thread verifies the tag, so that forged states do not take up the time of the
    /// driver thread.
    fn read_state(&self, stream: &mut TimedStream<'_>) -> io::Result<Option<MembershipState>> {
        let mut length = [0; LENGTH_BYTES];
        stream.read_exact(&mut length)?;
        let length = u32::from_be_bytes(length);
        if length as usize > MAX_STATE_BYTES {
            self.shared.counters.record_rejection(PacketError::TooLarge);
            return Ok(None);
        }
        let mut frame = Vec::new();
        Read::by_ref(stream).take(length.into()).read_to_end(&mut frame)?;
        if frame.len() < length as usize {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let opened = MembershipState::open(&self.key, &frame);
        Ok(opened.map_err(|error| self.shared.counters.record_rejection(error)).ok())
    }

    fn write_state(&self, stream: &mut TimedStream<'_>, state: &MembershipState) -> io::Result<()> {
        let frame = state.seal(&self.key);
        // The length of a sealed state is at most `MAX_STATE_BYTES`, so it always fits into four bytes.
        let length = u32::try_from(frame.len()).unwrap_or(u32::MAX).to_be_bytes();
        stream.write_all(&[&length[..], &frame].concat())
    }

    /// Queues a received state for the driver. Returns whether the queue had room before the deadline.
    fn send_to_driver(&self, received: ReceivedState, deadline: Instant) -> bool {
        let is_queued = self.received_states.send_deadline(received, deadline).is_ok();
        if is_queued {
            self.shared.wake_driver();
        } else if self.shared.is_running() {
            self.shared.counters.states_dropped.increment();
        }
        is_queued
    }
}
