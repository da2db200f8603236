//! The pool of connections to workers, and the rule that decides which requests may reuse a connection.
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use copperspread_dispatcher::{Idempotency, Micros, SECOND};
use copperspread_settings::ProxySettings;
use hyper::Request;
use hyper::http::Extensions;
use hyper_util::client::legacy::connect::{CaptureConnection, Connected, HttpConnector, HttpInfo};
use hyper_util::client::legacy::{Client, ResponseFuture};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::Instant;

use crate::invariant::{EventSubject, count_event_for};
use crate::upstream::http::guarded_body::GuardedBody;
use crate::upstream::http::limits::{idle_timeout, max_idle_per_worker};
use crate::upstream::http::request::is_retryable_at_any_worker;
use crate::upstream::http::tracked_connector::{ClosedSignal, TrackedConnector};

/// The maximum length of the head of a worker's response, in bytes. Without a maximum, an endless head could
/// use up the memory.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// How long the reuse of connections is suspended after a reused connection broke during a request, in
/// microseconds. Requests that can be retried at any worker reuse connections even then. If a reused
/// connection breaks again, the time starts anew.
const REUSE_SUSPENSION: Micros = 10 * SECOND;
/// The number of entries in `last_uses` from which on old entries are removed: those of connections whose
/// last use was longer ago than the workers' keep-alive time.
const TRACKED_CONNECTIONS_PRUNE_THRESHOLD: usize = 256;

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

/// The state that decides whether connections to workers may be reused.
struct ConnectionReuse {
    /// The time at which each connection was last used with success. The key is the connection's local
    /// address.
    last_uses: HashMap<SocketAddr, Instant>,
    suspended_until: Option<Instant>,
}

/// The HTTP connections to all workers.
pub(super) struct WorkerConnections {
    pooled_client: Client<TrackedConnector, GuardedBody>,
    /// A client that opens a new connection to the worker for each request.
    unpooled_client: Client<TrackedConnector, GuardedBody>,
    /// The state that decides whether connections may be reused. Only [`WorkerConnections::record_use`]
    /// changes it.
    reuse: Mutex<ConnectionReuse>,
    keep_alive_timeout: Duration,
}

impl WorkerConnections {
    /// Creates the pool of connections to all workers. The maximum number of idle connections to each worker
    /// is derived from `descriptor_limit`, the number of file descriptors that the process may open.
    pub(super) fn new(settings: &ProxySettings, descriptor_limit: usize) -> WorkerConnections {
        WorkerConnections {
            pooled_client: build_client(settings, max_idle_per_worker(descriptor_limit)),
            unpooled_client: build_client(settings, 0),
            reuse: Mutex::new(ConnectionReuse { last_uses: HashMap::new(), suspended_until: None }),
            keep_alive_timeout: Duration::from_micros(settings.keep_alive_timeout),
        }
    }

    /// Sends a request to a worker on an idle connection, or on a new connection if none is idle.
    pub(super) fn send(&self, request: Request<GuardedBody>) -> ResponseFuture {
        self.pooled_client.request(request)
    }

    /// Sends a request to a worker on a new connection, which is not reused.
    pub(super) fn send_on_new_connection(&self, request: Request<GuardedBody>) -> ResponseFuture {
        self.unpooled_client.request(request)
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
    ) -> ResponseFuture {
        let is_suspended = {
            let reuse = self.reuse.lock().unwrap_or_else(PoisonError::into_inner);
            reuse.suspended_until.is_some_and(|until| Instant::now() < until)
        };
        if is_suspended && !is_retryable_at_any_worker(idempotency) {
            self.unpooled_client.request(request)
        } else {
            self.pooled_client.request(request)
        }
    }

    /// Records how the use of a connection ended. Returns the time of the connection's last successful use
    /// before that, or `None` if no such use is recorded.
    pub(super) fn record_use(
        &self,
        connection: &CaptureConnection,
        connection_use: ConnectionUse,
    ) -> Option<Instant> {
        let address = local_address(connection)?;
        let mut reuse = self.reuse.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let previous_use = reuse.last_uses.remove(&address);
        match connection_use {
            ConnectionUse::Reusable => {
                if reuse.last_uses.len() >= TRACKED_CONNECTIONS_PRUNE_THRESHOLD {
                    reuse.last_uses.retain(|_, used| now.duration_since(*used) < self.keep_alive_timeout);
                }
                reuse.last_uses.insert(address, now);
            }
            // The connection is not reused, because the worker might send a second response. That response
            // would be taken for the response to the next request, and all later responses would be assigned
            // to the wrong requests.
            ConnectionUse::NotReusable => {
                connection.connection_metadata().iter().for_each(Connected::poison);
            }
            ConnectionUse::Broken if previous_use.is_some() => {
                reuse.suspended_until = Some(now + Duration::from_micros(REUSE_SUSPENSION));
                let worker_address = remote_address(connection).map(|address| address.to_string());
                let subject = EventSubject { peer: worker_address.as_deref(), ..EventSubject::default() };
                count_event_for(
                    "a reused connection broke under its request",
                    "requests that cannot be retried at every worker are sent on new connections",
                    subject,
                );
            }
            ConnectionUse::Broken => {}
        }
        previous_use
    }
}

fn build_client(settings: &ProxySettings, max_idle: usize) -> Client<TrackedConnector, GuardedBody> {
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
        .build(TrackedConnector(connector))
}

/// Waits until the socket on which a request was sent has been closed. Returns at once if the request got no
/// connection.
pub(super) async fn wait_until_closed(connection: &CaptureConnection) {
    let closed = connection_extras(connection).and_then(|mut extras| extras.remove::<ClosedSignal>());
    if let Some(ClosedSignal(closed)) = closed {
        closed.cancelled().await;
    }
}

/// Returns the address of the worker's end of the connection on which a request was sent to the worker.
fn remote_address(connection: &CaptureConnection) -> Option<SocketAddr> {
    connection_extras(connection)?.get().map(HttpInfo::remote_addr)
}

/// Returns the address of the scheduler's end of the connection on which a request was sent to a worker. This
/// address identifies the connection.
fn local_address(connection: &CaptureConnection) -> Option<SocketAddr> {
    connection_extras(connection)?.get().map(HttpInfo::local_addr)
}

/// Returns the data that the connector has attached to a request's connection, or `None` if the request has
/// no connection yet.
fn connection_extras(connection: &CaptureConnection) -> Option<Extensions> {
    let mut extras = Extensions::new();
    connection.connection_metadata().as_ref()?.get_extras(&mut extras);
    Some(extras)
}
