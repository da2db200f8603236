//! The pool of connections to workers, and the rule that decides which requests may reuse a connection.
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use copperspread_dispatcher::{Idempotency, Micros, SECOND};
use copperspread_settings::ProxySettings;
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::connect::{CaptureConnection, Connected, HttpConnector, capture_connection};
use hyper_util::client::legacy::{Client, Error, ResponseFuture};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

use crate::descriptors::{DescriptorBudget, WorkerConnectionUse};
use crate::invariant::{EventSubject, count_event_for};
use crate::upstream::http::guarded_body::GuardedBody;
use crate::upstream::http::limits::{idle_timeout, max_idle_per_worker};
use crate::upstream::http::request::is_retryable_at_any_worker;
use crate::upstream::http::tracked_connector::{TrackedConnection, TrackedConnector, remote_address};

/// The maximum length of the head of a worker's response, in bytes. Without a maximum, an endless head could
/// use up the memory.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// How long the reuse of connections is suspended after a reused connection broke during a request, in
/// microseconds. Requests that can be retried at any worker reuse connections even then. If a reused
/// connection breaks again, the time starts anew.
const REUSE_SUSPENSION: Micros = 10 * SECOND;
/// How the use of a connection for a request to a worker ended.
pub(super) enum ConnectionUse {
    /// The worker accepted the attempt, or answered the load query with the status 200. The connection may be
    /// reused.
    Reusable,
    /// The worker responded to the attempt without accepting the attempt, or answered the load query with
    /// another status than 200. The connection must not be reused.
    NotReusable,
    /// The connection broke while it was used for the request.
    Broken,
}

/// A request to a worker that has been passed to the client library (hyper), and the connection that it uses.
///
/// As a future, it returns the worker's response. The connection counts as used until this value is dropped or
/// [`PendingResponse::take_use`] has been called.
pub(super) struct PendingResponse {
    response: ResponseFuture,
    connection: CaptureConnection,
    connection_use: Option<WorkerConnectionUse>,
}

impl PendingResponse {
    /// Returns the connection that the request uses, which may not be known yet.
    pub(super) fn connection(&self) -> &CaptureConnection {
        &self.connection
    }

    /// Returns the use of the request's connection. The connection counts as used until the use is dropped.
    pub(super) fn take_use(&mut self) -> Option<WorkerConnectionUse> {
        self.connection_use.take()
    }
}

impl Future for PendingResponse {
    type Output = Result<Response<Incoming>, Error>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let polled = Pin::new(&mut self.response).poll(context);
        // In the poll in which hyper takes a connection from its pool, the use of the connection begins.
        // Nothing can therefore close the connection in between.
        if self.connection_use.is_none() {
            self.connection_use =
                TrackedConnection::of(&self.connection).map(|connection| connection.begin_use());
        }
        polled
    }
}

/// The HTTP connections to all workers.
pub(super) struct WorkerConnections {
    pooled_client: Client<TrackedConnector, GuardedBody>,
    /// A client that opens a new connection to the worker for each request.
    unpooled_client: Client<TrackedConnector, GuardedBody>,
    /// The instant until which the reuse of connections is suspended. Only [`WorkerConnections::record_use`]
    /// changes it.
    reuse_suspended_until: Mutex<Option<Instant>>,
}

impl WorkerConnections {
    /// Creates the pool of connections to all workers. The connections take their file descriptors from
    /// `descriptors`. The maximum number of idle connections to each worker is derived from the number of file
    /// descriptors that the process may open.
    pub(super) fn new(settings: &ProxySettings, descriptors: &Arc<DescriptorBudget>) -> WorkerConnections {
        WorkerConnections {
            pooled_client: build_client(settings, descriptors, max_idle_per_worker(descriptors.limit())),
            unpooled_client: build_client(settings, descriptors, 0),
            reuse_suspended_until: Mutex::new(None),
        }
    }

    /// Sends a request to a worker on an idle connection, or on a new connection if none is idle.
    pub(super) fn send(&self, request: Request<GuardedBody>) -> PendingResponse {
        send_by(&self.pooled_client, request)
    }

    /// Sends a request to a worker on a new connection, which is not reused.
    pub(super) fn send_on_new_connection(&self, request: Request<GuardedBody>) -> PendingResponse {
        send_by(&self.unpooled_client, request)
    }

    /// Sends an attempt to a worker, on a new connection if the reuse of connections is suspended for this
    /// request.
    ///
    /// An idle connection may have failed unnoticed, and then breaks during the next request. Not every
    /// request can be retried at any worker after that: a non-idempotent request can't be retried at all, and
    /// some idempotency keys are known only at some workers. Such requests are sent on new connections, which
    /// are not reused, if a reused connection has broken recently. All other requests may use an idle
    /// connection.
    pub(super) fn send_attempt(
        &self,
        request: Request<GuardedBody>,
        idempotency: Idempotency,
    ) -> PendingResponse {
        if self.is_reuse_suspended() && !is_retryable_at_any_worker(idempotency) {
            self.send_on_new_connection(request)
        } else {
            self.send(request)
        }
    }

    fn is_reuse_suspended(&self) -> bool {
        let suspended_until = *self.reuse_suspended_until.lock().unwrap_or_else(PoisonError::into_inner);
        suspended_until.is_some_and(|until| Instant::now() < until)
    }

    /// Records how the use of a connection ended. Returns the time of the connection's last successful use
    /// before that, or `None` if no such use is recorded.
    pub(super) fn record_use(
        &self,
        connection: &CaptureConnection,
        connection_use: ConnectionUse,
    ) -> Option<Instant> {
        let now = Instant::now();
        let last_success = matches!(connection_use, ConnectionUse::Reusable).then_some(now);
        let previous_use = TrackedConnection::of(connection)?.replace_last_success(last_success);
        match connection_use {
            ConnectionUse::Reusable => {}
            // The connection is not reused, because the worker might send a second response. That response
            // would be taken for the response to the next request, and all later responses would be assigned
            // to the wrong requests.
            ConnectionUse::NotReusable => {
                connection.connection_metadata().iter().for_each(Connected::poison);
            }
            ConnectionUse::Broken if previous_use.is_some() => self.suspend_reuse(connection, now),
            ConnectionUse::Broken => {}
        }
        previous_use
    }

    /// Suspends the reuse of connections for [`REUSE_SUSPENSION`], because a reused connection broke.
    fn suspend_reuse(&self, connection: &CaptureConnection, now: Instant) {
        let until = now + Duration::from_micros(REUSE_SUSPENSION);
        *self.reuse_suspended_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
        let worker_address = remote_address(connection).map(|address| address.to_string());
        let subject = EventSubject { peer: worker_address.as_deref(), ..EventSubject::default() };
        count_event_for(
            "a reused connection broke under its request",
            "requests that cannot be retried at every worker are sent on new connections",
            subject,
        );
    }
}

fn send_by(
    client: &Client<TrackedConnector, GuardedBody>,
    mut request: Request<GuardedBody>,
) -> PendingResponse {
    let connection = capture_connection(&mut request);
    PendingResponse { response: client.request(request), connection, connection_use: None }
}

fn build_client(
    settings: &ProxySettings,
    descriptors: &Arc<DescriptorBudget>,
    max_idle: usize,
) -> Client<TrackedConnector, GuardedBody> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_micros(settings.connect_timeout)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        // The idle time-out is shorter than the workers' keep-alive time. Otherwise a request could be
        // written to a connection that its worker is closing.
        .pool_idle_timeout(Duration::from_micros(idle_timeout(settings.keep_alive_timeout)))
        .pool_max_idle_per_host(max_idle)
        // The HTTP client library (hyper) must not retry a request, because a retry would be an attempt that
        // the policy has not decided on.
        .retry_canceled_requests(false)
        .http1_max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .build(TrackedConnector::new(connector, Arc::clone(descriptors)))
}
