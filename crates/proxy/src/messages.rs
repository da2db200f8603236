//! The messages between a client connection, a request's task and the upstream: the request as the client
//! sent it, what workers report of it, and the final response. The forms are HTTP's own message parts, since
//! the platform wants path and headers forwarded unchanged; a protocol that has none leaves them empty.
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

/// What ends the dispatch of an attempt early. An upstream asks `is_cancelled`, which does not wait, in the step in
/// which it writes: otherwise attempts would begin for a client that has disconnected, or that has its response,
/// because their connection came up late.
#[derive(Clone, Debug, Default)]
pub struct DispatchControl {
    /// Once cancelled, nothing of the attempt is written any more; what has been written goes on. One for all
    /// attempts of a request.
    pub withhold: CancellationToken,
    /// Once cancelled, the attempt is given up: what has not been written is withheld, and a connection on which
    /// the worker has not accepted it yet is closed. The dispatch ends after that.
    pub abort: CancellationToken,
}

impl DispatchControl {
    /// Whether anything of the attempt may still be written.
    pub fn permits_write(&self) -> bool {
        !self.withhold.is_cancelled() && !self.abort.is_cancelled()
    }
}

/// Where an attempt goes: a worker, at the address at which it was listed when the attempt began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptTarget {
    /// The worker.
    pub worker: WorkerId,
    /// Its address; none if it takes no new work.
    pub address: Option<Authority>,
}

/// What is known of a cancellation in the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancellationOutcome {
    /// The worker has acknowledged it: the attempt runs no longer, or never did.
    Acknowledged,
    /// No acknowledgement came in time: the worker may not have heard of it.
    Unconfirmed,
}

/// The part of the memory for bodies that one body holds, until its last holder drops it; a small body holds
/// none.
pub type BodyPermit = Option<Arc<OwnedSemaphorePermit>>;

/// Whether a request's client still waits for its response, by what the system knows at this instant. The default
/// is a client that never leaves.
#[derive(Clone, Default)]
pub struct ClientPresence(Option<Arc<dyn Fn() -> bool + Send + Sync>>);

impl ClientPresence {
    /// The presence of a client of whom a function tells whether it has gone.
    pub fn new(is_gone: impl Fn() -> bool + Send + Sync + 'static) -> ClientPresence {
        ClientPresence(Some(Arc::new(is_gone)))
    }

    /// Whether the client has gone. It does not wait; an upstream asks it in the step in which it writes, after
    /// `CancellationToken::is_cancelled`, and not once that is true.
    pub fn is_gone(&self) -> bool {
        self.0.as_ref().is_some_and(|is_gone| is_gone())
    }
}

impl fmt::Debug for ClientPresence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("ClientPresence").field(&self.0.is_some()).finish()
    }
}

/// What of a client's request is forwarded to a worker.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The request's id, as the client wrote it.
    pub id: String,
    /// Path and query.
    pub path: PathAndQuery,
    /// The headers that are forwarded.
    pub headers: HeaderMap,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// The body.
    pub body: Bytes,
    /// The memory that the body holds.
    pub body_permit: BodyPermit,
    /// No attempt is written once the client has gone.
    pub client: ClientPresence,
}

/// What a request's task starts with.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The request, in the policy's form.
    pub request: IncomingRequest,
    /// When the client must have its final response.
    pub deadline: Instant,
    /// What is forwarded to workers.
    pub upstream_request: UpstreamRequest,
}

/// The final response to a client: each request has exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// A worker's result.
    Served(Bytes),
    /// Rejected by the policy: it never ran, and is safe to try again.
    Rejected {
        /// How long the client should wait before.
        retry_after: Micros,
    },
    /// Failed, with nothing promised.
    Failed,
    /// Another request had this id.
    Duplicate,
}

impl FinalResponse {
    /// Its name in logs and in the event log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected { .. } => "refused",
            FinalResponse::Failed => "failed",
            FinalResponse::Duplicate => "repeated",
        }
    }
}

/// The result of a dispatch: the worker has accepted the request and will send callbacks, or the attempt has
/// ended already.
pub type DispatchResult = Result<(), DispatchFailure>;

/// How an attempt ended that its worker did not accept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DispatchFailure {
    /// What the failure allows.
    pub outcome: Outcome,
    /// The load report that the worker's response brought.
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
    /// Served, or why there is no answer.
    pub outcome: Outcome,
    /// The worker's load report.
    pub load_report: Option<LoadReport>,
}

impl From<Outcome> for LoadQueryResult {
    fn from(outcome: Outcome) -> LoadQueryResult {
        LoadQueryResult { outcome, load_report: None }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptCompletion {
    /// What became of it.
    pub outcome: Outcome,
    /// The result, where it was served.
    pub result: Option<Bytes>,
    /// The worker's load report.
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

/// What a worker reports of an attempt that it has accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEvent {
    /// The request runs.
    Progress(Progress),
    /// The attempt has ended.
    Completed(AttemptCompletion),
}

/// What reaches a request's task from outside.
#[derive(Debug)]
pub enum RequestEvent {
    /// The policy: send the next attempt to this worker.
    Dispatch {
        /// The worker.
        worker: WorkerId,
    },
    /// The policy: the final response is a rejection.
    Reject {
        /// How long the client should wait before it tries again.
        retry_after: Micros,
        /// Why.
        reason: Rejection,
    },
    /// The policy: the final response is a failure.
    Fail,
    /// The policy: stop waiting for an attempt.
    Cancel {
        /// Its number, from 0.
        attempt: u32,
    },
    /// A worker reports.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// Its report.
        event: WorkerEvent,
    },
    /// The client has disconnected.
    ClientDisconnected,
}

/// Parses a request id in its outer form: 16 hex digits.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    let is_hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| is_hex).map(RequestId)
}
