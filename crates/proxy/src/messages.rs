//! What passes between a front, a flow and a back: the job as the client gave it, what real servers
//! say of it, and the final answer. The forms are HTTP's own message parts, since the platform wants
//! path and headers passed on unchanged; a protocol that has none leaves them empty.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use copperspread_dispatcher::{
    Idempotency, IncomingRequest, LoadReport, Micros, Outcome, Progress, RequestId, WorkerId,
};
use http::HeaderMap;
use http::uri::PathAndQuery;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// Room that a body takes, until the last holder drops it; a small one takes none.
pub type BodyPermit = Option<Arc<OwnedSemaphorePermit>>;

/// What of a client's request passes on to a real server.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The request's id, as the client wrote it.
    pub id: String,
    /// Path and query.
    pub path: PathAndQuery,
    /// The headers that pass on.
    pub headers: HeaderMap,
    /// What may be repeated of the job.
    pub idempotency: Idempotency,
    /// The body.
    pub body: Bytes,
    /// The room that the body takes.
    pub body_permit: BodyPermit,
}

/// A flow's word that its hand-overs are still to be written, which it takes back once for all. A back asks
/// in the step in which it writes. Guards against attempts that begin for a client that has gone, or that has
/// its answer, because their connection came up late.
#[derive(Clone, Debug, Default)]
pub struct DispatchPermission(Arc<AtomicBool>);

impl DispatchPermission {
    /// Takes the word back.
    pub fn revoke(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether it still holds.
    pub fn is_valid(&self) -> bool {
        !self.0.load(Ordering::Relaxed)
    }
}

/// What a flow begins with.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// The job, in the module's form.
    pub request: IncomingRequest,
    /// When the client must have its answer.
    pub deadline: Instant,
    /// What passes on to real servers.
    pub upstream_request: UpstreamRequest,
}

/// The final answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// A real server's result.
    Served(Bytes),
    /// Turned away by the module; harmless to try again.
    Rejected {
        /// After this long.
        retry_after: Micros,
    },
    /// Failed, with nothing promised.
    Failed,
    /// Another flow had this id.
    Duplicate,
}

impl FinalResponse {
    /// What it is, in one word.
    pub fn name(&self) -> &'static str {
        match self {
            FinalResponse::Served(_) => "served",
            FinalResponse::Rejected { .. } => "refused",
            FinalResponse::Failed => "failed",
            FinalResponse::Duplicate => "repeated",
        }
    }
}

/// What became of a hand-over: the real server has the job and will send news of it, or the
/// scheduling has ended already, perhaps with a load report.
pub type DispatchResult = Result<(), (Outcome, Option<LoadReport>)>;

/// What a real server tells of a scheduling that it has taken.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerEvent {
    /// The job runs.
    Progress(Progress),
    /// It ended; a result is there where it was served.
    Ended(Outcome, Option<Bytes>, Option<LoadReport>),
}

/// What reaches a flow from outside its task.
#[derive(Debug)]
pub enum RequestEvent {
    /// The module: send the next scheduling to this real server.
    Send(WorkerId),
    /// The module: the final answer is a refusal, for the client to come back after this long.
    Reject(Micros),
    /// The module: the final answer is a failure.
    Fail,
    /// The module: stop waiting for a scheduling.
    Cancel(u32),
    /// News of a real server.
    Worker(WorkerId, WorkerEvent),
    /// The front: the client has gone.
    ClientDisconnected,
}

/// The id of a flow in its outer form: 16 hex digits.
pub fn parse_request_id(text: &str) -> Option<RequestId> {
    let hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| hex).map(RequestId)
}
