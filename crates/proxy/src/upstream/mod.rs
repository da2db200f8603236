//! The door to real servers.
use std::sync::Arc;

use copperspread_dispatcher::{LoadReport, Outcome, WorkerId};
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::messages::{DispatchPermission, DispatchResult, UpstreamRequest};

pub mod http;

/// A workers' protocol. It decides nothing: it never sends an order twice, and says "never ran" only
/// where its protocol proves it.
pub trait Upstream: Send + Sync + 'static {
    /// Hands a scheduling over, and writes it only while it is wanted. The future is dropped where the flow
    /// no longer waits; what the real server then still has of it is given up by that.
    fn dispatch<'a>(
        &'a self,
        worker: WorkerId,
        order: &'a UpstreamRequest,
        deadline: Instant,
        wanted: &'a DispatchPermission,
    ) -> BoxFuture<'a, DispatchResult>;

    /// Tells a real server that a scheduling it has taken is no longer waited for. Does not wait.
    fn cancel(&self, worker: WorkerId, order: &UpstreamRequest);

    /// Asks a real server for its load: served with a report, or why there is none. A back without probes
    /// sends none.
    fn query_load<'a>(
        &'a self,
        worker: WorkerId,
        by: Instant,
    ) -> BoxFuture<'a, (Outcome, Option<LoadReport>)> {
        let _ = (worker, by);
        Box::pin(std::future::ready((Outcome::Superseded, None)))
    }

    /// A real server's name, for logs and records; empty if there is none of this number.
    fn worker_name(&self, worker: WorkerId) -> Arc<str>;
}
