//! Accepts client connections, within their limits, until the shutdown closes.
use std::io;
use std::sync::{Arc, Mutex, PoisonError};

use axum::Router;
use copperspread_dispatcher::Micros;
use futures_util::future::BoxFuture;
use tokio::net::TcpListener;
use tokio::time::sleep_until;
use tracing::{Instrument, warn_span};

use crate::clock::from_now;
use crate::downstream::Downstream;
use crate::downstream::client_connection::serve_connection;
use crate::downstream::connection_limits::{ConnectionLimits, max_connections};
use crate::downstream::request_handler::RequestHandler;
use crate::invariant::note;
use crate::shutdown::{Shutdown, ShutdownPhase};

/// Wait after an accept that failed for want of descriptors.
const ACCEPT_RETRY_DELAY: Micros = 20_000;

/// All client connections of a scheduler.
pub struct ClientConnections {
    handler: Arc<RequestHandler>,
    /// Moves to the task that accepts connections, and closes with it.
    listener: Mutex<Option<TcpListener>>,
    limits: Arc<ConnectionLimits>,
}

impl ClientConnections {
    /// Connections that a router answers, within a process's limits.
    pub fn new(
        router: Router,
        callback_path: &'static str,
        shutdown: Shutdown,
        listener: TcpListener,
        descriptor_limit: usize,
        memory_limit_mb: f64,
    ) -> Arc<ClientConnections> {
        let max_connections = max_connections(descriptor_limit, memory_limit_mb);
        let handler = RequestHandler::new(router, callback_path, shutdown, max_connections, memory_limit_mb);
        Arc::new(ClientConnections {
            handler: Arc::new(handler),
            listener: Mutex::new(Some(listener)),
            limits: ConnectionLimits::new(max_connections),
        })
    }

    /// Accepts connections until they close. Each is served in a task of its own, which ends with it.
    async fn accept_all(self: Arc<Self>) {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(listener) = listener else { return };
        let mut shutdown = self.handler.shutdown.watch();
        loop {
            let accepted = tokio::select! {
                biased;
                _ = shutdown.wait_for(|phase| matches!(phase, ShutdownPhase::Closing(_))) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => {
                    let permit = Arc::new(self.limits.acquire().await);
                    // What is logged of the connection names its peer.
                    let span = warn_span!("connection", %peer);
                    tokio::spawn(
                        serve_connection(Arc::clone(&self.handler), stream, permit).instrument(span),
                    );
                }
                Err(error) if concerns_one_connection(&error) => {}
                // When descriptors run out, neither an end nor a busy loop.
                Err(error) => {
                    note("no connection taken", &error.to_string());
                    sleep_until(from_now(ACCEPT_RETRY_DELAY)).await;
                }
            }
        }
    }
}

impl Downstream for ClientConnections {
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()> {
        Box::pin(self.accept_all())
    }

    fn busy(&self) -> usize {
        self.handler.requests()
    }
}

/// Whether the error is that of the connection which would have been accepted, so that the next may come.
fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionAborted
            | io::ErrorKind::ConnectionRefused
            | io::ErrorKind::ConnectionReset
            | io::ErrorKind::Interrupted
    )
}
