//! The interface to workers.
use std::sync::Arc;

use copperspread_dispatcher::{Outcome, WorkerId};
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::messages::{
    AttemptTarget, CancellationOutcome, DispatchControl, DispatchResult, LoadQueryResult, UpstreamRequest,
};

pub mod http;

/// A protocol that workers speak. It decides nothing: it never sends a request twice, and reports that an
/// attempt never ran only where its protocol proves it.
pub trait Upstream: Send + Sync + 'static {
    /// Where an attempt at a worker goes now.
    fn target(&self, worker: WorkerId) -> AttemptTarget;

    /// Dispatches an attempt; writes it only while its control permits. An attempt that is aborted ends as
    /// superseded if it was never written, or else as cancelled, once its connection has been closed.
    fn dispatch<'a>(
        &'a self,
        target: &'a AttemptTarget,
        request: &'a UpstreamRequest,
        deadline: Instant,
        control: &'a DispatchControl,
    ) -> BoxFuture<'a, DispatchResult>;

    /// Tells the worker of an attempt that nobody waits for it any longer, and says whether the worker has
    /// acknowledged that by the deadline. The cancellation goes on also if the future is dropped.
    fn cancel(
        &self,
        target: &AttemptTarget,
        request: &UpstreamRequest,
        deadline: Instant,
    ) -> BoxFuture<'static, CancellationOutcome>;

    /// Asks a worker for its load report. A protocol without load queries sends none.
    fn query_load<'a>(&'a self, worker: WorkerId, deadline: Instant) -> BoxFuture<'a, LoadQueryResult> {
        let _ = (worker, deadline);
        Box::pin(std::future::ready(Outcome::Superseded.into()))
    }

    /// A worker's name, for logs and the event log; empty if there is none of this number.
    fn worker_name(&self, worker: WorkerId) -> Arc<str>;
}
