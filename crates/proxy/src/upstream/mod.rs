//! The interface to workers.
use std::sync::Arc;

use copperspread_dispatcher::{Outcome, WorkerId};
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::messages::{CancellationToken, DispatchResult, LoadQueryResult, UpstreamRequest};

pub mod http;

/// A protocol that workers speak. It decides nothing: it never sends a request twice, and reports that an
/// attempt never ran only where its protocol proves it.
pub trait Upstream: Send + Sync + 'static {
    /// Dispatches an attempt; writes it only while it is not cancelled. Dropping the future cancels what the
    /// worker has of it.
    fn dispatch<'a>(
        &'a self,
        worker: WorkerId,
        request: &'a UpstreamRequest,
        deadline: Instant,
        cancellation: &'a CancellationToken,
    ) -> BoxFuture<'a, DispatchResult>;

    /// Tells a worker that nobody waits any longer for an attempt that it has accepted. Does not wait.
    fn cancel(&self, worker: WorkerId, request: &UpstreamRequest);

    /// Asks a worker for its load report. A protocol without load queries sends none.
    fn query_load<'a>(&'a self, worker: WorkerId, deadline: Instant) -> BoxFuture<'a, LoadQueryResult> {
        let _ = (worker, deadline);
        Box::pin(std::future::ready(Outcome::Superseded.into()))
    }

    /// A worker's name, for logs and the event log; empty if there is none of this number.
    fn worker_name(&self, worker: WorkerId) -> Arc<str>;
}
