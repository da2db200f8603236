//! The worker side of the proxy: the trait [`Upstream`], through which attempts, cancellations and load
//! queries are sent, and its implementation for HTTP/1.1.
use std::sync::Arc;

use copperspread_dispatcher::{Outcome, WorkerId};
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::messages::{
    AttemptTarget, CancellationOutcome, DispatchControl, DispatchResult, LoadQueryResult, UpstreamRequest,
};

pub mod http;

/// A protocol for communication with workers.
///
/// An implementation never retries a request by itself. It reports that an attempt never ran only if this is
/// certain, for example because no connection was established.
pub trait Upstream: Send + Sync + 'static {
    /// Returns the target of an attempt at a worker: the worker's id, and the address at which the worker is
    /// listed now.
    fn target(&self, worker: WorkerId) -> AttemptTarget;

    /// Sends an attempt to a worker, if `control` permits this at the time of the write.
    ///
    /// If the attempt is aborted before it is written, the outcome is [`Outcome::Superseded`]. If the attempt
    /// is aborted after it was written, its connection is closed and the outcome is [`Outcome::Cancelled`].
    fn dispatch<'a>(
        &'a self,
        target: &'a AttemptTarget,
        request: &'a UpstreamRequest,
        deadline: Instant,
        control: &'a DispatchControl,
    ) -> BoxFuture<'a, DispatchResult>;

    /// Sends the cancellation of an attempt to its worker. Returns whether the worker has acknowledged the
    /// cancellation by the deadline. The cancellation continues if the returned future is dropped.
    fn cancel(
        &self,
        target: &AttemptTarget,
        request: &UpstreamRequest,
        deadline: Instant,
    ) -> BoxFuture<'static, CancellationOutcome>;

    /// Sends a load query to a worker, and waits for the answer until `deadline`.
    ///
    /// The default implementation is for protocols without load queries. It sends nothing and returns
    /// [`Outcome::Superseded`], the outcome of a load query that was given up before it was sent.
    fn query_load<'a>(&'a self, worker: WorkerId, deadline: Instant) -> BoxFuture<'a, LoadQueryResult> {
        let _ = (worker, deadline);
        Box::pin(std::future::ready(Outcome::Superseded.into()))
    }

    /// Returns the name of a worker for log messages, or an empty string if the worker's id is unknown.
    fn worker_name(&self, worker: WorkerId) -> Arc<str>;
}
