//! Carries out the probes that the module asks for.
use std::sync::Arc;

use copperspread_dispatcher::{Micros, Outcome, SECOND};
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::clock::from_now;
use crate::context::ProxyContext;

/// A probe that is not answered by then tells that its real server has a queue, as it may wait there like
/// a job. What comes later is old, and is dropped.
const ANSWERED_WITHIN: Micros = SECOND;

/// Carries them out for good. Whatever happens, the module hears of each once: of one that was not sent,
/// that it is moot.
pub async fn carry_out(node: Arc<ProxyContext>) {
    let mut under_way = FuturesUnordered::new();
    loop {
        tokio::select! {
            worker = node.policy.next_load_query() => {
                // Guards against work for real servers whose answer nobody will use.
                if node.shutdown.has_begun() {
                    node.policy.load_query_ended(worker, Outcome::Superseded, None);
                    continue;
                }
                let probe = node.upstream.query_load(worker, from_now(ANSWERED_WITHIN));
                under_way.push(async move { (worker, probe.await) });
            }
            Some((worker, (outcome, report))) = under_way.next() => {
                node.policy.load_query_ended(worker, outcome, report);
            }
        }
    }
}
