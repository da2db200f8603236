//! The messages that client connections, request tasks and upstreams exchange: the client's request, workers'
//! reports on its attempts, and the final response.
//!
//! A request's path and headers have the form of HTTP, because the platform requires that they are forwarded
//! to workers unchanged. A client protocol without a path or headers leaves the corresponding fields empty.
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use copperspread_dispatcher::{
    Idempotency, IncomingRequest, LoadReport, Micros, Outcome, Progress, Rejection, RequestId, WorkerId,
};
use http::HeaderMap;
use http::uri::{Authority, PathAndQuery};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// The cancellation tokens that end the dispatch of an attempt early.
///
/// An upstream checks `is_cancelled` of both tokens, which does not block, immediately before it writes the
/// attempt. If it waited for anything between the check and the write, such as a new connection, the attempt
/// could start after the client has disconnected or has received its response.
#[derive(Clone, Debug, Default)]
pub struct DispatchControl {
    /// When this token is cancelled, attempts of the request that have not been written yet are never
    /// written; attempts that have been written continue. All attempts of a request share this token.
    pub withhold: CancellationToken,
    /// When this token is cancelled, the dispatch of the attempt ends. An attempt that has not been written
    /// yet is never written. The connection of a written attempt is closed unless the worker has accepted the
    /// attempt.
    pub abort: CancellationToken,
}

impl DispatchControl {
    /// Whether the attempt may still be written.
    pub fn permits_write(&self) -> bool {
        !self.withhold.is_cancelled() && !self.abort.is_cancelled()
    }
}

/// The target of an attempt: a worker, and its listed address at the time the attempt began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// The worker that the attempt is sent to.
    pub worker: WorkerId,
    /// The worker's address, or `None` if the worker accepts no new attempts.
    pub address: Option<Authority>,
}

/// The outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancellationOutcome {
    /// The worker has acknowledged the cancellation: the attempt no longer runs, or never ran.
    Acknowledged,
    /// No acknowledgement was received by the deadline, or the cancellation could not be sent: the worker may
    /// not have received it.
    Unconfirmed,
}

/// The permit for the memory that a request's body occupies, out of the memory reserved for request bodies.
/// The memory is released when the last clone is dropped. A small body has no permit (`None`).
pub type BodyPermit = Option<Arc<OwnedSemaphorePermit>>;

/// A check whether a request's client is still connected, according to the operating system at the time of
/// the check. The default check reports the client as connected.
#[derive(Clone, Default)]
pub struct ClientPresence(Option<Arc<dyn Fn() -> bool + Send + Sync>>);

impl ClientPresence {
    /// Creates a check from a function that returns whether the client has disconnected.
    pub fn new(has_disconnected: impl Fn() -> bool + Send + Sync + 'static) -> ClientPresence {
        ClientPresence(Some(Arc::new(has_disconnected)))
    }

    /// Whether the client has disconnected. This method does not block.
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

/// The parts of a client's request that an upstream needs for its attempts.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The request id, as the client sent it.
    pub id: String,
    /// The path and query of the request, which are forwarded to workers unchanged.
    pub path: PathAndQuery,
    /// The request's headers that are forwarded to workers.
    pub headers: HeaderMap,
    /// The idempotency of the request's class. It determines whether, and at which workers, the request may
    /// run more than once.
    pub idempotency: Idempotency,
    /// The request's body, which is forwarded to workers.
    pub body: Bytes,
    /// The permit for the memory that the body occupies; `None` for a small body.
    pub body_permit: BodyPermit,
    /// The check whether the client has disconnected. If the client has disconnected, no attempt is written.
    pub client: ClientPresence,
}

/// A client's request as it is passed to its task.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request as the dispatch policy sees it.
    pub request: IncomingRequest,
    /// When the client must have received its final response.
    pub deadline: Instant,
    /// The request as it is forwarded to workers.
    pub upstream_request: UpstreamRequest,
}

/// The final response to a client: each request has exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The request was served. The field holds the worker's result.
    Served(Bytes),
    /// The policy rejected the request, which never ran and can be retried safely.
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Micros,
    },
    /// The request failed. It may or may not have run.
    Failed,
    /// Another request has, or recently had, the same id.
    Duplicate,
}

impl FinalResponse {
    /// The response's name in log messages and in the event log. The names are part of the event log's
    /// format.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected { .. } => "refused",
            FinalResponse::Failed => "failed",
            FinalResponse::Duplicate => "repeated",
        }
    }
}

/// The result of a dispatch: either the worker has accepted the attempt and will send callbacks, or the
/// attempt has ended.
pub type DispatchResult = Result<(), DispatchFailure>;

/// The end of an attempt that its worker did not accept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchFailure {
    /// How the attempt ended. The outcome determines whether the request may be retried.
    pub outcome: Outcome,
    /// The load report in the worker's response, or `None` if there is no valid one.
    pub load_report: Option<LoadReport>,
}

impl From<Outcome> for DispatchFailure {
    fn from(outcome: Outcome) -> DispatchFailure {
        DispatchFailure { outcome, load_report: None }
    }
}

/// The result of a load query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadQueryResult {
    /// [`Outcome::Served`] if the worker answered the load query, or else the kind of failure.
    pub outcome: Outcome,
    /// The worker's load report, or `None` if there is no valid one.
    pub load_report: Option<LoadReport>,
}

impl From<Outcome> for LoadQueryResult {
    fn from(outcome: Outcome) -> LoadQueryResult {
        LoadQueryResult { outcome, load_report: None }
    }
}

/// The end of an attempt: its outcome and, if the worker sent them, the worker's result and load report.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptCompletion {
    /// How the attempt ended. The dispatch policy is notified of this outcome.
    pub outcome: Outcome,
    /// The worker's result, if the outcome is [`Outcome::Served`].
    pub result: Option<Bytes>,
    /// The worker's load report, or `None` if there is no valid one.
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
    /// The attempt has started or made progress.
    Progress(Progress),
    /// The attempt has ended.
    Completed(AttemptCompletion),
}

/// An event for a request's task.
#[derive(Debug)]
pub enum RequestEvent {
    /// The policy has decided to send the request's next attempt to a worker.
    Dispatch {
        /// The worker to send the attempt to.
        worker: WorkerId,
    },
    /// The policy has rejected the request.
    Reject {
        /// How long the client should wait before it retries.
        retry_after: Micros,
        /// Why the policy has rejected the request.
        reason: Rejection,
    },
    /// The policy has decided that the request's final response is "failed".
    Fail,
    /// The policy has cancelled an attempt.
    Cancel {
        /// The attempt to cancel, as its number among the attempts of the request, counted from 0.
        attempt: u32,
    },
    /// A worker has reported on an attempt.
    Worker {
        /// The worker that has sent the report.
        worker: WorkerId,
        /// The worker's report: progress or completion of the attempt.
        event: WorkerEvent,
    },
    /// The client has disconnected.
    ClientDisconnected,
}

/// Parses a request id, which consists of 16 hexadecimal digits.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_hex).map(RequestId)
}
