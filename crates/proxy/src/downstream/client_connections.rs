//! Accepts client connections until the shutdown phase is `Closing`, and limits their number.
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
use crate::invariant::count_event;
use crate::shutdown::{Shutdown, ShutdownPhase};

/// Delay before the next `accept` after one that failed for lack of descriptors or memory.
const ACCEPT_RETRY_DELAY: Micros = 20_000;
/// Number of consecutive `accept` errors that are retried at once, where each error concerns only the
/// connection that would have been accepted.
///
/// After one more such error, the loop waits for [`ACCEPT_RETRY_DELAY`], so that a persistent error doesn't
/// cause a busy loop.
const MAX_FAILED_CONNECTIONS: u32 = 8;

/// Listener for client connections, with the limit on their number and the request handler that they share.
pub struct ClientListener {
    handler: Arc<RequestHandler>,
    /// Listening socket, which the task that accepts connections takes. The socket is closed when that task
    /// ends.
    listener: Mutex<Option<TcpListener>>,
    limits: Arc<ConnectionLimits>,
}

impl ClientListener {
    /// Creates a server that accepts client connections on `listener` and answers their requests through
    /// `router`.
    ///
    /// The number of connections is limited according to the process's limits on file descriptors and on
    /// memory, the latter in MB (10^6 bytes).
    pub fn new(
        router: Router,
        callback_path: &'static str,
        shutdown: Shutdown,
        listener: TcpListener,
        descriptor_limit: usize,
        memory_limit_mb: f64,
    ) -> Arc<ClientListener> {
        let max_connections = max_connections(descriptor_limit, memory_limit_mb);
        let handler = RequestHandler::new(router, callback_path, shutdown, max_connections, memory_limit_mb);
        Arc::new(ClientListener {
            handler: Arc::new(handler),
            listener: Mutex::new(Some(listener)),
            limits: ConnectionLimits::new(max_connections),
        })
    }

    /// Returns the totals of client requests so far.
    pub fn request_totals(&self) -> RequestTotals {
        self.handler.totals.totals()
    }

    /// Accepts connections until the shutdown phase is `Closing`. Each connection is served in its own task.
    async fn accept_connections(self: Arc<Self>) {
        let listener = self.listener.lock().unwrap_or_else(PoisonError::into_inner).take();
        let Some(listener) = listener else { return };
        let mut shutdown = self.handler.shutdown.watch();
        let mut consecutive_failures = 0;
        loop {
            let accepted = tokio::select! {
                biased;
                _ = shutdown.wait_for(|phase| matches!(phase, ShutdownPhase::Closing(_))) => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, peer)) => {
                    consecutive_failures = 0;
                    let permit = Arc::new(self.limits.acquire().await);
                    // Adds the peer's address to the log events of this connection.
                    let span = warn_span!("connection", %peer);
                    tokio::spawn(
                        serve_connection(Arc::clone(&self.handler), stream, permit).instrument(span),
                    );
                }
                Err(error)
                    if !is_resource_exhaustion(&error) && consecutive_failures < MAX_FAILED_CONNECTIONS =>
                {
                    consecutive_failures += 1;
                }
                // When descriptors run out, the loop that accepts connections must neither end nor spin.
                Err(error) => {
                    consecutive_failures = 0;
                    // Counts failed calls of `accept`.
                    count_event("no connection taken", &error.to_string());
                    if is_resource_exhaustion(&error) {
                        self.limits.evict_on_exhaustion();
                    }
                    sleep_until(from_now(ACCEPT_RETRY_DELAY)).await;
                }
            }
        }
    }
}

impl Downstream for ClientListener {
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()> {
        Box::pin(self.accept_connections())
    }

    fn active_requests(&self) -> usize {
        self.handler.active_requests()
    }
}

/// Returns whether `accept` failed because the process or the machine is out of descriptors or memory.
///
/// The next call would then fail too. Any other error concerns only the connection that would have been
/// accepted: on Linux, `accept` returns network errors that are already pending on the new socket.
fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM))
}
