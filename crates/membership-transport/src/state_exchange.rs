//! The exchange of whole states over TCP: the caller sends its own, the other answers with its own, each once.
//!
//! On the wire a state is its length, four bytes in network order, and the sealed state. The length is bounded, memory
//! grows with the bytes that have arrived and not with the announced length, and a whole stream has one time limit.
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

/// Threads that serve accepted streams, and so the streams that are served at once.
pub(crate) const SERVER_THREADS: usize = 4;
/// A connection that takes longer has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes of the length before a state.
const LENGTH_BYTES: usize = 4;

/// What a thread that exchanges states needs; each has a clone of its own.
#[derive(Clone)]
pub(crate) struct StateExchange {
    pub(crate) shared: Arc<Shared>,
    pub(crate) key: Key,
    pub(crate) received_states: Sender<ReceivedState>,
    /// The address that the member is bound to.
    pub(crate) bind_ip: IpAddr,
}

impl StateExchange {
    /// Serves accepted streams until the driver has ended.
    pub(crate) fn serve_streams(&self, streams: &Receiver<TcpStream>) {
        for stream in streams {
            let result = self.serve(stream);
            self.count_failure(&result);
        }
    }

    /// Carries out exchange requests until the driver has ended.
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

    /// Reads a peer's state and answers with this member's own.
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        // It inherits the mode of its listener, which does not block.
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

    /// Sends this member's own state to a peer and reads the peer's.
    fn exchange(&self, request: &ExchangeRequest) -> io::Result<()> {
        let stream = self.connect(request.peer)?;
        let mut stream = TimedStream::new(stream, &self.shared);
        self.write_state(&mut stream, &request.state)?;
        if let Some(state) = self.read_state(&mut stream)? {
            self.send_to_driver(ReceivedState { state, reply: None }, stream.deadline());
        }
        Ok(())
    }

    /// Connects from the address that peers know this member by.
    fn connect(&self, peer: SocketAddr) -> io::Result<TcpStream> {
        let socket = Socket::new(Domain::for_address(peer), Type::STREAM, None)?;
        if !self.bind_ip.is_unspecified() {
            socket.bind(&SocketAddr::new(self.bind_ip, 0).into())?;
        }
        socket.connect_timeout(&peer.into(), CONNECT_TIMEOUT)?;
        Ok(socket.into())
    }

    /// Reads a state that was sealed with the key; one that was not is counted, and gives `None`. The tag is verified
    /// here and not in the driver's thread, which has no time for forgeries.
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
        // A sealed state is far shorter than four bytes can say.
        let length = u32::try_from(frame.len()).unwrap_or(u32::MAX).to_be_bytes();
        stream.write_all(&[&length[..], &frame].concat())
    }

    /// Queues a state for the driver; whether there was room before the deadline.
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
