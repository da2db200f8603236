//! Serves one client connection from its first request until the connection closes.
//!
//! Some clients send nothing, stop in the middle of a request, send too much data, or give the length of a
//! body in two ways. Such a client must not use up the connections or the memory that other clients need. It
//! must not affect the responses to other clients either.
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

/// The time, in microseconds, after which a connection is closed on which no further request arrives.
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

/// The byte stream of one client connection. `Observer` is called with all bytes that the server library
/// (hyper) reads.
type ObservedStream<Observer> = TokioIo<InspectReader<ReadAhead, Observer>>;

/// The part of the server library (hyper) that serves one client connection.
type Server<Observer> = http1::Connection<ObservedStream<Observer>, RequestService>;

/// A decision to close a connection that has not been carried out yet. The decision is dropped if a request
/// has begun meanwhile.
///
/// One such decision is made 2 s after a response, long before [`IDLE_TIMEOUT`], if no further request has
/// arrived by then. Its purpose is to find out whether the client has begun the next request. The server
/// library (hyper) may have read the first bytes of that request, and gives them back only when it is stopped
/// to prepare the close. If there are no such bytes, the decision is dropped, and the connection stays open
/// until [`IDLE_TIMEOUT`] has passed.
struct PendingClose {
    reason: CloseReason,
    /// What the client had sent, but hyper had not used, when the connection's hyper server ([`Server`]) was
    /// stopped to prepare the close. This shows whether the client has begun a request.
    unread: Unread,
}

/// What a client connection does when the shutdown phase changes.
enum ShutdownAction {
    /// Keep the client connection open for now.
    StayOpen,
    /// Close the client connection once the server has written the last response.
    FinishWriting,
    /// Close the client connection, unless part of a request has been received on the connection.
    CloseIfIdle,
}

/// An event that the event loop of a client connection handles.
enum ConnectionEvent {
    /// The client connection has ended: the server has finished, or the client has disconnected.
    Ended(ConnectionEnd),
    /// The deadline by which the head of the connection's next request must be received has changed.
    DeadlineChanged,
    /// The connection's hyper server ([`Server`]) has been polled once more since the event loop decided to
    /// close the connection. In that poll, the server has read what the client had sent. The pending close
    /// can now be carried out or, if a request has begun, dropped.
    PendingClosePolled,
    /// The phase of the scheduler's shutdown has changed.
    ShutdownPhaseChanged,
    /// The head of the connection's next request was not received by its deadline.
    HeadTimedOut,
    /// This connection was asked to close, because another connection needs its permit.
    EvictionNotified,
    /// The time has ended in which a request could still begin on a connection that was asked to close
    /// ([`EVICTION_NOTICE`]).
    EvictionDue,
}

/// One client connection, with the state that only the connection's event loop uses.
struct ClientConnection {
    shared: Arc<ServedConnection>,
    pending_close: Option<PendingClose>,
    /// The end of the time in which a request may still begin, if the connection was asked to close to free
    /// its permit. Otherwise `None`.
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

    /// Serves the connection's requests one after the other. Returns how the connection ended.
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

    /// Waits for the next event of the connection. If several events are ready, the first in the order of the
    /// `select!` branches is returned.
    async fn next_event(
        &self,
        server: &mut Server<impl FnMut(&[u8]) + Unpin>,
        shutdown: &mut ShutdownWatch,
    ) -> ConnectionEvent {
        let head_deadline = self.shared.head_deadline();
        tokio::select! {
            biased;
            // The server is polled first, so that received data is read and pending data is written before
            // the connection closes. `poll_without_shutdown` leaves the socket open. Data that the client
            // still sends can therefore be read before the socket is closed.
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
            // A client may disconnect right after it has sent a request, or while it waits for the response.
            // The server's branch above comes first: it reads the request and spawns the request's task. The
            // runtime has only one thread, so the task runs only after all branches have been polled. This
            // branch therefore detects a disconnect before the task dispatches anything. The caller then
            // drops `server`, which notifies the request's task.
            () = poll_fn(|cx| self.poll_client_disconnected(cx)) => {
                self.shared.count_disconnected();
                ConnectionEvent::Ended(ConnectionEnd::Abandoned)
            }
            () = ready(()), if self.pending_close.is_some() => ConnectionEvent::PendingClosePolled,
            _ = shutdown.changed() => ConnectionEvent::ShutdownPhaseChanged,
            // This branch is taken if the client has sent nothing, or only part of a request head, by the
            // deadline for the head.
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

    /// Returns whether the connection must stay open for now, because the client has not read the last
    /// response yet.
    ///
    /// If the next request did not arrive in time ([`CloseReason::TimedOut`]), the close is postponed to
    /// [`IDLE_TIMEOUT`] after the last response. The method sets this time as the new deadline for the head
    /// of the next request. When the deadline passes, the close is decided on again.
    ///
    /// If the connection was asked to close to make room for another connection ([`CloseReason::Evicted`]),
    /// the close can be postponed until [`LINGER_TIMEOUT`] after the last response. The method sets the
    /// connection's state to idle, so that the connection can be asked to close again.
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
    /// Returns `None` if the connection stays open, which happens in these cases:
    ///
    /// - The complete head of a request has been received.
    /// - Part of a request's head has been received since the close was decided on. This does not keep the
    ///   connection open if the connection's first request is overdue.
    /// - The close was decided on because the deadline for the next request's head has passed. No byte of
    ///   that request has arrived, but the last response was less than [`IDLE_TIMEOUT`] ago. The deadline can
    ///   pass so early because it is at first only 2 s after the response (see [`PendingClose`]).
    async fn finish_pending_close(&mut self) -> Option<ConnectionEnd> {
        let PendingClose { reason, unread } = self.pending_close.take()?;
        let shared = &self.shared;
        if shared.permit.is_in_state(ConnectionState::Serving) {
            return None;
        }
        let awaits_first_request = !shared.has_received_request.load(Ordering::Relaxed);
        match (unread, reason) {
            (Unread::Nothing, CloseReason::Evicted) => {
                // This counter counts client connections that were closed to make room for other client
                // connections.
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
                // This counter counts requests that were received only in part.
                count_event("a request did not come to its end", "refused");
                write_refusal(shared.stream.clone(), reason.partial_request_status()).await;
                Some(ConnectionEnd::Responded)
            }
            (Unread::End, _) => Some(ConnectionEnd::Abandoned),
        }
    }

    /// Returns [`ConnectionEnd::Idle`] if no request has arrived on the connection for [`IDLE_TIMEOUT`].
    ///
    /// Otherwise sets the head deadline to the end of that time, and returns `None`.
    fn end_if_idle(&self) -> Option<ConnectionEnd> {
        let idle_until = self.shared.idle_deadline(IDLE_TIMEOUT);
        if Instant::now() >= idle_until {
            return Some(ConnectionEnd::Idle);
        }
        self.shared.set_head_deadline(Some(idle_until));
        None
    }

    /// Starts the server library (hyper) on this connection. The library reads from the first byte that is
    /// still unread.
    fn start_server(&self) -> Server<impl FnMut(&[u8]) + Unpin + use<>> {
        let shared = Arc::clone(&self.shared);
        let reader =
            InspectReader::new(self.shared.stream.clone(), move |bytes: &[u8]| shared.observe_read(bytes));
        let mut builder = http1::Builder::new();
        builder.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        builder.serve_connection(TokioIo::new(reader), RequestService(Arc::clone(&self.shared)))
    }

    /// Returns `Poll::Ready` if the client has disconnected while a completely received request is being
    /// answered.
    ///
    /// At all other times, returns `Poll::Pending`. Each poll checks anew whether the request is complete,
    /// because the server may have read the request's last byte since the previous poll.
    fn poll_client_disconnected(&self, cx: &mut Context<'_>) -> Poll<()> {
        if !self.shared.is_request_complete.load(Ordering::Relaxed) {
            return Poll::Pending;
        }
        self.shared.stream.poll_disconnected(cx)
    }

    /// Returns what the connection does in the current shutdown phase.
    ///
    /// A connection whose last request came from a client closes as soon as it is idle, so that the client
    /// sends its next request to another scheduler. Two other kinds of connections stay open until the phase
    /// `Closing`. On the first kind, no request has been received yet, and the first request may be in
    /// transit. The second kind belongs to workers, which report on their attempts by requests of their own
    /// (callbacks).
    ///
    /// A request that has been received in part is answered, and the connection closes after the response.
    fn shutdown_action(&self) -> ShutdownAction {
        let closes_all = matches!(self.shared.handler.shutdown.phase(), ShutdownPhase::Closing(_));
        let is_used_by_client = self.shared.is_used_by_client.load(Ordering::Relaxed);
        if self.shared.permit.is_in_state(ConnectionState::Serving) || !(closes_all || is_used_by_client) {
            ShutdownAction::StayOpen
        } else if self.shared.stream.is_write_blocked() {
            // The connection stays open until the last response is written. If it closed now, the part of the
            // response that the client has not read yet would be lost.
            ShutdownAction::FinishWriting
        } else {
            ShutdownAction::CloseIfIdle
        }
    }

    /// Stops the connection's hyper server ([`Server`]), and returns what is unread on the connection.
    ///
    /// Bytes that the server had read but not used are put back. The server that [`Self::start_server`]
    /// starts next on the same connection reads them again.
    fn stop_server(&self, server: Server<impl FnMut(&[u8]) + Unpin>) -> Unread {
        let unused = server.into_parts().read_buf;
        self.shared.raw_head.take();
        self.shared.raw_head.start();
        self.shared.stream.put_back(&unused)
    }
}
