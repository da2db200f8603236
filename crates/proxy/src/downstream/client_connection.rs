//! Serves one client connection: the deadline of its first request, its requests one after the other, and its
//! end. Clients that send nothing, stop half-way, send too much or frame a body in two ways must not use up
//! the connections, the memory or the responses of the usual ones.
use std::convert::Infallible;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use axum::body::Body;
use axum::http::header::{self, HeaderValue};
use axum::response::Response;
use copperspread_dispatcher::{Micros, SECOND};
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::io::InspectReader;

use crate::clock::from_now;
use crate::downstream::connection_limits::{ConnectionPermit, ConnectionState, EVICTION_NOTICE};
use crate::downstream::raw_head::{MAX_HEAD_BYTES, RawHead};
use crate::downstream::read_ahead::ReadAhead;
use crate::downstream::request_handler::RequestHandler;
use crate::downstream::request_limits::RequestLimits;
use crate::invariant::note;
use crate::shutdown::ShutdownPhase;

/// The first whole request of a connection has come by then, or the connection ends. Apart from the limit
/// between requests, so that it cuts no usual client, which sends as soon as it connects.
const FIRST_REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// A later request's body has come this long after its head.
const BODY_TIMEOUT: Micros = 2 * SECOND;
/// A connection that sends no further request for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);
/// After the last response on a connection that this side closes, what still comes is read and dropped for so
/// long and so much, as a reset over unread data would take the response from its reader.
const LINGER_TIMEOUT: Micros = 2 * SECOND;
const MAX_LINGER_BYTES: u64 = 64 << 20;

/// How a connection's last request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// With a response that its reader may not have yet.
    Responded,
    /// Without: the client has disconnected, or is not waited for.
    Abandoned,
}

/// Serves one client connection until either side closes it.
pub(super) async fn serve_connection(
    handler: Arc<RequestHandler>,
    stream: TcpStream,
    permit: Arc<ConnectionPermit>,
) {
    let _ = stream.set_nodelay(true);
    let stream = ReadAhead::new(stream);
    let connection = ClientConnection::new(handler, stream.clone(), Arc::clone(&permit));
    if connection.serve_requests().await == ConnectionEnd::Abandoned {
        return;
    }
    permit.set_state(ConnectionState::Closing);
    let Some(stream) = stream.into_stream() else { return };
    tokio::select! {
        () = linger(stream) => {}
        () = permit.eviction.notified() => {}
    }
}

/// Closes a connection whose response may still be on its way to its reader.
async fn linger(mut stream: TcpStream) {
    if stream.shutdown().await.is_ok() {
        let mut rest = stream.take(MAX_LINGER_BYTES);
        let _ =
            timeout_at(from_now(LINGER_TIMEOUT), tokio::io::copy(&mut rest, &mut tokio::io::sink())).await;
    }
}

/// What a connection's loop and its requests share. All of it is used from one task.
struct Shared {
    handler: Arc<RequestHandler>,
    permit: Arc<ConnectionPermit>,
    stream: ReadAhead,
    raw_head: RawHead,
    first_request_deadline: Instant,
    /// The last request was a client's, and not a callback.
    is_used_by_client: AtomicBool,
    /// A request has come to its last byte and is being answered.
    is_request_complete: Arc<AtomicBool>,
}

/// A connection's stream, whose bytes an observer sees as the server library reads them.
type ObservedStream<Observer> = TokioIo<InspectReader<ReadAhead, Observer>>;

/// Answers the requests of one connection.
struct RequestService(Arc<Shared>);

impl Service<hyper::Request<Incoming>> for RequestService {
    type Response = Response;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response, Infallible>>;

    fn call(&self, request: hyper::Request<Incoming>) -> Self::Future {
        let shared = Arc::clone(&self.0);
        let body_deadline = if shared.permit.is_in_state(ConnectionState::New) {
            shared.first_request_deadline
        } else {
            from_now(BODY_TIMEOUT)
        };
        Box::pin(async move { Ok(shared.respond(request, body_deadline).await) })
    }
}

impl Shared {
    async fn respond(&self, request: hyper::Request<Incoming>, body_deadline: Instant) -> Response {
        self.permit.set_state(ConnectionState::Serving);
        self.is_used_by_client.store(self.handler.is_client_request(&request), Ordering::Relaxed);
        let limits = RequestLimits {
            body_deadline,
            body_memory: Arc::clone(&self.handler.body_memory),
            is_request_complete: Arc::clone(&self.is_request_complete),
        };
        let raw_head = self.raw_head.take();
        let mut response = self.handler.respond(request.map(Body::new), &raw_head, limits).await;
        self.is_request_complete.store(false, Ordering::Relaxed);
        // More came than was kept: what follows cannot be read as a request.
        if self.stream.is_overrun() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        self.raw_head.start();
        self.permit.set_state(ConnectionState::Idle);
        response
    }
}

/// What a phase of the shutdown means for a connection.
enum ShutdownStep {
    /// It stays open for now.
    Stay,
    /// It closes once its last response has been written.
    FinishWriting,
    /// It closes unless a request has begun to come.
    CloseIfIdle,
}

/// One client connection and what its loop alone knows.
struct ClientConnection {
    shared: Arc<Shared>,
    is_past_first_deadline: bool,
    /// When it closes, if it is being evicted and begins no request before.
    eviction_deadline: Option<Instant>,
}

impl ClientConnection {
    fn new(
        handler: Arc<RequestHandler>,
        stream: ReadAhead,
        permit: Arc<ConnectionPermit>,
    ) -> ClientConnection {
        let shared = Shared {
            handler,
            permit,
            stream,
            raw_head: RawHead::default(),
            first_request_deadline: from_now(FIRST_REQUEST_TIMEOUT),
            is_used_by_client: AtomicBool::new(false),
            is_request_complete: Arc::new(AtomicBool::new(false)),
        };
        ClientConnection { shared: Arc::new(shared), is_past_first_deadline: false, eviction_deadline: None }
    }

    /// Answers one request after the other.
    async fn serve_requests(mut self) -> ConnectionEnd {
        let mut server = self.start_server();
        let mut shutdown = self.shared.handler.shutdown.watch();
        let first_request_deadline = self.shared.first_request_deadline;
        loop {
            tokio::select! {
                biased;
                // First of all: what has come is read, and what is to be written is, before anything ends. The
                // connection is not shut down at once: what its peer still sends is read first.
                _ = poll_fn(|cx| server.poll_without_shutdown(cx)) => return ConnectionEnd::Responded,
                // Right after the request was read, and so before its task has sent anything: a client may
                // send and disconnect at once, or disconnect while it waits. Dropping the connection notifies
                // the request's task.
                () = poll_fn(|cx| self.poll_client_disconnected(cx)) => return ConnectionEnd::Abandoned,
                _ = shutdown.changed() => match self.shutdown_step() {
                    ShutdownStep::Stay => {}
                    ShutdownStep::FinishWriting => std::pin::Pin::new(&mut server).graceful_shutdown(),
                    ShutdownStep::CloseIfIdle => {
                        let unread = server.into_parts().read_buf;
                        if !self.has_started_request(&unread) {
                            return ConnectionEnd::Responded;
                        }
                        server = self.start_server();
                    }
                },
                // Clients that connect and send nothing, or begin a request and do not end it.
                () = sleep_until(first_request_deadline), if !self.is_past_first_deadline => {
                    self.is_past_first_deadline = true;
                    if self.shared.permit.is_in_state(ConnectionState::New) {
                        note("no first request in time", "closed");
                        return ConnectionEnd::Abandoned;
                    }
                }
                () = self.shared.permit.eviction.notified(), if self.eviction_deadline.is_none() => {
                    self.eviction_deadline = Some(from_now(EVICTION_NOTICE));
                }
                () = sleep_until(self.eviction_deadline.unwrap_or(first_request_deadline)),
                    if self.eviction_deadline.is_some() =>
                {
                    self.eviction_deadline = None;
                    if self.shared.permit.is_in_state(ConnectionState::Evicting) {
                        note("an edge connection gave its place up", "closed");
                        return ConnectionEnd::Abandoned;
                    }
                }
            }
        }
    }

    /// The server library on this connection, which reads from its next unread byte.
    fn start_server(&self) -> http1::Connection<ObservedStream<impl FnMut(&[u8]) + use<>>, RequestService> {
        let shared = Arc::clone(&self.shared);
        let reader =
            InspectReader::new(self.shared.stream.clone(), move |bytes: &[u8]| shared.raw_head.add(bytes));
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT).max_buf_size(MAX_HEAD_BYTES);
        builder.serve_connection(TokioIo::new(reader), RequestService(Arc::clone(&self.shared)))
    }

    /// Ready once the client has disconnected, while a whole request is answered. Asked anew at each poll, as
    /// the server may have read the request's end just before.
    fn poll_client_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.shared.is_request_complete.load(Ordering::Relaxed) {
            return Poll::Pending;
        }
        self.shared.stream.poll_disconnected(cx)
    }

    /// A client's connection closes once it is idle, so that its next request goes to another scheduler. One
    /// that has sent nothing yet stays until all close: its first request may be on its way. So does a worker's,
    /// for its callbacks. A request that has begun to come is answered, and its connection closes with that.
    fn shutdown_step(&self) -> ShutdownStep {
        let closes_all = matches!(self.shared.handler.shutdown.phase(), ShutdownPhase::Closing(_));
        let is_used_by_client = self.shared.is_used_by_client.load(Ordering::Relaxed);
        if self.shared.permit.is_in_state(ConnectionState::Serving) || !(closes_all || is_used_by_client) {
            ShutdownStep::Stay
        } else if self.shared.stream.is_write_blocked() {
            // A response that waits for its reader would be lost.
            ShutdownStep::FinishWriting
        } else {
            ShutdownStep::CloseIfIdle
        }
    }

    /// Whether a request has begun to come, by what the server had read and not used, or what waits in the
    /// stream. All of it is read again by the next server.
    fn has_started_request(&self, unread: &[u8]) -> bool {
        self.shared.raw_head.take();
        self.shared.raw_head.start();
        self.shared.stream.put_back(unread)
    }
}
