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
use crate::downstream::request_totals::RequestTotals;
use crate::invariant::note;
use crate::shutdown::{Shutdown, ShutdownPhase};

/// Wait after an accept that failed for want of descriptors or memory.
const ACCEPT_RETRY_DELAY: Micros = 20_000;
/// Connections in a row that may fail as they are accepted before a wait of [`ACCEPT_RETRY_DELAY`] follows, so that an
/// error which stays does not keep the loop busy.
const MAX_FAILED_CONNECTIONS: u32 = 8;

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

    /// What became of clients' requests so far.
    pub fn request_totals(&self) -> RequestTotals {
        self.handler.totals.totals()
    }

    /// Accepts connections until they close. Each is served in a task of its own, which ends with it.
    async fn accept_all(self: Arc<Self>) {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(listener) = listener else { return };
        let mut shutdown = self.handler.shutdown.watch();
        let mut failed_in_a_row = 0;
        loop {
            let accepted = tokio::select! {
                biased;
                _ = shutdown.wait_for(|phase| matches!(phase, ShutdownPhase::Closing(_))) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => {
                    failed_in_a_row = 0;
                    let permit = Arc::new(self.limits.acquire().await);
                    // What is logged of the connection names its peer.
                    let span = warn_span!("connection", %peer);
                    tokio::spawn(
                        serve_connection(Arc::clone(&self.handler), stream, permit).instrument(span),
                    );
                }
                Err(error) if !is_shortage(&error) && failed_in_a_row < MAX_FAILED_CONNECTIONS => {
                    failed_in_a_row += 1;
                }
                // When descriptors run out, neither an end nor a busy loop.
                Err(error) => {
                    failed_in_a_row = 0;
                    note("no connection taken", &error.to_string());
                    if is_shortage(&error) {
                        self.limits.evict_for_shortage();
                    }
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

/// Whether an accept failed for want of something that the process or the machine lacks, so that the next fails too.
/// Any other error is that of the connection which would have been accepted: Linux reports what the network had
/// against it in this place, and the next may come.
fn is_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM))
}
