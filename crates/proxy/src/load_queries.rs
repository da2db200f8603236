//! Sends load queries to workers when the dispatch policy requests them.
use std::sync::Arc;

use copperspread_dispatcher::{Micros, Outcome, SECOND};
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::clock::from_now;
use crate::context::ProxyContext;

/// How long to wait for a worker's answer to a load query, in microseconds. A worker may queue a load query
/// like a request, so a time-out shows that the worker has a queue. A later answer would be out of date, and
/// is ignored.
const LOAD_QUERY_TIMEOUT: Micros = SECOND;

/// Sends the load queries that the dispatch policy requests, until the runtime shuts down.
///
/// The policy is notified of the result of each load query exactly once. If a load query was not sent, for
/// example during a shutdown, the result is [`Outcome::Superseded`].
pub async fn run(context: Arc<ProxyContext>) {
    let mut in_flight = FuturesUnordered::new();
    loop {
        tokio::select! {
            worker = context.policy.next_load_query() => {
                // During a shutdown, no load query is sent, because the answer would not be used.
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
