//! Sends attempts to workers.
use std::sync::Arc;
use std::time::Duration;

use copperspread_dispatcher::{DISPATCH_SLACK, Idempotency, Micros, Outcome, WorkerId};
use copperspread_settings::ProxySettings;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::http::uri::Authority;
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, timeout_at};

use crate::clock::from_now;
use crate::endpoints::EndpointTable;
use crate::messages::{CancellationToken, DispatchFailure, DispatchResult, UpstreamRequest};
use crate::upstream::http::connections::{ConnectionUse, WorkerConnections};
use crate::upstream::http::guarded_body::{GuardedBody, WriteGuard};
use crate::upstream::http::limits::max_dispatches;
use crate::upstream::http::load_report::header_load_report;
use crate::upstream::http::request::{build_request, failure_outcome, may_run_anywhere, read_body};

/// The body of a response whose head has decided the outcome is read for so long, then its connection closes.
const BODY_DRAIN_TIMEOUT: Micros = 100_000;
/// A second response to a request may follow the first by so much: the protocol's slack on time limits.
const STRAY_RESPONSE_WINDOW: Micros = 50_000;

/// Sends attempts and reads what their responses mean.
pub(super) struct AttemptSender {
    connections: Arc<WorkerConnections>,
    endpoints: Arc<EndpointTable>,
    /// One for each dispatch in progress: an eighth of the descriptors.
    permits: Arc<Semaphore>,
    /// An attempt of a request with an idempotency key, which may have run before, is written within this, or
    /// not at all.
    keyed_write_window: Duration,
}

/// An attempt whose request is ready to be sent.
struct PreparedAttempt {
    request: Request<GuardedBody>,
    started_at: Instant,
    /// Held until the response's body has been read.
    permit: OwnedSemaphorePermit,
}

impl AttemptSender {
    /// Sends over these connections, for a process of so many descriptors.
    pub(super) fn new(
        connections: Arc<WorkerConnections>,
        endpoints: Arc<EndpointTable>,
        settings: &ProxySettings,
        descriptor_limit: usize,
    ) -> AttemptSender {
        AttemptSender {
            connections,
            endpoints,
            permits: Arc::new(Semaphore::new(max_dispatches(descriptor_limit))),
            keyed_write_window: Duration::from_micros(settings.connect_timeout + DISPATCH_SLACK / 2),
        }
    }

    /// Sends an attempt; returns once the worker has accepted it, or how it ended.
    pub(super) async fn send(
        &self,
        worker: WorkerId,
        upstream_request: &UpstreamRequest,
        deadline: Instant,
        cancellation: &CancellationToken,
    ) -> DispatchResult {
        let PreparedAttempt { mut request, started_at, permit } =
            self.prepare(worker, upstream_request, deadline, cancellation)?;
        let connection = capture_connection(&mut request);
        let response = match self.connections.send_attempt(request, upstream_request.idempotency).await {
            Ok(response) => response,
            Err(error) => {
                let outcome = failure_outcome(&error);
                if outcome != Outcome::Superseded {
                    self.connections.record_use(&connection, ConnectionUse::Broken);
                }
                return Err(outcome.into());
            }
        };
        // The head decides: a body that never ends must not delay a request whose outcome is known.
        let (head, body) = response.into_parts();
        match response_outcome(head.status, &head.headers) {
            None => {
                self.connections.record_use(&connection, ConnectionUse::Reusable);
                drain_body(body, permit);
                Ok(())
            }
            Some(outcome) => {
                let idempotency = upstream_request.idempotency;
                Err(self.unaccepted(&connection, &head, outcome, idempotency, started_at))
            }
        }
    }

    /// Takes a permit and builds the request, with its last checks in its body.
    fn prepare(
        &self,
        worker: WorkerId,
        upstream_request: &UpstreamRequest,
        deadline: Instant,
        cancellation: &CancellationToken,
    ) -> Result<PreparedAttempt, DispatchFailure> {
        // After the policy's decision discovery may have announced that the worker drains or is removed: then
        // it gets no new work. The body checks again as it is written.
        let address = self.endpoints.serving_address(worker).ok_or(Outcome::Superseded)?;
        // Workers that fall silent by the dozen must not hold the descriptors that callbacks need. The outcome
        // is as where no descriptor is left: no connection comes up.
        let permit = Arc::clone(&self.permits).try_acquire_owned().map_err(|_| Outcome::ConnectFailed)?;
        let started_at = Instant::now();
        let millis_left = deadline.saturating_duration_since(started_at).as_millis();
        // A repeat must not be written after the workers have forgotten its key: the policy has left this much
        // of the key's window.
        let write_deadline = match upstream_request.idempotency {
            Idempotency::IdempotentWithKey { .. } => deadline.min(started_at + self.keyed_write_window),
            _ => deadline,
        };
        let guard = WriteGuard {
            cancellation: cancellation.clone(),
            endpoints: Arc::clone(&self.endpoints),
            worker,
            address: address.clone(),
            write_deadline,
        };
        let request = build_attempt(upstream_request, address, guard, millis_left);
        let request = request.filter(|_| millis_left > 0).ok_or(Outcome::Superseded)?;
        Ok(PreparedAttempt { request, started_at, permit })
    }

    /// How an attempt ended whose response does not accept it.
    fn unaccepted(
        &self,
        connection: &CaptureConnection,
        head: &Parts,
        outcome: Outcome,
        idempotency: Idempotency,
        started_at: Instant,
    ) -> DispatchFailure {
        let previous_use = self.connections.record_use(connection, ConnectionUse::NotReusable);
        // The response may be the last request's second one, which is no ground for a second run.
        let stray_window = Duration::from_micros(STRAY_RESPONSE_WINDOW);
        let is_stray = previous_use.is_some_and(|previous| started_at < previous + stray_window);
        let is_doubtful = is_stray && outcome.never_ran() && !may_run_anywhere(idempotency);
        let outcome = if is_doubtful { Outcome::Error } else { outcome };
        DispatchFailure { outcome, load_report: header_load_report(&head.headers) }
    }
}

fn build_attempt(
    upstream_request: &UpstreamRequest,
    address: Authority,
    guard: WriteGuard,
    millis_left: u128,
) -> Option<Request<GuardedBody>> {
    let body = GuardedBody::new(upstream_request.body.clone(), guard);
    let mut request = build_request(Method::POST, address, upstream_request.path.clone(), body)?;
    *request.headers_mut() = upstream_request.headers.clone();
    // The body gives its length.
    request.headers_mut().remove(CONTENT_LENGTH);
    if let Ok(value) = format!("{millis_left}m").parse() {
        request.headers_mut().insert("x-timeout", value);
    }
    Some(request)
}

/// What a response to an attempt means; `None` is that the worker has accepted it.
fn response_outcome(status: StatusCode, headers: &HeaderMap) -> Option<Outcome> {
    let never_ran = headers.get("x-not-processed").is_some_and(|value| value == "1");
    match status {
        StatusCode::ACCEPTED => None,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Some(Outcome::Rejected),
        // Any other response leaves open whether it ran.
        _ => Some(Outcome::Error),
    }
}

/// Reads a body to its end, so that its connection can carry the next request, in a task that a time-out ends.
/// Until then it holds its permit.
fn drain_body(body: Incoming, permit: OwnedSemaphorePermit) {
    if body.is_end_stream() {
        return;
    }
    let drained = timeout_at(from_now(BODY_DRAIN_TIMEOUT), read_body(body));
    tokio::spawn(async move {
        let _ = drained.await;
        drop(permit);
    });
}
