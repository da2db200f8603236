//! Answers the requests of all client connections through one router, and counts those in progress.
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use axum::Router;
use axum::extract::Request;
use axum::http::StatusCode;
use axum::http::header::{self, HeaderValue};
use axum::response::{IntoResponse, Response};
use tokio::sync::Semaphore;
use tower_service::Service;

use crate::downstream::raw_head::has_conflicting_framing;
use crate::downstream::request_limits::{RequestLimits, body_memory};
use crate::downstream::request_totals::RequestCounters;
use crate::invariant::note;
use crate::shutdown::Shutdown;

/// What answers requests.
pub(super) struct RequestHandler {
    router: Router,
    /// Where callbacks come: they are no clients' requests.
    callback_path: &'static str,
    pub(super) shutdown: Shutdown,
    /// More clients' requests than this are not answered: the rest of the connections is for callbacks.
    max_client_requests: usize,
    pub(super) body_memory: Arc<Semaphore>,
    /// What became of all clients' requests so far.
    pub(super) totals: RequestCounters,
    /// Requests that are being read or answered.
    requests: AtomicUsize,
    /// Those of clients among them.
    client_requests: AtomicUsize,
}

impl RequestHandler {
    pub(super) fn new(
        router: Router,
        callback_path: &'static str,
        shutdown: Shutdown,
        max_connections: usize,
        memory_limit_mb: f64,
    ) -> RequestHandler {
        RequestHandler {
            router,
            callback_path,
            shutdown,
            max_client_requests: max_connections - max_connections / 8,
            body_memory: body_memory(memory_limit_mb),
            totals: RequestCounters::default(),
            requests: AtomicUsize::new(0),
            client_requests: AtomicUsize::new(0),
        }
    }

    /// Whether a request is a client's, and not a callback.
    pub(super) fn is_client_request<B>(&self, request: &hyper::Request<B>) -> bool {
        request.uri().path() != self.callback_path
    }

    /// How many requests are being read or answered.
    pub(super) fn requests(&self) -> usize {
        self.requests.load(Ordering::Relaxed)
    }

    /// The response to one request, and whether its connection stays open.
    pub(super) async fn respond(&self, request: Request, raw_head: &[u8], limits: RequestLimits) -> Response {
        let _request = CountGuard::new(&self.requests);
        let is_client_request = self.is_client_request(&request);
        let _client_request = is_client_request.then(|| CountGuard::new(&self.client_requests));
        let mut is_refused_unread = false;
        let mut response = if has_conflicting_framing(raw_head, request.headers()) {
            note("bad request", "a body framed in two ways");
            StatusCode::BAD_REQUEST.into_response()
        } else if is_client_request && self.is_crowded() {
            // Clients that use all connections would shut out the callbacks on which their responses wait. Not
            // a rejection: those are the policy's.
            is_refused_unread = true;
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        } else {
            self.route(request, limits).await
        };
        // A client whose request cannot be served must not keep its connection. Nor may one whose body was left
        // unread send its next request behind it.
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

    fn is_crowded(&self) -> bool {
        self.client_requests.load(Ordering::Relaxed) > self.max_client_requests
    }
}

/// Counts one more until it is dropped.
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
