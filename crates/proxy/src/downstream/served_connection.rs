//! What a client connection's loop and its requests know of each other: by when the next request has come, and which
//! requests have their response.
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

/// The first whole request of a connection has come by then, or the connection ends. Apart from the limit
/// between requests, so that it cuts no usual client, which sends as soon as it connects.
const FIRST_REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// A later request's head has come this long after its first byte.
const HEAD_TIMEOUT: Micros = 2 * SECOND;
/// A later request's body has come this long after its head.
const BODY_TIMEOUT: Micros = 2 * SECOND;

/// What a connection's loop and its requests share. All of it is used from one task.
pub(super) struct ServedConnection {
    pub(super) handler: Arc<RequestHandler>,
    pub(super) permit: Arc<ConnectionPermit>,
    pub(super) stream: ReadAhead,
    pub(super) raw_head: RawHead,
    pub(super) first_request_deadline: Instant,
    /// When the next request's head must have come, or is looked for; none while a request is served.
    pub(super) head_deadline: Mutex<Option<Instant>>,
    /// The first request's head has come.
    pub(super) has_received_request: AtomicBool,
    /// When its last response was given.
    pub(super) idle_since: Mutex<Instant>,
    /// Clients' requests whose response has not been written.
    pub(super) unanswered_requests: AtomicUsize,
    /// Those among them whose response is known.
    pub(super) unwritten_responses: AtomicUsize,
    /// The last request was a client's, and not a callback.
    pub(super) is_used_by_client: AtomicBool,
    /// A request has come to its last byte and is being answered.
    pub(super) is_request_complete: Arc<AtomicBool>,
}

/// Answers the requests of one connection.
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
        // More came than was kept: what follows cannot be read as a request.
        if self.stream.is_overrun() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        self.raw_head.start();
        self.permit.set_state(ConnectionState::Idle);
        // The library may hold the next head's beginning, unseen from here: it is looked for by then.
        self.set_head_deadline(Some(from_now(HEAD_TIMEOUT)));
        *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
        if self.is_used_by_client.load(Ordering::Relaxed) {
            self.unwritten_responses.fetch_add(1, Ordering::Relaxed);
        }
        response
    }

    /// A request's head has come.
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

    /// The library reads bytes of the stream.
    pub(super) fn observe_read(&self, bytes: &[u8]) {
        if !self.raw_head.add(bytes) || bytes.is_empty() {
            return;
        }
        let is_continued = self.permit.is_in_state(ConnectionState::Receiving);
        if !is_continued && self.has_received_request.load(Ordering::Relaxed) {
            self.set_head_deadline(Some(from_now(HEAD_TIMEOUT)));
        }
        self.permit.set_receiving();
    }

    /// What the server's poll means for the connection, and counts the responses that it has written.
    pub(super) fn server_step(
        &self,
        polled: Poll<hyper::Result<()>>,
        known_head_deadline: Option<Instant>,
    ) -> Poll<ServerStep> {
        if !self.stream.is_write_blocked() && !matches!(polled, Poll::Ready(Err(_))) {
            let written = self.unwritten_responses.swap(0, Ordering::Relaxed);
            self.unanswered_requests.fetch_sub(written, Ordering::Relaxed);
            self.handler.totals.add_answered(written);
        }
        if polled.is_ready() {
            Poll::Ready(ServerStep::Finished)
        } else if self.head_deadline() != known_head_deadline {
            Poll::Ready(ServerStep::DeadlineMoved)
        } else {
            Poll::Pending
        }
    }

    /// The client has disconnected: nobody waits for what is unanswered.
    pub(super) fn count_disconnected(&self) {
        self.handler.totals.add_disconnected(self.unanswered_requests.swap(0, Ordering::Relaxed));
    }

    /// The instant that comes so long after its last response.
    pub(super) fn idle_for(&self, time: Micros) -> Instant {
        let idle_since = *self.idle_since.lock().unwrap_or_else(PoisonError::into_inner);
        idle_since + Duration::from_micros(time)
    }

    pub(super) fn head_deadline(&self) -> Option<Instant> {
        *self.head_deadline.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn set_head_deadline(&self, deadline: Option<Instant>) {
        *self.head_deadline.lock().unwrap_or_else(PoisonError::into_inner) = deadline;
    }
}

/// What polling the server came to.
pub(super) enum ServerStep {
    /// The connection has ended.
    Finished,
    /// The next head is due at another instant than before.
    DeadlineMoved,
}
