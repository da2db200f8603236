//! Connections to workers: their pool, and which requests may reuse one.
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

use crate::invariant::{Subject, note_of};
use crate::upstream::http::guarded_body::GuardedBody;
use crate::upstream::http::limits::{idle_timeout, max_idle_per_worker};
use crate::upstream::http::request::may_run_anywhere;
use crate::upstream::http::tracked_connector::{ClosedSignal, TrackedConnector};

/// Longest head of a worker's response that is read: a head without end would grow on each connection.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;
/// For this long after a reused connection broke under its request, no reused connection is relied on: long
/// enough for the requests that may be repeated to show whether it still happens.
const REUSE_SUSPENSION: Micros = 10 * SECOND;
/// Connections whose last use is remembered before old ones are forgotten.
const MAX_TRACKED_CONNECTIONS: usize = 256;

/// How a connection carried a request.
pub(super) enum ConnectionUse {
    /// It brought the usual response, and carries the next request.
    Reusable,
    /// It brought another response, and carries no more.
    NotReusable,
    /// It broke.
    Broken,
}

/// What is known of reused connections.
struct ConnectionReuse {
    /// When each connection, named by its local address, carried its last request.
    last_uses: HashMap<SocketAddr, Instant>,
    suspended_until: Option<Instant>,
}

/// The connections to all workers.
pub(super) struct WorkerConnections {
    pooled_client: Client<TrackedConnector, GuardedBody>,
    /// Opens a connection for each request.
    unpooled_client: Client<TrackedConnector, GuardedBody>,
    /// Written only by [`WorkerConnections::record_use`].
    reuse: Mutex<ConnectionReuse>,
    keep_alive_timeout: Duration,
}

impl WorkerConnections {
    /// Connections within the settings, for a process of so many descriptors.
    pub(super) fn new(settings: &ProxySettings, descriptor_limit: usize) -> WorkerConnections {
        WorkerConnections {
            pooled_client: build_client(settings, max_idle_per_worker(descriptor_limit)),
            unpooled_client: build_client(settings, 0),
            reuse: Mutex::new(ConnectionReuse { last_uses: HashMap::new(), suspended_until: None }),
            keep_alive_timeout: Duration::from_micros(settings.keep_alive_timeout),
        }
    }

    /// Sends a request on a pooled connection, or a new one.
    pub(super) fn send(&self, request: Request<GuardedBody>) -> ResponseFuture {
        self.pooled_client.request(request)
    }

    /// Sends a request on a new connection, which carries nothing else.
    pub(super) fn send_on_new_connection(&self, request: Request<GuardedBody>) -> ResponseFuture {
        self.unpooled_client.request(request)
    }

    /// Sends an attempt on a pooled connection or a new one. A connection may have died unseen and break
    /// under the next request; after that a request that must run once may not be sent again, and one whose
    /// repeats only some workers drop may be sent to few. While this was seen lately, such a request gets a
    /// connection of its own.
    pub(super) fn send_attempt(
        &self,
        request: Request<GuardedBody>,
        idempotency: Idempotency,
    ) -> ResponseFuture {
        let is_suspended = {
            let reuse = self.reuse.lock().unwrap_or_else(PoisonError::into_inner);
            reuse.suspended_until.is_some_and(|until| Instant::now() < until)
        };
        if is_suspended && !may_run_anywhere(idempotency) {
            self.unpooled_client.request(request)
        } else {
            self.pooled_client.request(request)
        }
    }

    /// Records how a connection carried a request; returns when it carried the one before.
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
                if reuse.last_uses.len() >= MAX_TRACKED_CONNECTIONS {
                    reuse.last_uses.retain(|_, used| now.duration_since(*used) < self.keep_alive_timeout);
                }
                reuse.last_uses.insert(address, now);
            }
            // A second response that comes a little after the first would be taken for the next request's own,
            // and all later ones would be off by one.
            ConnectionUse::NotReusable => {
                connection.connection_metadata().iter().for_each(Connected::poison);
            }
            ConnectionUse::Broken if previous_use.is_some() => {
                reuse.suspended_until = Some(now + Duration::from_micros(REUSE_SUSPENSION));
                let worker_address = remote_address(connection).map(|address| address.to_string());
                let subject = Subject { peer: worker_address.as_deref(), ..Subject::default() };
                note_of(
                    "a reused connection broke under its request",
                    "requests that may not run at any worker get new connections",
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
        // Shorter than the workers' own: a request must not be written to a connection that its worker closes.
        .pool_idle_timeout(Duration::from_micros(idle_timeout(settings.keep_alive_timeout)))
        .pool_max_idle_per_host(max_idle)
        // The library never resends: that would be a second attempt that nobody decided on.
        .retry_canceled_requests(false)
        .http1_max_buf_size(MAX_RESPONSE_HEAD_BYTES)
        .build(TrackedConnector(connector))
}

/// Waits until the socket of the connection that a request went out on has been closed.
pub(super) async fn wait_until_closed(connection: &CaptureConnection) {
    let closed = connection_extras(connection).and_then(|mut extras| extras.remove::<ClosedSignal>());
    if let Some(ClosedSignal(closed)) = closed {
        closed.cancelled().await;
    }
}

/// The local address of the connection that a request went out on, which names the connection.
fn remote_address(connection: &CaptureConnection) -> Option<SocketAddr> {
    connection_extras(connection)?.get().map(HttpInfo::remote_addr)
}

fn local_address(connection: &CaptureConnection) -> Option<SocketAddr> {
    connection_extras(connection)?.get().map(HttpInfo::local_addr)
}

/// What is known of the connection that a request went out on; nothing while there is none.
fn connection_extras(connection: &CaptureConnection) -> Option<Extensions> {
    let mut extras = Extensions::new();
    connection.connection_metadata().as_ref()?.get_extras(&mut extras);
    Some(extras)
}
