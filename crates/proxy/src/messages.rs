//! The messages that client connections, request tasks and worker protocols exchange: the client's request,
//! the workers' reports on the attempts, and the final response.
//!
//! A request's path and headers have the form of HTTP, because the platform requires that they reach the
//! worker unchanged. A client protocol that has no path or headers leaves these fields empty.
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use copperspread_dispatcher::{
    Idempotency, IncomingRequest, LoadReport, Micros, Outcome, Progress, Rejection, RequestId, WorkerId,
};
use http::HeaderMap;
use http::uri::{Authority, PathAndQuery};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The cancellation tokens with which a request's task ends the dispatch of one attempt early.
///
/// An upstream checks both tokens immediately before it writes the attempt, by
/// [`DispatchControl::permits_write`], which does not block. The upstream must not wait for anything between
/// the check and the write, such as a new connection. Otherwise the attempt could start after the client has
/// disconnected or has received its response.
#[derive(Clone, Debug, Default)]
pub struct DispatchControl {
    /// When this token is cancelled, attempts of the request that have not been written yet are never
    /// written. Attempts that have been written continue. All attempts of a request share this token.
    pub withhold: CancellationToken,
    /// When this token is cancelled, the dispatch of this attempt ends. If the attempt has not been written
    /// yet, it is never written. If it has been written but the worker has not accepted it, its connection is
    /// closed. If the worker has accepted the attempt, the dispatch has already ended, and the token has no
    /// effect.
    pub abort: CancellationToken,
}

impl DispatchControl {
    /// Whether the attempt may still be written: neither [`DispatchControl::withhold`] nor
    /// [`DispatchControl::abort`] has been cancelled.
    pub fn permits_write(&self) -> bool {
        !self.withhold.is_cancelled() && !self.abort.is_cancelled()
    }
}

/// The worker to which an attempt is sent, with the address at which the worker was listed when the attempt
/// began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// The worker to which the attempt is sent.
    pub worker: WorkerId,
    /// The worker's address, or `None` if the worker gets no new attempts.
    pub address: Option<Authority>,
}

/// Whether a worker has acknowledged the cancellation of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancellationOutcome {
    /// The worker has acknowledged the cancellation of an attempt: the attempt no longer runs, or never ran.
    Acknowledged,
    /// The worker did not acknowledge the cancellation of an attempt by the deadline, or the cancellation
    /// could not be sent. The worker may not have received the cancellation.
    Unconfirmed,
}

/// A function that checks whether a request's client has disconnected. Each call reports what the operating
/// system knows at the time of the call. The default reports that the client is connected.
#[derive(Clone, Default)]
pub struct ClientPresence(Option<Arc<dyn Fn() -> bool + Send + Sync>>);

impl ClientPresence {
    /// Creates a value that calls the function `has_disconnected` to check whether the request's client has
    /// disconnected.
    pub fn new(has_disconnected: impl Fn() -> bool + Send + Sync + 'static) -> ClientPresence {
        ClientPresence(Some(Arc::new(has_disconnected)))
    }

    /// Returns whether the request's client has disconnected. This method does not block.
    ///
    /// An upstream calls this method immediately before it writes an attempt, and only if
    /// [`DispatchControl::permits_write`] has returned true.
    pub fn has_disconnected(&self) -> bool {
        self.0.as_ref().is_some_and(|has_disconnected| has_disconnected())
    }
}

impl fmt::Debug for ClientPresence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("ClientPresence").field(&self.0.is_some()).finish()
    }
}

/// The parts of a client's request that an upstream needs to send attempts to workers.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The request id, as the client sent it.
    pub id: String,
    /// The request's path and query, which are forwarded to workers unchanged.
    pub path: PathAndQuery,
    /// The headers of the request that are forwarded to workers.
    pub headers: HeaderMap,
    /// The idempotency of the request's class. It determines whether the request may run more than once. If
    /// only some workers recognize a repeated idempotency key, it also determines at which workers the
    /// request may be retried.
    pub idempotency: Idempotency,
    /// The request's body, which is forwarded to workers. The body of a client's request holds the reservation
    /// of its memory until its last clone is dropped.
    pub body: Bytes,
    /// Checks whether the request's client has disconnected. If the client has disconnected, no attempt is
    /// written.
    pub client: ClientPresence,
}

/// A client's request in the form in which it is passed to its task.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request in the form that the dispatch policy takes.
    pub request: IncomingRequest,
    /// The instant by which the request must get its final response.
    pub deadline: Instant,
    /// The request in the form that is forwarded to workers.
    pub upstream_request: UpstreamRequest,
}

/// The final response to a client's request. Each request has exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The final response to a request that a worker has served. The field holds the worker's result.
    Served(Bytes),
    /// The final response to a request that the dispatch policy rejected. The request never ran and can be
    /// retried safely.
    Rejected {
        /// How long the client should wait before it retries the request, in microseconds.
        retry_after: Micros,
    },
    /// The final response to a request that failed. The request may or may not have run.
    Failed,
    /// The final response to a request whose id another request has, or recently had.
    Duplicate,
}

impl FinalResponse {
    /// Returns the name of the final response in log messages and in the event log. The names are part of the
    /// event log's format.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected { .. } => "refused",
            FinalResponse::Failed => "failed",
            FinalResponse::Duplicate => "repeated",
        }
    }
}

/// The result of sending an attempt to a worker. `Ok` means that the worker has accepted the attempt and will
/// send callbacks. `Err` means that the attempt has ended.
pub type DispatchResult = Result<(), DispatchFailure>;

/// How an attempt ended that its worker did not accept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchFailure {
    /// The outcome of the attempt, which determines whether the request may be retried.
    pub outcome: Outcome,
    /// The load report in the worker's response; `None` without a valid load report.
    pub load_report: Option<LoadReport>,
}

impl From<Outcome> for DispatchFailure {
    fn from(outcome: Outcome) -> DispatchFailure {
        DispatchFailure { outcome, load_report: None }
    }
}

/// The result of a load query to a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadQueryResult {
    /// [`Outcome::Served`] if the worker answered the load query. Otherwise the reason why there is no
    /// answer.
    pub outcome: Outcome,
    /// The load report in the worker's answer; `None` without a valid load report.
    pub load_report: Option<LoadReport>,
}

impl From<Outcome> for LoadQueryResult {
    fn from(outcome: Outcome) -> LoadQueryResult {
        LoadQueryResult { outcome, load_report: None }
    }
}

/// The end of an attempt, with the worker's result and load report if the worker sent them.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptCompletion {
    /// The outcome of the attempt, of which the dispatch policy is notified.
    pub outcome: Outcome,
    /// The worker's result, which is sent to the client if the outcome is [`Outcome::Served`].
    pub result: Option<Bytes>,
    /// The load report that the worker sent at the end of the attempt; `None` without a valid load report.
    pub load_report: Option<LoadReport>,
}

impl From<Outcome> for AttemptCompletion {
    fn from(outcome: Outcome) -> AttemptCompletion {
        AttemptCompletion { outcome, result: None, load_report: None }
    }
}

impl From<DispatchFailure> for AttemptCompletion {
    fn from(DispatchFailure { outcome, load_report }: DispatchFailure) -> AttemptCompletion {
        AttemptCompletion { outcome, result: None, load_report }
    }
}

/// A worker's report on an attempt that it has accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEvent {
    /// The worker reports that the attempt has started or made progress.
    Progress(Progress),
    /// The worker reports that the attempt has ended.
    Completed(AttemptCompletion),
}

/// An event that the task of a request handles.
#[derive(Debug)]
pub enum RequestEvent {
    /// The dispatch policy has decided to send the request's next attempt to a worker.
    Dispatch {
        /// The worker to which the attempt is to be sent.
        worker: WorkerId,
    },
    /// The dispatch policy has rejected the request.
    Reject {
        /// How long the client should wait before it retries the request, in microseconds.
        retry_after: Micros,
        /// Why the dispatch policy has rejected the request.
        reason: Rejection,
    },
    /// The dispatch policy has decided that the request fails. The final response is
    /// [`FinalResponse::Failed`].
    Fail,
    /// The dispatch policy has cancelled an attempt of the request.
    Cancel {
        /// The number of the attempt to cancel. The attempts of a request are numbered from 0.
        attempt: u32,
    },
    /// A worker has reported on an attempt of the request.
    Worker {
        /// The worker that has sent the report.
        worker: WorkerId,
        /// The worker's report: the attempt has made progress or has ended.
        event: WorkerEvent,
    },
    /// The request's client has disconnected.
    ClientDisconnected,
}

/// Parses a request id, which must have exactly 16 hexadecimal digits. Returns `None` for any other text.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_hex).map(RequestId)
}
