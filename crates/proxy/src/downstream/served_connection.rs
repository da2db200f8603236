//! State that a client connection's event loop shares with its requests: deadlines for reading the next
//! request, and how many requests have no written response yet.
use std::convert::Infallible;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Poll;
use std::time::Duration;

use axum::body::Body;
use axum::http::header::{self, HeaderValue};
use axum::response::Response;
use copperspread_dispatcher::{Micros, SECOND};
use futures_util::future::BoxFuture;
use hyper::body::Incoming;
use hyper::service::Service;
use tokio::time::Instant;

use crate::clock::from_now;
use crate::downstream::connection_limits::{ConnectionPermit, ConnectionState};
use crate::downstream::raw_head::RawHead;
use crate::downstream::read_ahead::ReadAhead;
use crate::downstream::request_handler::RequestHandler;
use crate::downstream::request_limits::RequestLimits;

/// Time after accepting a connection within which its first request must be received completely.
///
/// A connection that exceeds this time is closed. The time can be much shorter than the idle time-out between
/// requests without affecting ordinary clients, which send as soon as they connect.
const FIRST_REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// Time from the first byte of a request's head until the head must be received completely. Applies to every
/// request of a connection except the first.
const HEAD_TIMEOUT: Micros = 2 * SECOND;
/// Time from the receipt of a request's head until its body must be received completely. Applies to every
/// request of a connection except the first.
const BODY_TIMEOUT: Micros = 2 * SECOND;

/// State that a connection's event loop and its requests share. It is used from one task only.
pub(super) struct ServedConnection {
    pub(super) handler: Arc<RequestHandler>,
    pub(super) permit: Arc<ConnectionPermit>,
    pub(super) stream: ReadAhead,
    pub(super) raw_head: RawHead,
    pub(super) first_request_deadline: Instant,
    /// The deadline for the next request's head, or the time at which the event loop next checks whether that
    /// head has begun. `None` while a request is served.
    pub(super) head_deadline: Mutex<Option<Instant>>,
    /// Whether the first request's head has been received.
    pub(super) has_received_request: AtomicBool,
    /// When the last response was returned to the server library. Before the first response, the time at
    /// which the connection was accepted.
    pub(super) idle_since: Mutex<Instant>,
    /// Number of client requests whose response has not been written yet.
    pub(super) unanswered_requests: AtomicUsize,
    /// Number of client requests whose response was returned to the server library and is not written yet.
    /// They also count as unanswered.
    pub(super) unwritten_responses: AtomicUsize,
    /// Whether the last request came from a client. Otherwise it was a worker's callback.
    pub(super) is_used_by_client: AtomicBool,
    /// Whether a completely received request is being answered.
    pub(super) is_request_complete: Arc<AtomicBool>,
}

/// hyper service that answers the requests of one connection.
pub(super) struct RequestService(pub(super) Arc<ServedConnection>);

impl Service<hyper::Request<Incoming>> for RequestService {
    type Response = Response;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Response, Infallible>>;

    fn call(&self, request: hyper::Request<Incoming>) -> Self::Future {
        let shared = Arc::clone(&self.0);
        let body_deadline = if shared.has_received_request.swap(true, Ordering::Relaxed) {
            from_now(BODY_TIMEOUT)
        } else {
            shared.first_request_deadline
        };
        shared.begin_request(&request);
        Box::pin(async move { Ok(shared.respond(request, body_deadline).await) })
    }
}

impl ServedConnection {
    pub(super) fn new(
        handler: Arc<RequestHandler>,
        stream: ReadAhead,
        permit: Arc<ConnectionPermit>,
    ) -> ServedConnection {
        let first_request_deadline = from_now(FIRST_REQUEST_TIMEOUT);
        ServedConnection {
            handler,
            permit,
            stream,
            raw_head: RawHead::default(),
            first_request_deadline,
            head_deadline: Mutex::new(Some(first_request_deadline)),
            idle_since: Mutex::new(Instant::now()),
            has_received_request: AtomicBool::new(false),
            unanswered_requests: AtomicUsize::new(0),
            unwritten_responses: AtomicUsize::new(0),
            is_used_by_client: AtomicBool::new(false),
            is_request_complete: Arc::new(AtomicBool::new(false)),
        }
    }

    async fn respond(&self, request: hyper::Request<Incoming>, body_deadline: Instant) -> Response {
        let limits = RequestLimits {
            body_deadline,
            body_memory: Arc::clone(&self.handler.body_memory),
            is_request_complete: Arc::clone(&self.is_request_complete),
            peer: self.stream.presence(),
        };
        let raw_head = self.raw_head.take();
        let mut response = self.handler.respond(request.map(Body::new), &raw_head, limits).await;
        self.is_request_complete.store(false, Ordering::Relaxed);
        // Some of the received bytes were dropped. The connection is closed after this response, since what
        // follows cannot be parsed as a request.
        if self.stream.is_overrun() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        self.raw_head.start();
        self.permit.set_state(ConnectionState::Idle);
        // The library may already have buffered the start of the next head, which the scheduler cannot detect
        // at this point. The deadline that is set here makes the event loop check after [`HEAD_TIMEOUT`]
        // whether that head has begun.
        self.set_head_deadline(Some(from_now(HEAD_TIMEOUT)));
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        if self.is_used_by_client.load(Ordering::Relaxed) {
            self.unwritten_responses.fetch_add(1, Ordering::Relaxed);
        }
        response
    }

    /// Records that a request's head has been received: the connection now serves a request, and the deadline
    /// for the head no longer applies.
    fn begin_request(&self, request: &hyper::Request<Incoming>) {
        let is_client_request = self.handler.is_client_request(request);
        self.permit.set_state(ConnectionState::Serving);
        self.set_head_deadline(None);
        self.is_used_by_client.store(is_client_request, Ordering::Relaxed);
        if is_client_request {
            self.unanswered_requests.fetch_add(1, Ordering::Relaxed);
            self.handler.totals.add_received();
        }
    }

    /// Records that the library has read `bytes` from the stream. If they belong to a head, the connection's
    /// state becomes [`ConnectionState::Receiving`]. If they begin the head of a request other than the
    /// connection's first, the deadline for this head is set.
    pub(super) fn observe_read(&self, bytes: &[u8]) {
        if !self.raw_head.add(bytes) || bytes.is_empty() {
            return;
        }
        let head_has_begun = self.permit.is_in_state(ConnectionState::Receiving);
        if !head_has_begun && self.has_received_request.load(Ordering::Relaxed) {
            self.set_head_deadline(Some(from_now(HEAD_TIMEOUT)));
        }
        self.permit.set_receiving();
    }

    /// Handles the result of one poll of the server: counts the responses that the poll has written, and
    /// returns the event for the event loop, if any.
    pub(super) fn process_server_poll(
        &self,
        polled: Poll<hyper::Result<()>>,
        known_head_deadline: Option<Instant>,
    ) -> Poll<ServerEvent> {
        if !self.stream.is_write_blocked() && !matches!(polled, Poll::Ready(Err(_))) {
            let written = self.unwritten_responses.swap(0, Ordering::Relaxed);
            self.unanswered_requests.fetch_sub(written, Ordering::Relaxed);
            self.handler.totals.add_answered(written);
        }
        if polled.is_ready() {
            Poll::Ready(ServerEvent::Finished)
        } else if self.head_deadline() != known_head_deadline {
            Poll::Ready(ServerEvent::DeadlineChanged)
        } else {
            Poll::Pending
        }
    }

    /// Counts all unanswered requests as disconnected. Called once the client has disconnected.
    pub(super) fn count_disconnected(&self) {
        self.handler.totals.add_disconnected(self.unanswered_requests.swap(0, Ordering::Relaxed));
    }

    /// Returns the instant that is `timeout` after the last response, or after the connection was accepted if
    /// there was no response yet.
    pub(super) fn idle_deadline(&self, timeout: Micros) -> Instant {
        let idle_since = *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner);
        idle_since + Duration::from_micros(timeout)
    }

    pub(super) fn head_deadline(&self) -> Option<Instant> {
        *self.head_deadline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_head_deadline(&self, deadline: Option<Instant>) {
        *self.head_deadline.lock().unwrap_or_else(PoisonError::into_inner) = deadline;
    }
}

/// Event produced by polling the server.
pub(super) enum ServerEvent {
    /// The connection has ended.
    Finished,
    /// The deadline for the next request's head has changed.
    DeadlineChanged,
}
