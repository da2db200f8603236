//! Sends attempts to workers over HTTP.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use copperspread_dispatcher::{Idempotency, MAX_DISPATCH_DELAY, Micros, Outcome, SECOND};
use copperspread_settings::ProxySettings;
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use hyper::http::uri::Authority;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Error;
use hyper_util::client::legacy::connect::CaptureConnection;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::clock::from_now;
use crate::descriptors::{WorkerConnectionUse, max_dispatches};
use crate::endpoints::EndpointTable;
use crate::messages::{AttemptTarget, DispatchControl, DispatchFailure, DispatchResult, UpstreamRequest};
use crate::upstream::http::connections::{ConnectionUse, PendingResponse, WorkerConnections};
use crate::upstream::http::guarded_body::{GuardedBody, WriteGuard};
use crate::upstream::http::load_report::header_load_report;
use crate::upstream::http::request::{
    build_request, discard_body, failure_outcome, is_retryable_at_any_worker,
};
use crate::upstream::http::tracked_connector::TrackedConnection;

/// How long the body of a worker's response to an attempt is read, in microseconds. The head alone decides
/// the attempt's outcome. If the body has not ended by then, the connection is closed.
const BODY_DRAIN_TIMEOUT: Micros = 100_000;
/// How long after a worker's response to a request the worker may, by mistake, send a second response to that
/// request, in microseconds. Such a response could be taken for the response to the next attempt on the
/// connection (see [`AttemptSender::dispatch_failure`]).
///
/// The value equals the 0.05 s by which the platform's protocol permits a time limit to be exceeded.
const STRAY_RESPONSE_WINDOW: Micros = 50_000;

/// The time reserved for connecting to a worker is the request's remaining time divided by this number, or
/// the connect time-out if that is shorter.
const CONNECT_RESERVE_DIVISOR: u32 = 4;
/// How much later than planned an attempt may still be written, in microseconds (0.05 s). The planned time
/// covers connecting to the worker.
///
/// If an attempt is written late, the time limit that is announced to the worker is longer than the time left
/// until the request's deadline, by up to this value. [`AttemptTiming`] explains why the platform's protocol
/// permits this. The client's time-out is 0.05 s after the deadline, or a quarter of the time-out if the
/// time-out is under 0.2 s.
const WRITE_SLACK: Micros = MAX_DISPATCH_DELAY;
/// How long to wait until the socket of an aborted attempt is closed, in microseconds. The client library
/// (hyper) closes the socket in a separate task.
const CLOSE_TIMEOUT: Micros = SECOND;

/// Sends attempts to workers, and determines from the responses whether the workers have accepted them.
pub(super) struct AttemptSender {
    connections: Arc<WorkerConnections>,
    endpoints: Arc<EndpointTable>,
    /// The permits for sending attempts. Their number is an eighth of the process's file descriptors, but at
    /// least 4. Workers that stop responding therefore cannot take the file descriptors that are needed to
    /// receive workers' callbacks.
    permits: Arc<Semaphore>,
    /// How long connecting to a worker may take.
    connect_timeout: Duration,
    /// How long after an attempt is prepared it may still be written, if the request has an idempotency key.
    ///
    /// An earlier attempt of the request may have run. Workers drop the idempotency key after some time. If
    /// the attempt were written after the key has been dropped, the worker would run the request again.
    key_write_window: Duration,
}

/// An attempt whose request is ready to be sent.
struct PreparedAttempt {
    request: Request<GuardedBody>,
    started_at: Instant,
    /// The instant from which on the attempt must no longer be written.
    write_deadline: Instant,
    is_written: Arc<AtomicBool>,
    /// The permit for sending the attempt. It is held until the body of the worker's response has been read.
    permit: OwnedSemaphorePermit,
}

/// How waiting for the worker's response to an attempt ended.
enum WaitResult {
    Response(Response<Incoming>),
    Failed(Error),
    /// The attempt was not written by its write deadline, so there will be no response.
    NotWritten,
    Aborted,
}

/// The time limits of an attempt: the instant by which it must be written, and the time limit that is
/// announced to the worker.
///
/// The announced time limit is fixed before the scheduler connects to the worker. It is the time left until
/// the request's deadline, minus a reserve for connecting. If connecting takes longer than the reserve and
/// [`WRITE_SLACK`] together, the attempt is not written.
///
/// When the attempt arrives at the worker, the announced limit may be longer than the time left until the
/// client's time-out. The protocol permits an excess of at most 0.15 s. The excess has two parts: one from
/// connecting, described below, and one from delays of the process while it writes the attempt.
///
/// An attempt that is written as late as is allowed is written [`WRITE_SLACK`] (0.05 s) after the reserve has
/// passed. Counted from then, the announced limit ends 0.05 s after the request's deadline. Normally, the
/// client's time-out is also 0.05 s after the deadline, so connecting causes no excess.
///
/// If the client's time-out is under 0.2 s, it is less than 0.05 s after the deadline. Connecting then causes
/// an excess of 0.05 s minus that shorter time, so less than 0.05 s of the permitted 0.15 s.
struct AttemptTiming {
    /// The instant from which on the attempt must no longer be written.
    write_deadline: Instant,
    /// The time limit that is announced to the worker, in milliseconds.
    announced_limit_ms: u128,
}

impl AttemptTiming {
    /// Computes the time limits of an attempt that is prepared at `now`. `deadline` is the request's
    /// deadline.
    fn new(now: Instant, deadline: Instant, connect_timeout: Duration) -> AttemptTiming {
        let time_left = deadline.saturating_duration_since(now);
        let connect_reserve = connect_timeout.min(time_left / CONNECT_RESERVE_DIVISOR);
        AttemptTiming {
            write_deadline: deadline.min(now + connect_reserve + Duration::from_micros(WRITE_SLACK)),
            announced_limit_ms: (time_left - connect_reserve).as_millis(),
        }
    }
}

impl AttemptSender {
    /// Creates a sender of attempts. The maximum number of attempts that are sent at the same time is derived
    /// from `descriptor_limit`, the number of file descriptors that the process may open. An attempt counts
    /// until the worker's response has been read or the sending has failed.
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
            key_write_window: Duration::from_micros(settings.connect_timeout + MAX_DISPATCH_DELAY / 2),
        }
    }

    /// Sends an attempt to a worker. Returns when the worker has accepted the attempt or the attempt has
    /// ended.
    pub(super) async fn send(
        &self,
        target: &AttemptTarget,
        upstream_request: &UpstreamRequest,
        deadline: Instant,
        control: &DispatchControl,
    ) -> DispatchResult {
        let PreparedAttempt { request, started_at, write_deadline, is_written, permit } =
            self.prepare(target, upstream_request, deadline, control)?;
        let idempotency = upstream_request.idempotency;
        let mut pending = self.connections.send_attempt(request, idempotency);
        match wait_for_response(&mut pending, control, write_deadline, &is_written).await {
            WaitResult::Response(response) => {
                self.read_response(response, pending, idempotency, started_at, permit)
            }
            WaitResult::Failed(error) => {
                let outcome = failure_outcome(&error);
                if outcome != Outcome::Superseded {
                    self.connections.record_use(pending.connection(), ConnectionUse::Broken);
                }
                Err(outcome.into())
            }
            WaitResult::NotWritten => Err(Outcome::ConnectFailed.into()),
            WaitResult::Aborted if is_written.load(Ordering::Relaxed) => {
                let connection = TrackedConnection::of(pending.connection());
                // The client library (hyper) closes the connection once the request is dropped.
                drop(pending);
                if let Some(connection) = connection {
                    let _ = timeout_at(from_now(CLOSE_TIMEOUT), connection.wait_until_closed()).await;
                }
                Err(Outcome::Cancelled.into())
            }
            WaitResult::Aborted => Err(Outcome::Superseded.into()),
        }
    }

    /// Returns `Ok` if the response shows that the worker has accepted the attempt, and the failure
    /// otherwise.
    fn read_response(
        &self,
        response: Response<Incoming>,
        mut pending: PendingResponse,
        idempotency: Idempotency,
        started_at: Instant,
        permit: OwnedSemaphorePermit,
    ) -> DispatchResult {
        // Only the response's head decides the outcome. If the body decided too, a body that never ends would
        // delay the request.
        let (head, body) = response.into_parts();
        match response_outcome(head.status, &head.headers) {
            None => {
                self.connections.record_use(pending.connection(), ConnectionUse::Reusable);
                drain_body(body, permit, pending.take_use());
                Ok(())
            }
            Some(outcome) => {
                Err(self.dispatch_failure(pending.connection(), &head, outcome, idempotency, started_at))
            }
        }
    }

    /// Acquires a permit for sending an attempt, and builds the attempt's HTTP request.
    ///
    /// Whether the attempt may be written is checked again by the request's [`GuardedBody`], immediately
    /// before the write.
    fn prepare(
        &self,
        target: &AttemptTarget,
        upstream_request: &UpstreamRequest,
        deadline: Instant,
        control: &DispatchControl,
    ) -> Result<PreparedAttempt, DispatchFailure> {
        // The worker may have been listed as draining or removed since the policy chose the worker. In that
        // case the target has no address, and the attempt is not sent. The [`GuardedBody`] checks the address
        // again before the write.
        let address = target.address.clone().ok_or(Outcome::Superseded)?;
        // The number of attempts that are being sent is limited. Otherwise dozens of workers that stop
        // responding could take the file descriptors that are needed to receive workers' callbacks. An
        // attempt that gets no permit has the same outcome as if the process had no free file descriptor:
        // connecting failed.
        let permit = Arc::clone(&self.permits).try_acquire_owned().map_err(|_| Outcome::ConnectFailed)?;
        let started_at = Instant::now();
        let AttemptTiming { write_deadline, announced_limit_ms } =
            AttemptTiming::new(started_at, deadline, self.connect_timeout);
        // If an earlier attempt has run and the workers have dropped the idempotency key, this attempt would
        // run the request again. The policy retries a request only if the workers will keep the key for
        // longer than `key_write_window`. The attempt must therefore be written within that time.
        let write_deadline = match upstream_request.idempotency {
            Idempotency::IdempotentWithKey { .. } => write_deadline.min(started_at + self.key_write_window),
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
        let request = build_attempt(upstream_request, address, guard, announced_limit_ms);
        let request = request.filter(|_| announced_limit_ms > 0).ok_or(Outcome::Superseded)?;
        Ok(PreparedAttempt { request, started_at, write_deadline, is_written, permit })
    }

    /// Returns the failure of an attempt whose response shows that the worker has not accepted the attempt.
    fn dispatch_failure(
        &self,
        connection: &CaptureConnection,
        head: &Parts,
        outcome: Outcome,
        idempotency: Idempotency,
        started_at: Instant,
    ) -> DispatchFailure {
        let previous_use = self.connections.record_use(connection, ConnectionUse::NotReusable);
        // A worker may by mistake respond twice to one request. The response may then be the second response
        // to the previous request on this connection. In that case, a response by which the worker refuses to
        // run the request does not prove that this attempt never ran.
        let stray_window = Duration::from_micros(STRAY_RESPONSE_WINDOW);
        let is_stray = previous_use.is_some_and(|previous| started_at < previous + stray_window);
        let is_unproven = is_stray && outcome.never_ran() && !is_retryable_at_any_worker(idempotency);
        let outcome = if is_unproven { Outcome::Error } else { outcome };
        DispatchFailure { outcome, load_report: header_load_report(&head.headers) }
    }
}

/// Waits for the worker's response to an attempt. The wait also ends when the attempt is aborted, or when its
/// write deadline passes before it is written.
async fn wait_for_response(
    response: &mut PendingResponse,
    control: &DispatchControl,
    write_deadline: Instant,
    is_written: &AtomicBool,
) -> WaitResult {
    let mut is_past_write_deadline = false;
    loop {
        tokio::select! {
            // The response is checked first: once received, it counts even if the attempt is aborted at the
            // same time.
            biased;
            result = &mut *response => return result.map_or_else(WaitResult::Failed, WaitResult::Response),
            () = control.abort.cancelled() => return WaitResult::Aborted,
            () = sleep_until(write_deadline), if !is_past_write_deadline => {
                is_past_write_deadline = true;
                if !is_written.load(Ordering::Relaxed) {
                    return WaitResult::NotWritten;
                }
            }
        }
    }
}

fn build_attempt(
    upstream_request: &UpstreamRequest,
    address: Authority,
    guard: WriteGuard,
    announced_limit_ms: u128,
) -> Option<Request<GuardedBody>> {
    let body = GuardedBody::new(upstream_request.body.clone(), guard);
    let mut request = build_request(Method::POST, address, upstream_request.path.clone(), body)?;
    *request.headers_mut() = upstream_request.headers.clone();
    // The client's `Content-Length` is removed, because the HTTP client library (hyper) sets this header from
    // the body.
    request.headers_mut().remove(CONTENT_LENGTH);
    if let Ok(value) = format!("{announced_limit_ms}m").parse() {
        request.headers_mut().insert("x-timeout", value);
    }
    Some(request)
}

/// Returns the outcome of an attempt that follows from the worker's response, or `None` if the worker has
/// accepted the attempt.
fn response_outcome(status: StatusCode, headers: &HeaderMap) -> Option<Outcome> {
    let never_ran = headers.get("x-not-processed").is_some_and(|value| value == "1");
    match status {
        StatusCode::ACCEPTED => None,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if never_ran => Some(Outcome::Rejected),
        // Any response other than a 202, or a 503 or 504 with the header `x-not-processed: 1`, leaves open
        // whether the request ran. The outcome is therefore an error.
        _ => Some(Outcome::Error),
    }
}

/// Spawns a task that reads the rest of a response's body, so that the connection can be reused. The task
/// holds `permit` and the use of the connection until it ends, at the latest after [`BODY_DRAIN_TIMEOUT`].
fn drain_body(body: Incoming, permit: OwnedSemaphorePermit, connection_use: Option<WorkerConnectionUse>) {
    if body.is_end_stream() {
        return;
    }
    let drained = timeout_at(from_now(BODY_DRAIN_TIMEOUT), discard_body(body));
    tokio::spawn(async move {
        let _ = drained.await;
        drop((permit, connection_use));
    });
}
