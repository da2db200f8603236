//! The door to real servers.
use std::sync::Arc;

use copperspread_dispatcher::{Outcome, Report, WorkerId};
use futures_util::future::BoxFuture;
use tokio::time::Instant;

use crate::messages::{Handed, Order, Wanted};

pub mod http;

/// A workers' protocol. It decides nothing: it never sends an order twice, and says "never ran" only
/// where its protocol proves it.
pub trait Back: Send + Sync + 'static {
    /// Hands a scheduling over, and writes it only while it is wanted. The future is dropped where the flow
    /// no longer waits; what the real server then still has of it is given up by that.
    fn hand_over<'a>(
        &'a self,
        worker: WorkerId,
        order: &'a Order,
        deadline: Instant,
        wanted: &'a Wanted,
    ) -> BoxFuture<'a, Handed>;

    /// Tells a real server that a scheduling it has taken is no longer waited for. Does not wait.
    fn give_up(&self, worker: WorkerId, order: &Order);

    /// Asks a real server for its load: served with a report, or why there is none. A back without probes
    /// sends none.
    fn probe<'a>(&'a self, worker: WorkerId, by: Instant) -> BoxFuture<'a, (Outcome, Option<Report>)> {
        let _ = (worker, by);
        Box::pin(std::future::ready((Outcome::Moot, None)))
    }

    /// A real server's name, for logs and records; empty if there is none of this number.
    fn name(&self, worker: WorkerId) -> Arc<str>;
}
