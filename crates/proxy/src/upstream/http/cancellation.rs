//! Sends cancellations of attempts to workers.
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError, Weak};

use copperspread_dispatcher::Micros;
use futures_util::future::BoxFuture;
use hyper::http::uri::{Authority, PathAndQuery};
use hyper::{Method, Request};
use hyper_util::client::legacy::ResponseFuture;
use tokio::sync::{Semaphore, oneshot};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::clock::from_now;
use crate::messages::{AttemptTarget, CancellationOutcome};
use crate::upstream::http::connections::WorkerConnections;
use crate::upstream::http::guarded_body::GuardedBody;
use crate::upstream::http::limits::{max_cancellations, max_idle_per_worker};
use crate::upstream::http::request::{build_request, read_body};

/// How long the body of a response is read, whose content is ignored. After this time the connection is
/// closed.
const BODY_DRAIN_TIMEOUT: Micros = 100_000;
/// The delay before a cancellation that was not acknowledged is sent again.
const RETRY_DELAY: Micros = 20_000;

/// Sends cancellations, with a limit on those in flight in total and for each worker.
pub(super) struct CancellationSender {
    connections: Arc<WorkerConnections>,
    /// Limits the cancellations in flight to all workers.
    permits: Arc<Semaphore>,
    /// Limits the cancellations in flight to each worker's address, so that a worker that answers none does
    /// not delay the others. Addresses without a cancellation in flight are removed.
    permits_by_address: Mutex<HashMap<Authority, Weak<Semaphore>>>,
    max_per_worker: usize,
}

impl CancellationSender {
    /// Creates a sender whose limits fit a process with `descriptor_limit` file descriptors.
    pub(super) fn new(connections: Arc<WorkerConnections>, descriptor_limit: usize) -> CancellationSender {
        CancellationSender {
            connections,
            permits: Arc::new(Semaphore::new(max_cancellations(descriptor_limit))),
            permits_by_address: Mutex::default(),
            max_per_worker: max_idle_per_worker(descriptor_limit),
        }
    }

    /// The semaphore that limits the cancellations in flight to one worker's address.
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

    /// Spawns a task that sends the cancellation of an attempt until the deadline, and waits for its outcome.
    /// Nothing is sent to a target without an address, and the outcome is then unconfirmed.
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

/// A cancellation that is being sent to a worker.
struct Cancellation {
    connections: Arc<WorkerConnections>,
    address: Authority,
    path: PathAndQuery,
}

impl Cancellation {
    /// Sends the cancellation until the worker acknowledges it. The first try may use a pooled connection,
    /// which may have broken unnoticed; later tries use new connections.
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

    /// Sends the cancellation once, and returns whether the worker has acknowledged it. Every response except
    /// a server error counts as an acknowledgement. This includes a response that the attempt is unknown, since
    /// the worker then does not run it.
    async fn send(&self, send: fn(&WorkerConnections, Request<GuardedBody>) -> ResponseFuture) -> bool {
        let (address, path) = (self.address.clone(), self.path.clone());
        let Some(request) = build_request(Method::DELETE, address, path, GuardedBody::empty()) else {
            return false;
        };
        let Ok(response) = send(&self.connections, request).await else { return false };
        let is_acknowledged = !response.status().is_server_error();
        // The connection can be reused only after the body has been read.
        let _ = timeout_at(from_now(BODY_DRAIN_TIMEOUT), read_body(response.into_body())).await;
        is_acknowledged
    }
}
