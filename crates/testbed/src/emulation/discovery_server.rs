//! The agents of the worker list, one for each scheduler, and their answers.
use std::rc::Rc;

use copperspread_dispatcher::{Endpoint, EndpointUpdateKind, Micros, WorkerState};
use http_body_util::Full;
use hyper::{Request, Response};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::time::{Duration, sleep_until, timeout_at};

use crate::emulation::environment::{Environment, HttpResponse, serve_connection};
use crate::emulation::scheduler_process::zone_name;
use crate::scenario::micros_from_seconds;

/// Longest hold of a watch, as on the platform.
const MAX_HOLD: Micros = 60_000_000;
/// How long a list that contradicts itself stays before the other one comes, as in virtual time.
pub const CONTRADICTION_INTERVAL: Duration = Duration::from_secs(3);

/// A list in discovery's form. Who is gone is named among changes only.
pub fn endpoint_list_json(
    stage: &Environment,
    kind: EndpointUpdateKind,
    revision: u64,
    entries: &[Endpoint],
) -> Value {
    let complete = kind != EndpointUpdateKind::Changes;
    let named = entries.iter().filter(|entry| !complete || entry.state != WorkerState::Removed);
    let members: Vec<Value> = named
        .map(|entry| {
            let worker = entry.worker.0;
            let phase = match entry.state {
                WorkerState::Ready => "SERVING",
                WorkerState::Draining => "DRAINING",
                WorkerState::Removed => "DELETED",
            };
            json!({
                "id": format!("w-{worker}"), "host_port": stage.worker_address(worker).to_string(),
                "locality": zone_name(entry.zone), "flavor": stage.worker_kind(worker), "cell": entry.cell, "phase": phase,
                "size": 1.0, "up_since_ms": entry.started_at.map_or(0, |at| stage.unix_ms_at(at)),
            })
        })
        .collect();
    json!({"revision": revision, "complete": complete, "members": members})
}

/// One scheduler's agent, on a listener of its own.
pub async fn serve_discovery(stage: Rc<Environment>, scheduler: u32, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let stage = Rc::clone(&stage);
        tokio::task::spawn_local(async move {
            serve_connection(stream, |request| {
                let stage = Rc::clone(&stage);
                async move { answer_poll(&stage, scheduler, &request).await }
            })
            .await;
        });
    }
}

/// A figure of the query.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(known, _)| *known == name).find_map(|(_, value)| value.parse().ok())
}

async fn answer_poll<B>(stage: &Rc<Environment>, scheduler: u32, request: &Request<B>) -> HttpResponse {
    let mut changed = stage.subscribe_to_list();
    let query = request.uri().query().unwrap_or_default();
    let from = query_number(query, "from");
    let hold = query_number(query, "hold_ms").unwrap_or_default().saturating_mul(1_000).min(MAX_HOLD);
    let asked = stage.now();
    // Nothing comes before the first list, and nothing while discovery is down.
    let first = micros_from_seconds(stage.scenario.discovery.first_list_after_s);
    sleep_until(stage.instant_at(first)).await;
    let by = stage.instant_at(asked + hold);
    let (kind, revision, entries) = loop {
        changed.borrow_and_update();
        let (down, revision, news) = {
            let listing = stage.endpoint_list.borrow();
            (listing.outages > 0, listing.revision, listing.changes_since(from))
        };
        if down {
            let _ = changed.changed().await;
            continue;
        }
        if let Some((kind, entries)) = news {
            break (kind, revision, entries);
        }
        if timeout_at(by, changed.changed()).await.is_err() {
            break (EndpointUpdateKind::Changes, revision, Vec::new());
        }
    };
    let body = endpoint_list_json(stage, kind, revision, &entries).to_string();
    stage.record_notification(scheduler, &entries);
    Response::new(Full::from(body))
}
