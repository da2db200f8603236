//! The state that the event loop of a client connection shares with the connection's requests. It includes
//! the deadline for reading the next request, and the number of requests without a written response.
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
use crate::downstream::raw_head::{RawHead, has_conflicting_framing};
use crate::downstream::read_ahead::ReadAhead;
use crate::downstream::request_handler::RequestHandler;
use crate::downstream::request_limits::RequestLimits;

/// The time from accepting a connection until the connection's first request must be received completely, in
/// microseconds.
///
/// A connection that exceeds this time is closed. Ordinary clients send as soon as they connect, so this time
/// can be much shorter than the idle time-out between requests.
const FIRST_REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// The time from the first byte of a request's head until the head must be received completely, in
/// microseconds. Does not apply to the first request of a connection.
const HEAD_TIMEOUT: Micros = 2 * SECOND;
/// The time from the receipt of a request's head until the body must be received completely, in microseconds.
/// Does not apply to the first request of a connection.
const BODY_TIMEOUT: Micros = 2 * SECOND;

/// The state that the event loop of a client connection shares with the connection's requests. It is used in
/// one task only.
pub(super) struct ServedConnection {
    pub(super) handler: Arc<RequestHandler>,
    pub(super) permit: Arc<ConnectionPermit>,
    pub(super) stream: ReadAhead,
    pub(super) raw_head: RawHead,
    pub(super) first_request_deadline: Instant,
    /// The instant at which the event loop next decides whether to close the connection because the head of
    /// the next request has not been received. `None` from the receipt of a request's head until the response
    /// to that request.
    pub(super) head_deadline: Mutex<Option<Instant>>,
    /// Whether the head of the connection's first request has been received.
    pub(super) has_received_request: AtomicBool,
    /// The time at which the last response was passed to the server library (hyper). Before the first
    /// response, the time at which the connection was accepted.
    pub(super) idle_since: Mutex<Instant>,
    /// The number of client requests whose response has not been written yet.
    pub(super) unanswered_requests: AtomicUsize,
    /// The number of client requests whose response has been passed to the server library (hyper) but not
    /// been written yet. These requests are included in `unanswered_requests`.
    pub(super) unwritten_responses: AtomicUsize,
    /// Whether the connection's last request came from a client. Otherwise the request was a worker's
    /// callback.
    pub(super) is_used_by_client: AtomicBool,
    /// Whether a request that was received completely is being answered.
    pub(super) is_request_complete: Arc<AtomicBool>,
}

/// The hyper service that answers the requests of one client connection.
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
            memory: Arc::clone(&self.handler.memory),
            is_request_complete: Arc::clone(&self.is_request_complete),
            peer: self.stream.presence(),
        };
        let has_conflicting_framing = has_conflicting_framing(&self.raw_head.take(), request.headers());
        let mut response =
            self.handler.respond(request.map(Body::new), has_conflicting_framing, limits).await;
        self.is_request_complete.store(false, Ordering::Relaxed);
        // If received bytes were dropped, the connection closes after this response, because the bytes that
        // follow cannot be parsed as a request.
        if self.stream.is_overrun() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        self.raw_head.start();
        self.permit.set_state(ConnectionState::Idle);
        // The server library (hyper) may have read the first bytes of the next request's head together with
        // the end of the request that was just answered. The scheduler has taken these bytes for a part of
        // that request. After [`HEAD_TIMEOUT`], the event loop therefore stops hyper, which gives back the
        // bytes that it has read but not used. They show whether the next head has begun.
        self.set_head_deadline(Some(from_now(HEAD_TIMEOUT)));
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        if self.is_used_by_client.load(Ordering::Relaxed) {
            self.unwritten_responses.fetch_add(1, Ordering::Relaxed);
        }
        response
    }

    /// Records that a request's head has been received. The connection's state becomes
    /// [`ConnectionState::Serving`], and the deadline for the head is removed.
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

    /// Records that the server library (hyper) has read `bytes` from the stream.
    ///
    /// If the bytes belong to a request's head, the connection's state becomes
    /// [`ConnectionState::Receiving`]. If they are the first bytes of that head, the head must be received
    /// within [`HEAD_TIMEOUT`]. The connection's first request is an exception: its deadline is counted from
    /// the accepting of the connection ([`FIRST_REQUEST_TIMEOUT`]).
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

    /// Handles the result `polled` of one poll of the hyper server that serves this connection. Counts the
    /// responses that have been written, and returns the event for the connection's event loop, if there is
    /// one.
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

    /// Counts all requests without a written response as disconnected. Called once the client has
    /// disconnected.
    pub(super) fn count_disconnected(&self) {
        self.handler.totals.add_disconnected(self.unanswered_requests.swap(0, Ordering::Relaxed));
    }

    /// Returns the instant `timeout` microseconds after the last response. Before the first response, the
    /// time counts from when the connection was accepted.
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

/// What a poll of the hyper server that serves a connection has found.
pub(super) enum ServerEvent {
    /// The hyper server has finished: the connection serves no further request.
    Finished,
    /// The deadline for the head of the connection's next request has changed.
    DeadlineChanged,
}
