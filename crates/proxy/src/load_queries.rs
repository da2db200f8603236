//! Carries out the probes that the module asks for.
use std::sync::Arc;

use copperspread_dispatcher::{Micros, Outcome, SECOND};
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::clock::from_now;
use crate::context::Node;

/// A probe that is not answered by then tells that its real server has a queue, as it may wait there like
/// a job. What comes later is old, and is dropped.
const ANSWERED_WITHIN: Micros = SECOND;

/// Carries them out for good. Whatever happens, the module hears of each once: of one that was not sent,
/// that it is moot.
pub async fn carry_out(node: Arc<Node>) {
    let mut under_way = FuturesUnordered::new();
    loop {
        tokio::select! {
            worker = node.decisions.probe() => {
                // Guards against work for real servers whose answer nobody will use.
                if node.ending.begun() {
                    node.decisions.probed(worker, Outcome::Moot, None);
                    continue;
                }
                let probe = node.back.probe(worker, from_now(ANSWERED_WITHIN));
                under_way.push(async move { (worker, probe.await) });
            }
            Some((worker, (outcome, report))) = under_way.next() => {
                node.decisions.probed(worker, outcome, report);
            }
        }
    }
}
