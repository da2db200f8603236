//! The interface through which the proxy uses a worker protocol to send attempts, cancellations and load
//! queries.
use std::sync::Arc;

use copperspread_dispatcher::{Outcome, WorkerId};
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::messages::{
    AttemptTarget, CancellationOutcome, DispatchControl, DispatchResult, LoadQueryResult, UpstreamRequest,
};

pub mod http;

/// A protocol for communication with workers. An implementation never retries a request by itself. It reports
/// that an attempt never ran only if the protocol makes this certain, for example because no connection was
/// established.
pub trait Upstream: Send + Sync + 'static {
    /// The target of an attempt: the worker with the id `worker` and the address at which it is listed at the
    /// time of the call.
    fn target(&self, worker: WorkerId) -> AttemptTarget;

    /// Dispatches an attempt, which is written only if `control` permits the write. If the attempt is aborted
    /// before it is written, the dispatch returns [`Outcome::Superseded`]. If it is aborted after it was
    /// written, its connection is closed, and the dispatch then returns [`Outcome::Cancelled`].
    fn dispatch<'a>(
        &'a self,
        target: &'a AttemptTarget,
        request: &'a UpstreamRequest,
        deadline: Instant,
        control: &'a DispatchControl,
    ) -> BoxFuture<'a, DispatchResult>;

    /// Sends the cancellation of an attempt to its worker, and returns whether the worker has acknowledged
    /// the cancellation by the deadline. Dropping the returned future does not end the cancellation.
    fn cancel(
        &self,
        target: &AttemptTarget,
        request: &UpstreamRequest,
        deadline: Instant,
    ) -> BoxFuture<'static, CancellationOutcome>;

    /// Sends a load query to a worker, and waits for the answer until the deadline. The default
    /// implementation is for protocols without load queries: it sends nothing and returns
    /// [`Outcome::Superseded`].
    fn query_load<'a>(&'a self, worker: WorkerId, deadline: Instant) -> BoxFuture<'a, LoadQueryResult> {
        let _ = (worker, deadline);
        Box::pin(std::future::ready(Outcome::Superseded.into()))
    }

    /// The name of a worker for log messages and the event log, or an empty string if the id is unknown.
    fn worker_name(&self, worker: WorkerId) -> Arc<str>;
}
