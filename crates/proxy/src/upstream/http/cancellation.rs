//! Tells workers over HTTP to cancel attempts.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use copperspread_dispatcher::Micros;
use futures_util::future::BoxFuture;
use hyper::http::uri::{Authority, PathAndQuery};
use hyper::{Method, Request};
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::clock::from_now;
use crate::descriptors::max_cancellations;
use crate::messages::{AttemptTarget, CancellationOutcome};
use crate::upstream::http::connections::{PendingResponse, WorkerConnections};
use crate::upstream::http::guarded_body::GuardedBody;
use crate::upstream::http::limits::max_idle_per_worker;
use crate::upstream::http::request::{build_request, discard_body};

/// How long the body of the response to a cancellation is read, in microseconds. The content is ignored. If
/// the body has not ended by then, the connection is closed.
const BODY_DRAIN_TIMEOUT: Micros = 100_000;
/// The delay before a cancellation is sent again because the worker has not acknowledged it, in microseconds.
const RETRY_DELAY: Micros = 20_000;

/// Sends cancellations of attempts to workers. The number of cancellations in flight is limited in total and
/// for each worker.
pub(super) struct CancellationSender {
    connections: Arc<WorkerConnections>,
    /// The permits that limit the total number of cancellations in flight.
    permits: Arc<Semaphore>,
    /// The permits that limit the number of cancellations in flight to each worker, keyed by the worker's
    /// address. The permits of an address are removed when no cancellation uses them.
    ///
    /// The cancellations to all workers share the permits in `permits`. Without a limit for each worker, a
    /// worker that does not respond could take all shared permits. Cancellations to other workers would have
    /// to wait.
    permits_by_address: Mutex<HashMap<Authority, Weak<Semaphore>>>,
    max_per_worker: usize,
}

impl CancellationSender {
    /// Creates a sender of cancellations. The limits on the cancellations in flight are derived from
    /// `descriptor_limit`, the number of file descriptors that the process may open.
    pub(super) fn new(connections: Arc<WorkerConnections>, descriptor_limit: usize) -> CancellationSender {
        CancellationSender {
            connections,
            permits: Arc::new(Semaphore::new(max_cancellations(descriptor_limit))),
            permits_by_address: Mutex::default(),
            max_per_worker: max_idle_per_worker(descriptor_limit),
        }
    }

    /// Returns the permits that limit the cancellations in flight to the worker at `address`.
    fn permits_for(&self, address: &Authority) -> Arc<Semaphore> {
        let mut permits_by_address = self.permits_by_address.lock().unwrap_or_else(PoisonError::into_inner);
        permits_by_address.retain(|_, permits| permits.strong_count() > 0);
        if let Some(permits) = permits_by_address.get(address).and_then(Weak::upgrade) {
            return permits;
        }
        let permits = Arc::new(Semaphore::new(self.max_per_worker));
        permits_by_address.insert(address.clone(), Arc::downgrade(&permits));
        permits
    }

    /// Sends the cancellation of an attempt to its worker, repeatedly until the worker acknowledges it or the
    /// deadline passes.
    ///
    /// A spawned task sends the cancellation, and the returned future waits for the outcome. If `target` has
    /// no address, nothing is sent and the outcome is [`CancellationOutcome::Unconfirmed`].
    pub(super) fn send(
        &self,
        target: &AttemptTarget,
        request_id: &str,
        deadline: Instant,
    ) -> BoxFuture<'static, CancellationOutcome> {
        let (sender, outcome) = oneshot::channel();
        let path = format!("/jobs/{request_id}").parse().ok();
        if let Some((address, path)) = target.address.clone().zip(path) {
            let worker_permits = self.permits_for(&address);
            let cancellation = Cancellation { connections: Arc::clone(&self.connections), address, path };
            let permits = Arc::clone(&self.permits);
            tokio::spawn(timeout_at(deadline, async move {
                let _worker_permit = worker_permits.acquire().await;
                let _permit = permits.acquire().await;
                cancellation.send_until_acknowledged().await;
                let _ = sender.send(CancellationOutcome::Acknowledged);
            }));
        }
        Box::pin(async move { outcome.await.unwrap_or(CancellationOutcome::Unconfirmed) })
    }
}

/// A cancellation of one attempt. The cancellation is sent to the worker to which the attempt was sent.
struct Cancellation {
    connections: Arc<WorkerConnections>,
    address: Authority,
    path: PathAndQuery,
}

impl Cancellation {
    /// Sends the cancellation repeatedly until the worker acknowledges it.
    ///
    /// The first try may use a pooled connection, which may have broken unnoticed. Later tries therefore use
    /// new connections.
    async fn send_until_acknowledged(&self) {
        if self.send(WorkerConnections::send).await {
            return;
        }
        loop {
            sleep_until(from_now(RETRY_DELAY)).await;
            if self.send(WorkerConnections::send_on_new_connection).await {
                return;
            }
        }
    }

    /// Sends the cancellation once, and returns whether the worker has acknowledged it.
    ///
    /// Every response except a server error counts as an acknowledgement. This includes the response that the
    /// worker does not know the attempt, because the worker then does not run the attempt.
    async fn send(&self, send: fn(&WorkerConnections, Request<GuardedBody>) -> PendingResponse) -> bool {
        let (address, path) = (self.address.clone(), self.path.clone());
        let Some(request) = build_request(Method::DELETE, address, path, GuardedBody::empty()) else {
            return false;
        };
        let mut pending = send(&self.connections, request);
        let Ok(response) = (&mut pending).await else { return false };
        let is_acknowledged = !response.status().is_server_error();
        // The body is read to its end although its content is ignored. Only then can the connection be
        // reused.
        let _ = timeout_at(from_now(BODY_DRAIN_TIMEOUT), discard_body(response.into_body())).await;
        is_acknowledged
    }
}
