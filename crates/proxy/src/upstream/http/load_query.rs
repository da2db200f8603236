//! Sends load queries to workers over HTTP.
use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::{Micros, Outcome, SECOND, WorkerId};
use hyper::http::response::Parts;
use hyper::http::uri::PathAndQuery;
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Error;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::descriptors::{DescriptorBudget, max_load_queries};
use crate::endpoints::EndpointTable;
use crate::memory::MemoryBudget;
use crate::messages::LoadQueryResult;
use crate::upstream::http::connections::{ConnectionUse, PendingResponse, WorkerConnections};
use crate::upstream::http::guarded_body::GuardedBody;
use crate::upstream::http::load_report::parse_load_response;
use crate::upstream::http::request::{build_request, failure_outcome, read_body_or_empty};

/// The path at each worker to which load queries are sent.
const LOAD_QUERY_PATH: &str = "/-/load";
/// How long after the deadline of a load query its response is still read, in microseconds.
///
/// If the response were not read, the connection would be closed. This would happen to each load query that
/// waits long in a worker's queue, and the next request to this worker would need a new connection.
const LATE_RESPONSE_WINDOW: Micros = 4 * SECOND;

/// Sends load queries, at most one at a time to each worker.
pub(super) struct LoadQuerySender {
    connections: Arc<WorkerConnections>,
    endpoints: Arc<EndpointTable>,
    descriptors: Arc<DescriptorBudget>,
    /// The workers that have a load query in flight.
    queried_workers: Arc<Mutex<HashSet<WorkerId>>>,
    max_load_queries: usize,
}

/// A permit for one load query to a worker. The next load query to this worker may be sent when the permit is
/// dropped.
struct LoadQueryPermit {
    queried_workers: Arc<Mutex<HashSet<WorkerId>>>,
    worker: WorkerId,
}

impl Drop for LoadQueryPermit {
    fn drop(&mut self) {
        self.queried_workers.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.worker);
    }
}

impl LoadQuerySender {
    /// Creates a sender of load queries. The maximum number of load queries in flight is derived from the
    /// number of file descriptors that the process may open.
    pub(super) fn new(
        connections: Arc<WorkerConnections>,
        endpoints: Arc<EndpointTable>,
        descriptors: Arc<DescriptorBudget>,
    ) -> LoadQuerySender {
        LoadQuerySender {
            connections,
            endpoints,
            queried_workers: Arc::default(),
            max_load_queries: max_load_queries(descriptors.limit()),
            descriptors,
        }
    }

    /// Sends a load query to a worker, and waits for the answer until `deadline`.
    ///
    /// Nothing is sent if the worker is not listed as serving, if the worker already has a load query in
    /// flight, if too many load queries are in flight, or if the load query would need a new connection while
    /// few file descriptors are left. The outcome is then [`Outcome::Superseded`].
    pub(super) async fn send(&self, worker: WorkerId, deadline: Instant) -> LoadQueryResult {
        let Some(permit) = self.try_acquire(worker) else { return Outcome::Superseded.into() };
        let Some(request) = self.build_query(worker) else { return Outcome::Superseded.into() };
        let pending = self.connections.send(request);
        let connection = pending.connection().clone();
        let memory = Arc::clone(self.descriptors.memory());
        let response = spawn_query(pending, permit, memory, deadline);
        match timeout_at(deadline, response).await {
            Err(_) | Ok(Err(_)) => Outcome::TimedOut.into(),
            Ok(Ok(Err(error))) => {
                self.connections.record_use(&connection, ConnectionUse::Broken);
                failure_outcome(&error).into()
            }
            Ok(Ok(Ok((head, body)))) => {
                let (connection_use, outcome) = if head.status == StatusCode::OK {
                    (ConnectionUse::Reusable, Outcome::Served)
                } else {
                    (ConnectionUse::NotReusable, Outcome::Error)
                };
                self.connections.record_use(&connection, connection_use);
                LoadQueryResult { outcome, load_report: parse_load_response(&head.headers, &body) }
            }
        }
    }

    /// Returns a permit for a load query to a worker. Returns `None` if too many load queries are in flight,
    /// or if the worker already has one in flight. If a worker could have several in flight, load queries
    /// could pile up at a worker that does not answer.
    fn try_acquire(&self, worker: WorkerId) -> Option<LoadQueryPermit> {
        let mut queried_workers = self.queried_workers.lock().unwrap_or_else(PoisonError::into_inner);
        let is_permitted = queried_workers.len() < self.max_load_queries && queried_workers.insert(worker);
        is_permitted.then(|| LoadQueryPermit { queried_workers: Arc::clone(&self.queried_workers), worker })
    }

    fn build_query(&self, worker: WorkerId) -> Option<Request<GuardedBody>> {
        let address = self.endpoints.serving_address(worker)?;
        if !self.descriptors.permits_load_query(&address) {
            return None;
        }
        let path = PathAndQuery::from_static(LOAD_QUERY_PATH);
        build_request(Method::GET, address, path, GuardedBody::empty())
    }
}

/// Spawns a task that sends a load query and reads the response. The task ends at the latest
/// [`LATE_RESPONSE_WINDOW`] after `deadline`.
fn spawn_query(
    mut pending: PendingResponse,
    permit: LoadQueryPermit,
    memory: Arc<MemoryBudget>,
    deadline: Instant,
) -> oneshot::Receiver<Result<(Parts, Bytes), Error>> {
    let (sender, receiver) = oneshot::channel();
    let late_deadline = deadline + Duration::from_micros(LATE_RESPONSE_WINDOW);
    tokio::spawn(timeout_at(late_deadline, async move {
        let _permit = permit;
        let read = async {
            let (head, body) = (&mut pending).await?.into_parts();
            Ok((head, read_body_or_empty(body, &memory).await))
        };
        let _ = sender.send(read.await);
    }));
    receiver
}
