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
use crate::descriptors::DescriptorBudget;
use crate::downstream::Downstream;
use crate::downstream::client_connection::serve_connection;
use crate::downstream::connection_limits::ConnectionLimits;
use crate::downstream::request_handler::RequestHandler;
use crate::downstream::request_totals::RequestTotals;
use crate::invariant::count_event;
use crate::shutdown::{Shutdown, ShutdownPhase};

/// The delay before `accept` is called again after it failed for lack of file descriptors or memory, in
/// microseconds.
const ACCEPT_RETRY_DELAY: Micros = 20_000;
/// How many errors of `accept` in a row are retried at once, if each of them concerns only the connection
/// that would have been accepted.
///
/// After the next such error, the loop waits for [`ACCEPT_RETRY_DELAY`]. A persistent error therefore doesn't
/// cause a busy loop.
const MAX_FAILED_CONNECTIONS: u32 = 8;

/// The listener for client connections. It limits the number of connections, which share one request handler.
pub struct ClientListener {
    handler: Arc<RequestHandler>,
    /// The listening socket. The task that accepts connections takes it, and closes it when the task ends.
    listener: Mutex<Option<TcpListener>>,
    limits: Arc<ConnectionLimits>,
}

impl ClientListener {
    /// Creates a listener that accepts client connections on `listener` and answers their requests through
    /// `router`.
    ///
    /// The connections take their file descriptors and their memory from `descriptors`, and the bodies of
    /// requests take theirs from the same memory.
    pub fn new(
        router: Router,
        callback_path: &'static str,
        shutdown: Shutdown,
        listener: TcpListener,
        descriptors: Arc<DescriptorBudget>,
    ) -> Arc<ClientListener> {
        let memory = Arc::clone(descriptors.memory());
        let handler = RequestHandler::new(router, callback_path, shutdown, memory);
        Arc::new(ClientListener {
            handler: Arc::new(handler),
            listener: Mutex::new(Some(listener)),
            limits: ConnectionLimits::new(descriptors),
        })
    }

    /// Returns how many client requests have been received and how they ended, since the process started.
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
                    // The span adds the client's address to the log messages of this connection.
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
                // If file descriptors or memory run out, this loop must go on, or no further connection would
                // be accepted. It must also wait, or it would be a busy loop.
                Err(error) => {
                    consecutive_failures = 0;
                    // This counter counts failed calls of `accept` after which the loop waits.
                    let reason = format!("{error}; {}", self.limits.descriptor_usage());
                    count_event("no connection taken", &reason);
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

/// Returns whether `accept` failed because the process or the machine is out of file descriptors or memory.
///
/// In this case, the next call of `accept` would fail too. Any other error concerns only the connection that
/// would have been accepted: on Linux, `accept` returns network errors that are already pending on the new
/// socket.
fn is_resource_exhaustion(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM))
}
