//! Serves one client connection from its first request until it closes.
//!
//! Clients that send nothing, stop in the middle of a request, send too much or frame a body in two ways must
//! not use up the connections or the memory that other clients need, nor affect their responses.
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
use crate::downstream::served_connection::{RequestService, ServedConnection, ServerEvent};
use crate::invariant::count_event;
use crate::shutdown::{ShutdownPhase, ShutdownWatch};

/// Time without a further request after which a connection is closed.
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

/// Stream of a connection; `Observer` sees all bytes that the server library (hyper) reads from it.
type ObservedStream<Observer> = TokioIo<InspectReader<ReadAhead, Observer>>;

/// Server library (hyper) that serves one connection.
type Server<Observer> = http1::Connection<ObservedStream<Observer>, RequestService>;

/// Close that was decided on but not carried out yet; it is dropped if the connection can still serve a
/// request.
struct PendingClose {
    reason: CloseReason,
    /// Bytes of the client that the server library had left unread when it was stopped.
    unread: Unread,
}

/// What a client connection does when the shutdown phase changes.
enum ShutdownAction {
    /// Keep the connection open for now.
    StayOpen,
    /// Close the connection once the last response has been written.
    FinishWriting,
    /// Close the connection unless part of a request has been received on it.
    CloseIfIdle,
}

/// Next event that the event loop of a client connection handles.
enum ConnectionEvent {
    /// The connection has ended: the server has finished, or the client has disconnected.
    Ended(ConnectionEnd),
    /// The deadline for the next request's head has changed.
    DeadlineChanged,
    /// The server was polled after a close was decided on, so that the close can be carried out or dropped.
    PendingClosePolled,
    /// The shutdown phase has changed.
    ShutdownPhaseChanged,
    /// The next request's head was not received by its deadline.
    HeadTimedOut,
    /// Another connection needs this one's permit.
    EvictionNotified,
    /// The notice period of an eviction has ended.
    EvictionDue,
}

/// One client connection, with the state that only its event loop uses.
struct ClientConnection {
    shared: Arc<ServedConnection>,
    pending_close: Option<PendingClose>,
    /// When the notice period of an eviction ends; `None` if no notice is running.
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

    /// Serves the connection's requests one after the other; returns how the connection ended.
    async fn serve_requests(mut self) -> ConnectionEnd {
        let mut server = self.start_server();
        let mut shutdown = self.shared.handler.shutdown.watch();
        loop {
            let close_reason = match self.next_event(&mut server, &mut shutdown).await {
                ConnectionEvent::Ended(end) => return end,
                ConnectionEvent::DeadlineChanged => None,
                ConnectionEvent::PendingClosePolled => match self.finish_pending_close().await {
                    Some(end) => return end,
                    None => None,
                },
                ConnectionEvent::ShutdownPhaseChanged => {
                    match self.shutdown_action() {
                        ShutdownAction::StayOpen => {}
                        ShutdownAction::FinishWriting => Pin::new(&mut server).graceful_shutdown(),
                        ShutdownAction::CloseIfIdle => {
                            if self.stop_server(server) == Unread::Nothing {
                                return ConnectionEnd::Idle;
                            }
                            server = self.start_server();
                        }
                    }
                    None
                }
                ConnectionEvent::HeadTimedOut => Some(CloseReason::TimedOut),
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
                self.pending_close = Some(PendingClose { reason, unread: self.stop_server(server) });
                server = self.start_server();
            }
        }
    }

    /// Waits for the next event. If several are ready, the first in the order of the `select!` branches is
    /// returned.
    async fn next_event(
        &self,
        server: &mut Server<impl FnMut(&[u8]) + Unpin>,
        shutdown: &mut ShutdownWatch,
    ) -> ConnectionEvent {
        let head_deadline = self.shared.head_deadline();
        tokio::select! {
            biased;
            // The server is polled first, so that received data is read and pending data is written before
            // the connection closes. The socket is not shut down here: what the peer still sends is read
            // first.
            event = poll_fn(|cx| {
                let polled = server.poll_without_shutdown(cx);
                self.shared.process_server_poll(polled, head_deadline)
            }) => match event {
                ServerEvent::Finished => {
                    if self.shared.stream.presence().has_disconnected() {
                        self.shared.count_disconnected();
                    }
                    ConnectionEvent::Ended(ConnectionEnd::Responded)
                }
                ServerEvent::DeadlineChanged => ConnectionEvent::DeadlineChanged,
            },
            // Whether the client has disconnected is checked right after a request was read, and so before
            // the request's task dispatches anything, because a client may disconnect right after sending, or
            // while it waits. The caller then drops `server`, which notifies the request's task.
            () = poll_fn(|cx| self.poll_client_disconnected(cx)) => {
                self.shared.count_disconnected();
                ConnectionEvent::Ended(ConnectionEnd::Abandoned)
            }
            () = ready(()), if self.pending_close.is_some() => ConnectionEvent::PendingClosePolled,
            _ = shutdown.changed() => ConnectionEvent::ShutdownPhaseChanged,
            // The client has sent nothing, or has not completed the head that it began.
            () = sleep_until(head_deadline.unwrap_or_else(Instant::now)), if head_deadline.is_some() => {
                ConnectionEvent::HeadTimedOut
            }
            () = self.shared.permit.eviction.notified(), if self.eviction_deadline.is_none() => {
                ConnectionEvent::EvictionNotified
            }
            () = sleep_until(self.eviction_deadline.unwrap_or_else(Instant::now)),
                if self.eviction_deadline.is_some() => ConnectionEvent::EvictionDue,
        }
    }

    /// Returns whether a close is postponed because the client has not read the last response yet.
    ///
    /// A close is postponed until [`IDLE_TIMEOUT`], or for an eviction [`LINGER_TIMEOUT`], has passed since
    /// the last response. The function also sets the next check: a new head deadline, or a return to the idle
    /// state, from which the connection can be evicted again.
    fn postpones_close(&self, reason: CloseReason) -> bool {
        let postponed_until = match reason {
            CloseReason::TimedOut => self.shared.idle_deadline(IDLE_TIMEOUT),
            CloseReason::Evicted => self.shared.idle_deadline(LINGER_TIMEOUT),
        };
        if !self.shared.stream.is_write_blocked() || Instant::now() >= postponed_until {
            return false;
        }
        match reason {
            CloseReason::TimedOut => self.shared.set_head_deadline(Some(postponed_until)),
            CloseReason::Evicted => self.shared.permit.set_state(ConnectionState::Idle),
        }
        true
    }

    /// Carries out the pending close, and returns how the connection ended.
    ///
    /// Returns `None` if the connection stays open, because a request has been received since the decision or
    /// there is still time for one.
    async fn finish_pending_close(&mut self) -> Option<ConnectionEnd> {
        let PendingClose { reason, unread } = self.pending_close.take()?;
        let shared = &self.shared;
        if shared.permit.is_in_state(ConnectionState::Serving) {
            return None;
        }
        let awaits_first_request = !shared.has_received_request.load(Ordering::Relaxed);
        match (unread, reason) {
            (Unread::Nothing, CloseReason::Evicted) => {
                // Counts client connections that were evicted.
                count_event("an edge connection gave its place up", "closed");
                Some(ConnectionEnd::Abandoned)
            }
            (Unread::Nothing, CloseReason::TimedOut) if awaits_first_request => {
                count_event("no first request in time", "closed");
                Some(ConnectionEnd::Abandoned)
            }
            (Unread::Nothing, CloseReason::TimedOut) => self.end_if_idle(),
            (Unread::NewBytes, CloseReason::TimedOut) if !awaits_first_request => None,
            (Unread::NewBytes, CloseReason::Evicted) => None,
            (Unread::Bytes | Unread::NewBytes, _) => {
                // Counts requests that were received only in part.
                count_event("a request did not come to its end", "refused");
                write_refusal(shared.stream.clone(), reason.partial_request_status()).await;
                Some(ConnectionEnd::Responded)
            }
            (Unread::End, _) => Some(ConnectionEnd::Abandoned),
        }
    }

    /// Returns the end of a connection that has been idle for [`IDLE_TIMEOUT`].
    ///
    /// Otherwise it sets the deadline for the next check and returns `None`.
    fn end_if_idle(&self) -> Option<ConnectionEnd> {
        let idle_until = self.shared.idle_deadline(IDLE_TIMEOUT);
        if Instant::now() >= idle_until {
            return Some(ConnectionEnd::Idle);
        }
        self.shared.set_head_deadline(Some(idle_until));
        None
    }

    /// Starts the server library on this connection, from the next unread byte.
    fn start_server(&self) -> Server<impl FnMut(&[u8]) + Unpin + use<>> {
        let shared = Arc::clone(&self.shared);
        let reader =
            InspectReader::new(self.shared.stream.clone(), move |bytes: &[u8]| shared.observe_read(bytes));
        let mut builder = http1::Builder::new();
        builder.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        builder.serve_connection(TokioIo::new(reader), RequestService(Arc::clone(&self.shared)))
    }

    /// Returns `Poll::Ready` once the client has disconnected during a request.
    ///
    /// It is `Poll::Pending` unless a completely received request is being answered. Whether the request is
    /// complete is checked at each poll, as the server may have read its last byte just before.
    fn poll_client_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.shared.is_request_complete.load(Ordering::Relaxed) {
            return Poll::Pending;
        }
        self.shared.stream.poll_disconnected(cx)
    }

    /// Returns what the connection does in the current shutdown phase.
    ///
    /// A connection used by a client closes once it is idle, so that the client's next request goes to
    /// another scheduler. A connection on which nothing has been received stays open until the `Closing`
    /// phase, as its first request may be in transit; so does a worker's connection, for its callbacks. A
    /// request that is partly received is answered, and its connection closes after the response.
    fn shutdown_action(&self) -> ShutdownAction {
        let closes_all = matches!(self.shared.handler.shutdown.phase(), ShutdownPhase::Closing(_));
        let is_used_by_client = self.shared.is_used_by_client.load(Ordering::Relaxed);
        if self.shared.permit.is_in_state(ConnectionState::Serving) || !(closes_all || is_used_by_client) {
            ShutdownAction::StayOpen
        } else if self.shared.stream.is_write_blocked() {
            // If the connection closed now, a response that the client has not read yet would be lost.
            ShutdownAction::FinishWriting
        } else {
            ShutdownAction::CloseIfIdle
        }
    }

    /// Stops a server and returns what it left unread.
    ///
    /// Bytes that the server had read but not used are put back, so that the next server reads them.
    fn stop_server(&self, server: Server<impl FnMut(&[u8]) + Unpin>) -> Unread {
        let unused = server.into_parts().read_buf;
        self.shared.raw_head.take();
        self.shared.raw_head.start();
        self.shared.stream.put_back(&unused)
    }
}
