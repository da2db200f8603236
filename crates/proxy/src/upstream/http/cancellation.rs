//! Tells workers that nobody waits for an attempt any longer.
use copperspread_dispatcher::{Micros, SECOND};
use hyper::Method;
use hyper::http::uri::Authority;
use tokio::time::timeout_at;

use crate::clock::from_now;
use crate::upstream::http::connections::WorkerConnections;
use crate::upstream::http::guarded_body::GuardedBody;
use crate::upstream::http::request::{build_request, read_body};

/// A cancellation that has not been answered by then is dropped.
const CANCELLATION_TIMEOUT: Micros = 2 * SECOND;

/// Sends a cancellation in a task that a time-out ends; whatever is answered changes nothing.
pub(super) fn send_cancellation(connections: &WorkerConnections, address: Authority, request_id: &str) {
    let Ok(path) = format!("/jobs/{request_id}").parse() else { return };
    let Some(request) = build_request(Method::DELETE, address, path, GuardedBody::empty()) else { return };
    let response = connections.send(request);
    let deadline = from_now(CANCELLATION_TIMEOUT);
    tokio::spawn(timeout_at(deadline, async move {
        if let Ok(response) = response.await {
            let _ = read_body(response.into_body()).await;
        }
    }));
}
