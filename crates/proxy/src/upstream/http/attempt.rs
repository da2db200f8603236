//! Sends attempts to workers.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use copperspread_dispatcher::{DISPATCH_SLACK, Idempotency, Micros, Outcome, SECOND};
use copperspread_settings::ProxySettings;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::http::uri::Authority;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::connect::{CaptureConnection, capture_connection};
use hyper_util::client::legacy::{Error, ResponseFuture};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::clock::from_now;
use crate::endpoints::EndpointTable;
use crate::messages::{AttemptTarget, DispatchControl, DispatchFailure, DispatchResult, UpstreamRequest};
use crate::upstream::http::connections::{ConnectionUse, WorkerConnections, wait_until_closed};
use crate::upstream::http::guarded_body::{GuardedBody, WriteGuard};
use crate::upstream::http::limits::max_dispatches;
use crate::upstream::http::load_report::header_load_report;
use crate::upstream::http::request::{build_request, failure_outcome, may_run_anywhere, read_body};

/// The body of a response whose head has decided the outcome is read for so long, then its connection closes.
const BODY_DRAIN_TIMEOUT: Micros = 100_000;
/// A second response to a request may follow the first by so much: the protocol's slack on time limits.
const STRAY_RESPONSE_WINDOW: Micros = 50_000;

/// The connect timeout is kept back from an attempt's time, but no more than this fraction of it.
const MAX_CONNECT_FRACTION: u32 = 4;
/// An attempt may be written this much later than the time kept back for its connection allows.
const WRITE_SLACK: Micros = DISPATCH_SLACK;
/// The socket of a connection that is given up has been closed by then: a task of the client library has to run.
const CLOSE_TIMEOUT: Micros = SECOND;

/// Sends attempts and reads what their responses mean.
pub(super) struct AttemptSender {
    connections: Arc<WorkerConnections>,
    endpoints: Arc<EndpointTable>,
    /// One for each dispatch in progress: an eighth of the descriptors.
    permits: Arc<Semaphore>,
    /// How long a connection may take to come up.
    connect_timeout: Duration,
    /// An attempt of a request with an idempotency key, which may have run before, is written within this, or
    /// not at all.
    keyed_write_window: Duration,
}

/// An attempt whose request is ready to be sent.
struct PreparedAttempt {
    request: Request<GuardedBody>,
    started_at: Instant,
    /// From here on it is not written any more.
    write_deadline: Instant,
    is_written: Arc<AtomicBool>,
    /// Held until the response's body has been read.
    permit: OwnedSemaphorePermit,
}

/// What came of the wait for a response.
enum Exchange {
    Response(Response<Incoming>),
    Failed(Error),
    /// The attempt was not written in time.
    NotWritten,
    Aborted,
}

/// When an attempt of a request is written at the latest, and what it tells its worker. The figure is fixed before
/// there is a connection, and may be at most 0.15 s above the time that the client has left when it arrives. So the
/// time for a connection is kept back, and an attempt that has waited for longer is not written. The 0.15 s stay for
/// a process that is held up as it writes: [`WRITE_SLACK`] is what the client waits beyond the request's deadline.
struct AttemptTiming {
    /// From here on it is not written any more.
    write_deadline: Instant,
    /// How long the worker may take, in milliseconds.
    told_millis: u128,
}

impl AttemptTiming {
    /// The timing of an attempt that is prepared now, for a request's deadline.
    fn new(now: Instant, deadline: Instant, connect_timeout: Duration) -> AttemptTiming {
        let time_left = deadline.saturating_duration_since(now);
        let kept_back = connect_timeout.min(time_left / MAX_CONNECT_FRACTION);
        AttemptTiming {
            write_deadline: deadline.min(now + kept_back + Duration::from_micros(WRITE_SLACK)),
            told_millis: (time_left - kept_back).as_millis(),
        }
    }
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
            connect_timeout: Duration::from_micros(settings.connect_timeout),
            keyed_write_window: Duration::from_micros(settings.connect_timeout + DISPATCH_SLACK / 2),
        }
    }

    /// Sends an attempt; returns once the worker has accepted it, or how it ended.
    pub(super) async fn send(
        &self,
        target: &AttemptTarget,
        upstream_request: &UpstreamRequest,
        deadline: Instant,
        control: &DispatchControl,
    ) -> DispatchResult {
        let PreparedAttempt { mut request, started_at, write_deadline, is_written, permit } =
            self.prepare(target, upstream_request, deadline, control)?;
        let connection = capture_connection(&mut request);
        let response = self.connections.send_attempt(request, upstream_request.idempotency);
        match exchange(response, control, write_deadline, &is_written).await {
            Exchange::Response(response) => {
                self.read_response(response, &connection, upstream_request.idempotency, started_at, permit)
            }
            Exchange::Failed(error) => {
                let outcome = failure_outcome(&error);
                if outcome != Outcome::Superseded {
                    self.connections.record_use(&connection, ConnectionUse::Broken);
                }
                Err(outcome.into())
            }
            Exchange::NotWritten => Err(Outcome::ConnectFailed.into()),
            Exchange::Aborted if is_written.load(Ordering::Relaxed) => {
                let _ = timeout_at(from_now(CLOSE_TIMEOUT), wait_until_closed(&connection)).await;
                Err(Outcome::Cancelled.into())
            }
            Exchange::Aborted => Err(Outcome::Superseded.into()),
        }
    }

    /// Reads what a response says of its attempt.
    fn read_response(
        &self,
        response: Response<Incoming>,
        connection: &CaptureConnection,
        idempotency: Idempotency,
        started_at: Instant,
        permit: OwnedSemaphorePermit,
    ) -> DispatchResult {
        // The head decides: a body that never ends must not delay a request whose outcome is known.
        let (head, body) = response.into_parts();
        match response_outcome(head.status, &head.headers) {
            None => {
                self.connections.record_use(connection, ConnectionUse::Reusable);
                drain_body(body, permit);
                Ok(())
            }
            Some(outcome) => Err(self.unaccepted(connection, &head, outcome, idempotency, started_at)),
        }
    }

    /// Takes a permit and builds the request, with its last checks in its body.
    fn prepare(
        &self,
        target: &AttemptTarget,
        upstream_request: &UpstreamRequest,
        deadline: Instant,
        control: &DispatchControl,
    ) -> Result<PreparedAttempt, DispatchFailure> {
        // After the policy's decision discovery may have announced that the worker drains or is removed: then
        // it gets no new work. The body checks again as it is written.
        let address = target.address.clone().ok_or(Outcome::Superseded)?;
        // Workers that fall silent by the dozen must not hold the descriptors that callbacks need. The outcome
        // is as where no descriptor is left: no connection comes up.
        let permit = Arc::clone(&self.permits).try_acquire_owned().map_err(|_| Outcome::ConnectFailed)?;
        let started_at = Instant::now();
        let AttemptTiming { write_deadline, told_millis } =
            AttemptTiming::new(started_at, deadline, self.connect_timeout);
        // A repeat must not be written after the workers have forgotten its key: the policy has left this much
        // of the key's window.
        let write_deadline = match upstream_request.idempotency {
            Idempotency::IdempotentWithKey { .. } => write_deadline.min(started_at + self.keyed_write_window),
            _ => write_deadline,
        };
        let is_written = Arc::new(AtomicBool::new(false));
        let guard = WriteGuard {
            control: control.clone(),
            client: upstream_request.client.clone(),
            endpoints: Arc::clone(&self.endpoints),
            worker: target.worker,
            address: address.clone(),
            write_deadline,
            is_written: Arc::clone(&is_written),
        };
        let request = build_attempt(upstream_request, address, guard, told_millis);
        let request = request.filter(|_| told_millis > 0).ok_or(Outcome::Superseded)?;
        Ok(PreparedAttempt { request, started_at, write_deadline, is_written, permit })
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

/// Waits for an attempt's response, for as long as its control and the deadline for writing it allow.
async fn exchange(
    mut response: ResponseFuture,
    control: &DispatchControl,
    write_deadline: Instant,
    is_written: &AtomicBool,
) -> Exchange {
    let mut is_past_write_deadline = false;
    loop {
        tokio::select! {
            // A response that has come counts, whatever else has happened.
            biased;
            result = &mut response => return result.map_or_else(Exchange::Failed, Exchange::Response),
            () = control.abort.cancelled() => return Exchange::Aborted,
            () = sleep_until(write_deadline), if !is_past_write_deadline => {
                is_past_write_deadline = true;
                if !is_written.load(Ordering::Relaxed) {
                    return Exchange::NotWritten;
                }
            }
        }
    }
}

fn build_attempt(
    upstream_request: &UpstreamRequest,
    address: Authority,
    guard: WriteGuard,
    told_millis: u128,
) -> Option<Request<GuardedBody>> {
    let body = GuardedBody::new(upstream_request.body.clone(), guard);
    let mut request = build_request(Method::POST, address, upstream_request.path.clone(), body)?;
    *request.headers_mut() = upstream_request.headers.clone();
    // The body gives its length.
    request.headers_mut().remove(CONTENT_LENGTH);
    if let Ok(value) = format!("{told_millis}m").parse() {
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
