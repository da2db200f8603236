//! Edge connections: their places, the deadline of their first request, and their end. Guards the
//! usual clients' places, memory and answers against clients that say nothing, stop half-way, send
//! too much or frame a body in two ways.
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::http::header::{self, HeaderValue};
use axum::response::{IntoResponse, Response};
use copperspread_dispatcher::*;
use futures_util::future::BoxFuture;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::io::InspectReader;
use tower_service::Service;

use crate::clock::from_now;
use crate::downstream::Downstream;
use crate::downstream::read_ahead::ReadAhead;
use crate::invariant::note;
use crate::messages::BodyPermit;
use crate::shutdown::{Shutdown, ShutdownPhase};

/// Longest body of a request.
pub const LONGEST_BODY: usize = 64 * 1024;
/// The first whole request of an edge connection has come by then, or the connection ends. Apart from
/// the limit between requests, so that it cuts no usual client, which sends as soon as it connects.
const FIRST_WITHIN: Micros = 2 * SECOND;
/// A later request's body has come this long after its head.
const BODY_WITHIN: Micros = 2 * SECOND;
/// An edge connection that sends no further request for this long is closed.
const IDLE: Duration = Duration::from_secs(75);
/// Most bytes buffered for one edge connection.
const BUFFER: usize = 16 * 1024;
/// Most bytes that one edge connection holds on to: its buffers, its task and a small body.
const WEIGHT: usize = 2 * BUFFER;
/// A body up to this size needs no room of its own.
pub const SMALL_BODY: usize = 4 * 1024;
/// The unit in which room for bodies is counted.
const ROOM_UNIT: usize = 1024;
/// Wait after an accept that failed for want of descriptors.
const ACCEPT_PAUSE: Micros = 20_000;
/// An edge connection younger than this does not lose its place: its request may be on its way.
const GRACE: Micros = 20_000;
/// One that is told to leave may still begin a request for so long.
const NOTICE: Micros = 5_000;
/// After the last answer on a connection that this side closes, what still comes is read and dropped
/// for so long and so much, as a reset over unread data would take the answer from its reader.
const LINGER: Micros = 2 * SECOND;
const LINGER_MOST: u64 = 64 << 20;

/// What a request may use up: time and memory for its body.
#[derive(Clone)]
pub struct RequestLimits {
    /// The body has come by then.
    pub body_by: Instant,
    room: Arc<Semaphore>,
    whole: Arc<AtomicBool>,
}

impl RequestLimits {
    /// The request has come to its last byte: what follows on its connection is no part of it, and its
    /// client is looked after until the answer.
    pub fn whole(&self) {
        self.whole.store(true, Ordering::Relaxed);
    }

    /// Waits for the room of a body of at most so many bytes.
    pub async fn room(&self, size: usize) -> BodyPermit {
        if size <= SMALL_BODY {
            return None;
        }
        let units = size.min(LONGEST_BODY).div_ceil(ROOM_UNIT) as u32;
        Arc::clone(&self.room).acquire_many_owned(units).await.ok().map(Arc::new)
    }
}

/// All edge connections of a node.
pub struct ClientConnections {
    router: Router,
    /// Where call-backs come: they are no clients' requests.
    guest_path: &'static str,
    ending: Shutdown,
    /// Moves to what takes connections, and closes with it.
    listener: Mutex<Option<TcpListener>>,
    places: Arc<ConnectionLimits>,
    room: Arc<Semaphore>,
    /// Requests that are being read or answered, and those of clients among them.
    busy: AtomicUsize,
    jobs: AtomicUsize,
}

impl ClientConnections {
    /// An edge that answers by a router, within limits.
    pub fn new(
        router: Router,
        guest_path: &'static str,
        ending: Shutdown,
        listener: TcpListener,
        sockets: usize,
        memory_mb: f64,
    ) -> Arc<ClientConnections> {
        let places = ConnectionLimits::new(max_connections(sockets, memory_mb));
        // A quarter of the memory, and one body in any case.
        let room = ((memory_mb * 1e6 / 4.0) as usize).max(LONGEST_BODY) / ROOM_UNIT;
        let room = Arc::new(Semaphore::new(room.min(Semaphore::MAX_PERMITS)));
        let (busy, jobs) = (AtomicUsize::new(0), AtomicUsize::new(0));
        let listener = Mutex::new(Some(listener));
        Arc::new(ClientConnections { router, guest_path, ending, listener, places, room, busy, jobs })
    }

    /// Clients' requests fill all places but the last, which are kept for call-backs.
    fn crowded(&self) -> bool {
        self.jobs.load(Ordering::Relaxed) > self.places.most - self.places.most / 8
    }

    /// Takes edge connections until they close.
    async fn take_all(self: Arc<Self>) {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(listener) = listener else { return };
        let mut ending = self.ending.watch();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = ending.wait_for(|stage| matches!(stage, ShutdownPhase::Closing(_))) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let place = Arc::new(self.places.take().await);
                    let edge = Arc::clone(&self);
                    tokio::spawn(async move { edge.serve(stream, place).await });
                }
                Err(error) if of_one_connection(&error) => {}
                // Guards against an end, or a busy loop, when descriptors run out.
                Err(error) => {
                    note("no connection taken", &error.to_string());
                    sleep_until(from_now(ACCEPT_PAUSE)).await;
                }
            }
        }
    }

    /// Serves one edge connection until either side closes it.
    async fn serve(self: &Arc<Self>, stream: TcpStream, place: Arc<ConnectionPermit>) {
        let _ = stream.set_nodelay(true);
        let stream = ReadAhead::new(stream);
        if !self.answer_all(&stream, &place).await {
            return;
        }
        place.becomes(State::Closing);
        let Some(stream) = stream.into_stream() else { return };
        tokio::select! {
            () = linger(stream) => {}
            () = place.leave.notified() => {}
        }
    }

    /// Answers one request after the other; whether the connection ends with an answer that its reader
    /// may not have yet, and is closed with care.
    async fn answer_all(self: &Arc<Self>, stream: &ReadAhead, place: &Arc<ConnectionPermit>) -> bool {
        let whole_by = from_now(FIRST_WITHIN);
        let used = Arc::new(AtomicBool::new(false));
        let whole = Arc::new(AtomicBool::new(false));
        let raw = Arc::new(RawHead::default());
        let mine = (Arc::clone(self), Arc::clone(&used), Arc::clone(&whole));
        let (seen, shared) = (Arc::clone(&raw), (Arc::clone(&raw), Arc::clone(place), stream.clone()));
        let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
            let ((edge, used, whole), (raw, place, stream)) = (mine.clone(), shared.clone());
            let body_by = if place.is(State::New) { whole_by } else { from_now(BODY_WITHIN) };
            Box::pin(async move {
                place.becomes(State::Serving);
                used.store(request.uri().path() != edge.guest_path, Ordering::Relaxed);
                let terms =
                    RequestLimits { body_by, room: Arc::clone(&edge.room), whole: Arc::clone(&whole) };
                let mut response = edge.answer(request.map(Body::new), &raw.take(), terms).await;
                whole.store(false, Ordering::Relaxed);
                // Guards against what came beyond the bytes that are kept: the rest is no request.
                if stream.overrun() {
                    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
                }
                raw.begin();
                place.becomes(State::Idle);
                Ok::<_, Infallible>(response)
            })
        });
        let begin = || {
            let seen = Arc::clone(&seen);
            let io = InspectReader::new(stream.clone(), move |bytes: &[u8]| seen.add(bytes));
            let mut library = http1::Builder::new();
            library.timer(TokioTimer::new()).header_read_timeout(IDLE).max_buf_size(BUFFER);
            library.serve_connection(TokioIo::new(io), service.clone())
        };
        let mut connection = begin();
        let mut ending = self.ending.watch();
        let mut late = false;
        let mut leaves: Option<Instant> = None;
        loop {
            tokio::select! {
                biased;
                // First of all: what has come is read, and what is to be written is, before anything ends.
                // Not shut down at once: what its peer still sends is read first.
                _ = poll_fn(|cx| connection.poll_without_shutdown(cx)) => return true,
                // Right after the request was read, and so before its flow has sent anything. Guards against
                // a client that asks and goes at once, and one that goes while it waits: dropped, the
                // connection tells the flow.
                () = poll_fn(|cx| match whole.load(Ordering::Relaxed) {
                    true => stream.poll_gone(cx),
                    false => Poll::Pending,
                }) => return false,
                // A client's connection closes once it is idle, so that its next request goes to
                // another scheduler. One that has sent nothing yet stays until all close: its first request
                // may be on its way. So does a real server's, for its call-backs. A request that has begun to
                // come is answered, and its connection closes with that.
                _ = ending.changed() => {
                    let all = matches!(self.ending.phase(), ShutdownPhase::Closing(_));
                    if place.is(State::Serving) || !(all || used.load(Ordering::Relaxed)) {
                        continue;
                    }
                    // Guards against an answer that waits for its reader and would be lost.
                    if stream.blocked() {
                        Pin::new(&mut connection).graceful_shutdown();
                        continue;
                    }
                    raw.take();
                    raw.begin();
                    if !stream.put_back(&connection.into_parts().read_buf) {
                        return true;
                    }
                    connection = begin();
                }
                // Guards against clients that connect and say nothing, or begin and do not end.
                () = sleep_until(whole_by), if !late => {
                    late = true;
                    if place.is(State::New) {
                        note("no first request in time", "closed");
                        return false;
                    }
                }
                () = place.leave.notified(), if leaves.is_none() => leaves = Some(from_now(NOTICE)),
                () = sleep_until(leaves.unwrap_or(whole_by)), if leaves.is_some() => {
                    leaves = None;
                    if place.is(State::Leaving) {
                        note("an edge connection gave its place up", "closed");
                        return false;
                    }
                }
            }
        }
    }

    /// One request's answer, and whether the connection stays.
    async fn answer(&self, mut request: Request, head: &[u8], terms: RequestLimits) -> Response {
        let _busy = Busy::new(&self.busy);
        let of_client = request.uri().path() != self.guest_path;
        let _job = of_client.then(|| Busy::new(&self.jobs));
        let mut response = if framed_twice(head, request.headers()) {
            note("bad request", "a body framed in two ways");
            StatusCode::BAD_REQUEST.into_response()
        } else if of_client && self.crowded() {
            // Guards against clients that fill all places and shut the call-backs out on which their
            // answers wait. Not a refusal: those are the module's.
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        } else {
            request.extensions_mut().insert(terms);
            match self.router.clone().call(request).await {
                Ok(response) => response,
                Err(never) => match never {},
            }
        };
        // Guards against clients that ask what cannot be and keep their place.
        if self.ending.has_begun() || response.status().is_client_error() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl Downstream for ClientConnections {
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()> {
        Box::pin(self.take_all())
    }

    fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }
}

/// Closes a connection whose answer may still be on its way to its reader.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        let mut rest = stream.take(LINGER_MOST);
        let _ = timeout_at(from_now(LINGER), tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
    }
}

/// The bytes of a head as they came. The library drops a `Content-Length` that stands beside a
/// `Transfer-Encoding` before anyone else sees the two.
#[derive(Default)]
struct RawHead(Mutex<(bool, Vec<u8>)>);

impl RawHead {
    fn inner(&self) -> MutexGuard<'_, (bool, Vec<u8>)> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, bytes: &[u8]) {
        let (full, head) = &mut *self.inner();
        if !*full && head.len() <= BUFFER {
            head.extend_from_slice(bytes);
        }
    }

    /// What came since the last answer; from here on it is a body.
    fn take(&self) -> Vec<u8> {
        let mut inner = self.inner();
        inner.0 = true;
        std::mem::take(&mut inner.1)
    }

    fn begin(&self) {
        self.inner().0 = false;
    }
}

/// Whether a request's body may be framed in two ways, one of which may hide another request. Where
/// the head did not come in one piece after the last answer, lines are missing: that counts as well.
fn framed_twice(head: &[u8], headers: &hyper::HeaderMap) -> bool {
    if !headers.contains_key(header::TRANSFER_ENCODING) {
        return false;
    }
    let mut lines = head.split(|&byte| byte == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line));
    let mut fields = 0;
    // Empty lines may come before the first one.
    lines.by_ref().find(|line| !line.is_empty());
    for line in lines.take_while(|line| !line.is_empty()) {
        let name = line.split(|&byte| byte == b':').next().unwrap_or_default();
        if name.trim_ascii().eq_ignore_ascii_case(b"content-length") {
            return true;
        }
        fields += 1;
    }
    fields != headers.len()
}

/// How many edge connections fit: a quarter of the descriptors is kept for real servers, discovery
/// and files, and half of the memory for larger bodies and all else.
pub fn max_connections(sockets: usize, memory_mb: f64) -> usize {
    let by_sockets = (sockets - sockets / 4).saturating_sub(16);
    let by_memory = (memory_mb * 1e6 / 2.0) as usize / WEIGHT;
    by_sockets.min(by_memory).max(8)
}

/// What an edge connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Its first request has not come.
    New,
    /// A request is read or answered.
    Serving,
    /// It stands between requests.
    Idle,
    /// It was told to leave and has not begun a request since.
    Leaving,
    /// It has had its last answer.
    Closing,
}

struct ConnectionEntry {
    state: State,
    since: Instant,
    leave: Arc<Notify>,
}

/// The places of edge connections, by the order in which they came.
struct ConnectionLimits {
    most: usize,
    seats: Mutex<(u64, BTreeMap<u64, ConnectionEntry>)>,
    freed: Notify,
}

impl ConnectionLimits {
    fn new(most: usize) -> Arc<ConnectionLimits> {
        Arc::new(ConnectionLimits { most, seats: Mutex::default(), freed: Notify::new() })
    }

    fn seats(&self) -> MutexGuard<'_, (u64, BTreeMap<u64, ConnectionEntry>)> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for a place. When few are left, those leave that use theirs least, so that clients which
    /// come by the hundred and say nothing wait for each other and not the usual ones for them.
    async fn take(self: &Arc<Self>) -> ConnectionPermit {
        loop {
            {
                let (last, seats) = &mut *self.seats();
                let leaving = seats.values().filter(|seat| seat.state == State::Leaving).count();
                let taken = seats.len() - leaving;
                let want = (taken + 1 + self.most / 8).saturating_sub(self.most);
                for _ in 0..want {
                    if !tell_one_to_leave(seats) {
                        break;
                    }
                }
                if seats.len() < self.most {
                    *last += 1;
                    let leave = Arc::new(Notify::new());
                    let seat = ConnectionEntry {
                        state: State::New,
                        since: Instant::now(),
                        leave: Arc::clone(&leave),
                    };
                    seats.insert(*last, seat);
                    return ConnectionPermit { places: Arc::clone(self), number: *last, leave };
                }
            }
            let _ = timeout_at(from_now(NOTICE), self.freed.notified()).await;
        }
    }
}

/// Those that have said nothing, or have nothing more to hear, leave first, then those that stand
/// between requests; each time the one that has done so for longest.
fn tell_one_to_leave(seats: &mut BTreeMap<u64, ConnectionEntry>) -> bool {
    let grace = Duration::from_micros(GRACE);
    let useless = |seat: &ConnectionEntry| matches!(seat.state, State::New | State::Closing);
    let of_use = seats.values().all(|seat| !useless(seat));
    let candidates = seats.values_mut().filter(|seat| seat.since.elapsed() >= grace);
    let mut candidates = candidates.filter(|seat| useless(seat) || (of_use && seat.state == State::Idle));
    let Some(first) = candidates.next() else { return false };
    let longest =
        candidates.fold(first, |longest, seat| if seat.since < longest.since { seat } else { longest });
    longest.state = State::Leaving;
    longest.leave.notify_one();
    true
}

/// One edge connection's place.
struct ConnectionPermit {
    places: Arc<ConnectionLimits>,
    number: u64,
    leave: Arc<Notify>,
}

impl ConnectionPermit {
    fn becomes(&self, state: State) {
        if let Some(seat) = self.places.seats().1.get_mut(&self.number) {
            (seat.state, seat.since) = (state, Instant::now());
        }
    }

    fn is(&self, state: State) -> bool {
        self.places.seats().1.get(&self.number).is_some_and(|seat| seat.state == state)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.places.seats().1.remove(&self.number);
        self.places.freed.notify_one();
    }
}

struct Busy<'a>(&'a AtomicUsize);

impl Busy<'_> {
    fn new(count: &AtomicUsize) -> Busy<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        Busy(count)
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

fn of_one_connection(error: &io::Error) -> bool {
    use io::ErrorKind::*;
    matches!(error.kind(), ConnectionAborted | ConnectionRefused | ConnectionReset | Interrupted)
}

#[cfg(test)]
#[path = "../../tests/unit/client_connection.rs"]
mod tests;
