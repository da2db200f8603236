//! Sends the load queries that the policy asks for.
use std::sync::Arc;

use copperspread_dispatcher::{Micros, Outcome, SECOND};
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::clock::from_now;
use crate::context::ProxyContext;

/// A load query that is not answered by then shows that its worker has a queue, as it may wait there like a
/// request. A later answer is stale, and is dropped.
const LOAD_QUERY_TIMEOUT: Micros = SECOND;

/// Sends load queries until the runtime stops. The policy is notified exactly once of each one's end; one that
/// was not sent is superseded.
pub async fn run(context: Arc<ProxyContext>) {
    let mut in_flight = FuturesUnordered::new();
    loop {
        tokio::select! {
            worker = context.policy.next_load_query() => {
                // During a shutdown nobody will use the answer.
                if context.shutdown.is_started() {
                    context.policy.load_query_ended(worker, Outcome::Superseded.into());
                    continue;
                }
                let query = context.upstream.query_load(worker, from_now(LOAD_QUERY_TIMEOUT));
                in_flight.push(async move { (worker, query.await) });
            }
            Some((worker, result)) = in_flight.next() => context.policy.load_query_ended(worker, result),
        }
    }
}
