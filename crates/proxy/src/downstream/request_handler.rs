//! Answers the requests on all client connections, through one router.
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use axum::Router;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::http::header::{self, HeaderValue};
use axum::response::{IntoResponse, Response};
use tower_service::Service;

use crate::downstream::request_limits::RequestLimits;
use crate::downstream::request_totals::RequestCounters;
use crate::invariant::count_event;
use crate::memory::MemoryBudget;
use crate::shutdown::Shutdown;

/// Answers the requests on all client connections, and counts the requests in progress.
pub(super) struct RequestHandler {
    router: Router,
    /// The path to which workers send callbacks. Requests to this path don't count as client requests.
    callback_path: &'static str,
    pub(super) shutdown: Shutdown,
    /// The memory for the bodies of requests.
    pub(super) memory: Arc<MemoryBudget>,
    /// How many client requests were received on all connections, and how they ended.
    pub(super) totals: RequestCounters,
    /// The number of requests that are being read or answered, including callbacks.
    active_requests: AtomicUsize,
    /// The number of client requests that are being read or answered.
    active_client_requests: AtomicUsize,
}

impl RequestHandler {
    pub(super) fn new(
        router: Router,
        callback_path: &'static str,
        shutdown: Shutdown,
        memory: Arc<MemoryBudget>,
    ) -> RequestHandler {
        RequestHandler {
            router,
            callback_path,
            shutdown,
            memory,
            totals: RequestCounters::default(),
            active_requests: AtomicUsize::new(0),
            active_client_requests: AtomicUsize::new(0),
        }
    }

    /// Returns whether a request is a client's request. Otherwise the request is a worker's callback.
    pub(super) fn is_client_request<B>(&self, request: &hyper::Request<B>) -> bool {
        request.uri().path() != self.callback_path
    }

    /// Returns the number of requests that are being read or answered, including callbacks.
    pub(super) fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::Relaxed)
    }

    /// Returns the response to one request.
    ///
    /// `has_conflicting_framing` tells whether the request may give the length of its body in two ways. The
    /// response has the header `Connection: close` if the connection is to be closed after the response.
    pub(super) async fn respond(
        &self,
        request: Request,
        has_conflicting_framing: bool,
        limits: RequestLimits,
    ) -> Response {
        let _request = CountGuard::new(&self.active_requests);
        let is_client_request = self.is_client_request(&request);
        let _client_request = is_client_request.then(|| CountGuard::new(&self.active_client_requests));
        let mut is_refused_unread = false;
        let mut response = if has_conflicting_framing {
            count_event("bad request", "a body framed in two ways");
            StatusCode::BAD_REQUEST.into_response()
        } else if is_client_request && self.exceeds_client_request_limit() {
            // Too many client requests are in progress, so this request is refused. The limit keeps some
            // connections free for workers, which send the results of attempts in callbacks on connections of
            // their own. If clients used all connections, workers could not connect, and no request could be
            // answered. The refused request gets an error status and not a rejection, because only the policy
            // rejects requests.
            is_refused_unread = true;
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        } else {
            self.route(request, limits).await
        };
        // The connection is closed in three cases. First, the limit on client requests was exceeded: the
        // request's body was not read, so that no further request can be read from the connection. Second, a
        // shutdown has begun. Third, the response has a 4xx status: a client whose request cannot be served
        // must not keep a connection open.
        if is_refused_unread || self.shutdown.is_started() || response.status().is_client_error() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn route(&self, mut request: Request, limits: RequestLimits) -> Response {
        request.extensions_mut().insert(limits);
        match self.router.clone().call(request).await {
            Ok(response) => response,
            Err(never) => match never {},
        }
    }

    /// Returns whether more client requests are in progress than allowed: an eighth less than the maximum
    /// number of connections, so that workers can still connect to send callbacks.
    fn exceeds_client_request_limit(&self) -> bool {
        let max_connections = self.memory.max_client_connections();
        let max_client_requests = max_connections - max_connections / 8;
        self.active_client_requests.load(Ordering::Relaxed) > max_client_requests
    }
}

/// A guard that increments a counter when it is created, and decrements the counter when it is dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl CountGuard<'_> {
    fn new(count: &AtomicUsize) -> CountGuard<'_> {
        count.fetch_add(1, Ordering::Relaxed);
        CountGuard(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
