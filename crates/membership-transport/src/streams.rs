//! Whole states over TCP: the caller sends its own, the other answers with its own, each once.
//!
//! On the wire a state is its length, four bytes, largest first, and the sealed state. The length is bounded,
//! memory grows with what has come and not with what is announced, and all of one stream has one time limit.
use std::io::{self, ErrorKind, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use copperspread_membership::{Key, MAX_STATE_BYTES, MembershipState};
use crossbeam_channel::{Receiver, Sender, bounded};
use socket2::{Domain, Socket, Type};

use crate::driver::Shared;

/// Streams served at once, by a thread each.
pub(crate) const SERVED_AT_ONCE: usize = 4;
/// All of one stream, from when it is up.
const WITHIN: Duration = Duration::from_secs(3);
/// A connection that is not up by then has failed.
const CONNECT_WITHIN: Duration = Duration::from_millis(800);
/// How long a read or a write goes on without a look whether all ends.
const LOOK: Duration = Duration::from_millis(100);

/// A state for the protocol, and where its own goes, if one is wanted.
pub(crate) struct Mail {
    pub(crate) state: MembershipState,
    pub(crate) answer: Option<Sender<MembershipState>>,
}

/// What a stream's thread needs.
#[derive(Clone)]
pub(crate) struct Way {
    pub(crate) shared: Arc<Shared>,
    pub(crate) key: Key,
    pub(crate) mail: Sender<Mail>,
    pub(crate) bound: IpAddr,
}

/// Serves the streams that come, until there are no more.
pub(crate) fn serve_all(way: &Way, streams: &Receiver<TcpStream>) {
    for stream in streams {
        way.count(serve(way, stream));
    }
}

/// Begins the exchanges that are wanted, until there are no more.
pub(crate) fn begin_all(way: &Way, wanted: &Receiver<(SocketAddr, MembershipState)>) {
    for (with, state) in wanted {
        way.count(exchange(way, with, &state));
    }
}

fn serve(way: &Way, stream: TcpStream) -> io::Result<()> {
    // It came from a listener that does not block.
    stream.set_nonblocking(false)?;
    let mut stream = Timed::new(stream, &way.shared);
    let Some(state) = way.read(&mut stream)? else { return Ok(()) };
    let (answer, answered) = bounded(1);
    if way.post(Mail { state, answer: Some(answer) }, stream.by)
        && let Ok(own) = answered.recv_deadline(stream.by)
    {
        way.write(&mut stream, &own)?;
    }
    Ok(())
}

fn exchange(way: &Way, with: SocketAddr, own: &MembershipState) -> io::Result<()> {
    let socket = Socket::new(Domain::for_address(with), Type::STREAM, None)?;
    if !way.bound.is_unspecified() {
        // From the number that peers know it by.
        socket.bind(&SocketAddr::new(way.bound, 0).into())?;
    }
    socket.connect_timeout(&with.into(), CONNECT_WITHIN)?;
    let mut stream = Timed::new(socket.into(), &way.shared);
    way.write(&mut stream, own)?;
    if let Some(state) = way.read(&mut stream)? {
        way.post(Mail { state, answer: None }, stream.by);
    }
    Ok(())
}

impl Way {
    fn count(&self, done: io::Result<()>) {
        if done.is_err() && !self.shared.ending() {
            self.shared.counts.streams_failed.add();
        }
    }

    /// A state that somebody with the key sent; nothing where it is none, which is counted.
    fn read(&self, stream: &mut Timed<'_>) -> io::Result<Option<MembershipState>> {
        let mut length = [0; 4];
        stream.read_exact(&mut length)?;
        let length = u32::from_be_bytes(length);
        if length as usize > MAX_STATE_BYTES {
            self.shared.counts.reject(copperspread_membership::PacketError::TooLarge);
            return Ok(None);
        }
        let mut frame = Vec::new();
        Read::by_ref(stream).take(length.into()).read_to_end(&mut frame)?;
        if frame.len() < length as usize {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        // Here and not in the protocol's thread, which has no time for what is forged.
        match MembershipState::open(&self.key, &frame) {
            Ok(state) => Ok(Some(state)),
            Err(why) => {
                self.shared.counts.reject(why);
                Ok(None)
            }
        }
    }

    fn write(&self, stream: &mut Timed<'_>, state: &MembershipState) -> io::Result<()> {
        let frame = state.seal(&self.key);
        // Bounded far below what four bytes hold.
        let length = u32::try_from(frame.len()).unwrap_or(u32::MAX).to_be_bytes();
        stream.write_all(&[&length[..], &frame].concat())
    }

    /// Hands a state to the protocol by an instant; whether there was room.
    fn post(&self, mail: Mail, by: Instant) -> bool {
        let posted = self.mail.send_deadline(mail, by).is_ok();
        if posted {
            self.shared.wake();
        } else if !self.shared.ending() {
            self.shared.counts.states_dropped.add();
        }
        posted
    }
}

/// A stream all of which has one time limit, and which ends when the member does. Guards against a peer that
/// sends a byte now and then, each within a limit of its own.
struct Timed<'a> {
    stream: TcpStream,
    by: Instant,
    shared: &'a Shared,
}

impl Timed<'_> {
    fn new(stream: TcpStream, shared: &Shared) -> Timed<'_> {
        Timed { stream, by: Instant::now() + WITHIN, shared }
    }

    /// Tries until it is done, the time is over or the member ends.
    fn until(&mut self, mut what: impl FnMut(&mut TcpStream) -> io::Result<usize>) -> io::Result<usize> {
        loop {
            let left = self.by.saturating_duration_since(Instant::now()).min(LOOK);
            if left.is_zero() || self.shared.ending() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
            self.stream.set_write_timeout(Some(left))?;
            match what(&mut self.stream) {
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                done => return done,
            }
        }
    }
}

impl Read for Timed<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.until(|stream| stream.read(into))
    }
}

impl Write for Timed<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.until(|stream| stream.write(bytes))
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
