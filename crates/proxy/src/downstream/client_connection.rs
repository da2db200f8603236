//! Serves one client connection: the deadline of its first request, its requests one after the other, and its
//! end. Clients that send nothing, stop half-way, send too much or frame a body in two ways must not use up
//! the connections, the memory or the responses of the usual ones.
use std::future::{poll_fn, ready};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll};

use copperspread_dispatcher::{Micros, SECOND};
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};
use tokio_util::io::InspectReader;

use crate::clock::from_now;
use crate::downstream::connection_close::{CloseReason, ConnectionEnd, LINGER_TIMEOUT, close, write_refusal};
use crate::downstream::connection_limits::{ConnectionPermit, ConnectionState, EVICTION_NOTICE};
use crate::downstream::raw_head::MAX_HEAD_BYTES;
use crate::downstream::read_ahead::{ReadAhead, Unread};
use crate::downstream::request_handler::RequestHandler;
use crate::downstream::served_connection::{RequestService, ServedConnection, ServerStep};
use crate::invariant::note;
use crate::shutdown::{ShutdownPhase, ShutdownWatch};

/// A connection that sends no further request for this long is closed.
const IDLE_TIMEOUT: Micros = 75 * SECOND;

/// Serves one client connection until either side closes it.
pub(super) async fn serve_connection(
    handler: Arc<RequestHandler>,
    stream: TcpStream,
    permit: Arc<ConnectionPermit>,
) {
    let _ = stream.set_nodelay(true);
    let stream = ReadAhead::new(stream);
    let connection = ClientConnection::new(handler, stream.clone(), Arc::clone(&permit));
    let end = connection.serve_requests().await;
    permit.set_state(ConnectionState::Closing);
    let Some(stream) = stream.into_stream() else { return };
    tokio::select! {
        () = close(stream, end) => {}
        () = permit.eviction.notified() => {}
    }
}

/// A connection's stream, whose bytes an observer sees as the server library reads them.
type ObservedStream<Observer> = TokioIo<InspectReader<ReadAhead, Observer>>;

/// The server library on one connection.
type Server<Observer> = http1::Connection<ObservedStream<Observer>, RequestService>;

/// A close that was decided on. A request that has come by then is served all the same.
struct PendingClose {
    reason: CloseReason,
    unread: Unread,
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

/// What happens next on a connection.
enum ConnectionEvent {
    /// Its last request has ended.
    Ended(ConnectionEnd),
    /// The next head is due at another instant than before.
    DeadlineMoved,
    /// The server has been polled since a close was decided on.
    PendingClosePolled,
    /// The shutdown has advanced.
    ShutdownAdvanced,
    /// The next request's head has not come by its deadline.
    HeadOverdue,
    /// The connection is asked for its permit.
    EvictionNotified,
    /// It has had notice of that for long enough.
    EvictionDue,
}

/// One client connection and what its loop alone knows.
struct ClientConnection {
    shared: Arc<ServedConnection>,
    pending_close: Option<PendingClose>,
    /// When it closes, if it is being evicted and begins no request before.
    eviction_deadline: Option<Instant>,
}

impl ClientConnection {
    fn new(
        handler: Arc<RequestHandler>,
        stream: ReadAhead,
        permit: Arc<ConnectionPermit>,
    ) -> ClientConnection {
        let shared = Arc::new(ServedConnection::new(handler, stream, permit));
        ClientConnection { shared, pending_close: None, eviction_deadline: None }
    }

    /// Answers one request after the other.
    async fn serve_requests(mut self) -> ConnectionEnd {
        let mut server = self.start_server();
        let mut shutdown = self.shared.handler.shutdown.watch();
        loop {
            let close_reason = match self.next_event(&mut server, &mut shutdown).await {
                ConnectionEvent::Ended(end) => return end,
                ConnectionEvent::DeadlineMoved => None,
                ConnectionEvent::PendingClosePolled => match self.finish_pending_close().await {
                    Some(end) => return end,
                    None => None,
                },
                ConnectionEvent::ShutdownAdvanced => {
                    match self.shutdown_step() {
                        ShutdownStep::Stay => {}
                        ShutdownStep::FinishWriting => Pin::new(&mut server).graceful_shutdown(),
                        ShutdownStep::CloseIfIdle => {
                            if self.take_back(server) == Unread::Nothing {
                                return ConnectionEnd::Idle;
                            }
                            server = self.start_server();
                        }
                    }
                    None
                }
                ConnectionEvent::HeadOverdue => Some(CloseReason::TimedOut),
                ConnectionEvent::EvictionNotified => {
                    self.eviction_deadline = Some(from_now(EVICTION_NOTICE));
                    None
                }
                ConnectionEvent::EvictionDue => {
                    self.eviction_deadline = None;
                    let is_evicting = self.shared.permit.is_in_state(ConnectionState::Evicting);
                    is_evicting.then_some(CloseReason::Evicted)
                }
            };
            if let Some(reason) = close_reason
                && !self.postpones_close(reason)
            {
                self.pending_close = Some(PendingClose { reason, unread: self.take_back(server) });
                server = self.start_server();
            }
        }
    }

    /// Waits for the next event; of several the first in this order.
    async fn next_event(
        &self,
        server: &mut Server<impl FnMut(&[u8]) + Unpin>,
        shutdown: &mut ShutdownWatch,
    ) -> ConnectionEvent {
        let head_deadline = self.shared.head_deadline();
        tokio::select! {
            biased;
            // First of all: what has come is read, and what is to be written is, before anything ends. The
            // connection is not shut down at once: what its peer still sends is read first.
            step = poll_fn(|cx| {
                let polled = server.poll_without_shutdown(cx);
                self.shared.server_step(polled, head_deadline)
            }) => match step {
                ServerStep::Finished => {
                    if self.shared.stream.presence().is_gone() {
                        self.shared.count_disconnected();
                    }
                    ConnectionEvent::Ended(ConnectionEnd::Responded)
                }
                ServerStep::DeadlineMoved => ConnectionEvent::DeadlineMoved,
            },
            // Right after the request was read, and so before its task has sent anything: a client may
            // send and disconnect at once, or disconnect while it waits. Dropping the connection notifies
            // the request's task.
            () = poll_fn(|cx| self.poll_client_disconnected(cx)) => {
                self.shared.count_disconnected();
                ConnectionEvent::Ended(ConnectionEnd::Abandoned)
            }
            () = ready(()), if self.pending_close.is_some() => ConnectionEvent::PendingClosePolled,
            _ = shutdown.changed() => ConnectionEvent::ShutdownAdvanced,
            // Clients that connect and send nothing, or begin a request and do not end it.
            () = sleep_until(head_deadline.unwrap_or_else(Instant::now)), if head_deadline.is_some() => {
                ConnectionEvent::HeadOverdue
            }
            () = self.shared.permit.eviction.notified(), if self.eviction_deadline.is_none() => {
                ConnectionEvent::EvictionNotified
            }
            () = sleep_until(self.eviction_deadline.unwrap_or_else(Instant::now)),
                if self.eviction_deadline.is_some() => ConnectionEvent::EvictionDue,
        }
    }

    /// Whether a response that waits for its reader keeps the connection open for now.
    fn postpones_close(&self, reason: CloseReason) -> bool {
        let blocked_until = match reason {
            CloseReason::TimedOut => self.shared.idle_for(IDLE_TIMEOUT),
            CloseReason::Evicted => self.shared.idle_for(LINGER_TIMEOUT),
        };
        if !self.shared.stream.is_write_blocked() || Instant::now() >= blocked_until {
            return false;
        }
        match reason {
            CloseReason::TimedOut => self.shared.set_head_deadline(Some(blocked_until)),
            CloseReason::Evicted => self.shared.permit.set_state(ConnectionState::Idle),
        }
        true
    }

    /// Closes the connection for its pending reason, unless a request has come by now; none if it stays.
    async fn finish_pending_close(&mut self) -> Option<ConnectionEnd> {
        let PendingClose { reason, unread } = self.pending_close.take()?;
        let shared = &self.shared;
        if shared.permit.is_in_state(ConnectionState::Serving) {
            return None;
        }
        let is_first = !shared.has_received_request.load(Ordering::Relaxed);
        match (unread, reason) {
            (Unread::Nothing, CloseReason::Evicted) => {
                note("an edge connection gave its place up", "closed");
                Some(ConnectionEnd::Abandoned)
            }
            (Unread::Nothing, CloseReason::TimedOut) if is_first => {
                note("no first request in time", "closed");
                Some(ConnectionEnd::Abandoned)
            }
            (Unread::Nothing, CloseReason::TimedOut) => self.end_if_idle(),
            (Unread::NewBytes, CloseReason::TimedOut) if !is_first => None,
            (Unread::NewBytes, CloseReason::Evicted) => None,
            (Unread::Bytes | Unread::NewBytes, _) => {
                note("a request did not come to its end", "refused");
                write_refusal(shared.stream.clone(), reason.partial_request_status()).await;
                Some(ConnectionEnd::Responded)
            }
            (Unread::End, _) => Some(ConnectionEnd::Abandoned),
        }
    }

    /// Closes a connection that has rested for too long, or looks again when it will have.
    fn end_if_idle(&self) -> Option<ConnectionEnd> {
        let idle_until = self.shared.idle_for(IDLE_TIMEOUT);
        if Instant::now() >= idle_until {
            return Some(ConnectionEnd::Idle);
        }
        self.shared.set_head_deadline(Some(idle_until));
        None
    }

    /// The server library on this connection, which reads from its next unread byte.
    fn start_server(&self) -> Server<impl FnMut(&[u8]) + Unpin + use<>> {
        let shared = Arc::clone(&self.shared);
        let reader =
            InspectReader::new(self.shared.stream.clone(), move |bytes: &[u8]| shared.observe_read(bytes));
        let mut builder = http1::Builder::new();
        builder.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
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

    /// Ends a server; what it had read and not used, or what waits in the stream, is read again by the next.
    fn take_back(&self, server: Server<impl FnMut(&[u8]) + Unpin>) -> Unread {
        let unused = server.into_parts().read_buf;
        self.shared.raw_head.take();
        self.shared.raw_head.start();
        self.shared.stream.put_back(&unused)
    }
}
