//! The interface of worker protocols.
use std::sync::Arc;

use copperspread_dispatcher::{Outcome, WorkerId};
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::messages::{
    AttemptTarget, CancellationOutcome, DispatchControl, DispatchResult, LoadQueryResult, UpstreamRequest,
};

pub mod http;

/// A worker protocol. An implementation never retries a request by itself, and reports that an attempt never
/// ran only if the protocol proves it.
pub trait Upstream: Send + Sync + 'static {
    /// The target of an attempt that begins now at this worker.
    fn target(&self, worker: WorkerId) -> AttemptTarget;

    /// Dispatches an attempt, which is written only if `control` permits it. An aborted attempt ends as
    /// superseded if it was not written. An aborted attempt that was written ends as cancelled after its
    /// connection has been closed.
    fn dispatch<'a>(
        &'a self,
        target: &'a AttemptTarget,
        request: &'a UpstreamRequest,
        deadline: Instant,
        control: &'a DispatchControl,
    ) -> BoxFuture<'a, DispatchResult>;

    /// Sends the cancellation of an attempt to its worker, and returns whether the worker has acknowledged it
    /// by the deadline. The cancellation continues if the future is dropped.
    fn cancel(
        &self,
        target: &AttemptTarget,
        request: &UpstreamRequest,
        deadline: Instant,
    ) -> BoxFuture<'static, CancellationOutcome>;

    /// Sends a load query to a worker and waits for the answer until the deadline. The default
    /// implementation, for protocols without load queries, sends nothing and returns [`Outcome::Superseded`].
    fn query_load<'a>(&'a self, worker: WorkerId, deadline: Instant) -> BoxFuture<'a, LoadQueryResult> {
        let _ = (worker, deadline);
        Box::pin(std::future::ready(Outcome::Superseded.into()))
    }

    /// The name of a worker for log messages and the event log, or an empty string if the id is unknown.
    fn worker_name(&self, worker: WorkerId) -> Arc<str>;
}
