//! What passes between a front, a flow and a back: the job as the client gave it, what real servers
//! say of it, and the final answer. The forms are HTTP's own message parts, since the platform wants
//! path and headers passed on unchanged; a protocol that has none leaves them empty.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use copperspread_dispatcher::{Effect, Job, Micros, Outcome, Progress, Report, RequestId, WorkerId};
use http::HeaderMap;
use http::uri::PathAndQuery;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;

/// Room that a body takes, until the last holder drops it; a small one takes none.
pub type Room = Option<Arc<OwnedSemaphorePermit>>;

/// What of a client's request passes on to a real server.
#[derive(Clone, Debug)]
pub struct Order {
    /// The request's id, as the client wrote it.
    pub id: String,
    /// Path and query.
    pub path: PathAndQuery,
    /// The headers that pass on.
    pub headers: HeaderMap,
    /// What may be repeated of the job.
    pub effect: Effect,
    /// The body.
    pub body: Bytes,
    /// The room that the body takes.
    pub room: Room,
}

/// A flow's word that its hand-overs are still to be written, which it takes back once for all. A back asks
/// in the step in which it writes. Guards against attempts that begin for a client that has gone, or that has
/// its answer, because their connection came up late.
#[derive(Clone, Debug, Default)]
pub struct Wanted(Arc<AtomicBool>);

impl Wanted {
    /// Takes the word back.
    pub fn take_back(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Whether it still holds.
    pub fn holds(&self) -> bool {
        !self.0.load(Ordering::Relaxed)
    }
}

/// What a flow begins with.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The job, in the module's form.
    pub job: Job,
    /// When the client must have its answer.
    pub deadline: Instant,
    /// What passes on to real servers.
    pub order: Order,
}

/// The final answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A real server's result.
    Served(Bytes),
    /// Turned away by the module; harmless to try again.
    Refused {
        /// After this long.
        retry_after: Micros,
    },
    /// Failed, with nothing promised.
    Failed,
    /// Another flow had this id.
    Repeated,
}

impl Answer {
    /// What it is, in one word.
    pub fn word(&self) -> &'static str {
        match self {
            Answer::Served(_) => "served",
            Answer::Refused { .. } => "refused",
            Answer::Failed => "failed",
            Answer::Repeated => "repeated",
        }
    }
}

/// What became of a hand-over: the real server has the job and will send news of it, or the
/// scheduling has ended already, perhaps with a load report.
pub type Handed = Result<(), (Outcome, Option<Report>)>;

/// What a real server tells of a scheduling that it has taken.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// The job runs.
    Progress(Progress),
    /// It ended; a result is there where it was served.
    Ended(Outcome, Option<Bytes>, Option<Report>),
}

/// What reaches a flow from outside its task.
#[derive(Debug)]
pub enum Mail {
    /// The module: send the next scheduling to this real server.
    Send(WorkerId),
    /// The module: the final answer is a refusal, for the client to come back after this long.
    Refuse(Micros),
    /// The module: the final answer is a failure.
    Fail,
    /// The module: stop waiting for a scheduling.
    Cancel(u32),
    /// News of a real server.
    News(WorkerId, News),
    /// The front: the client has gone.
    Gone,
}

/// The id of a flow in its outer form: 16 hex digits.
pub fn request_id(text: &str) -> Option<RequestId> {
    let hex = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| hex).map(RequestId)
}
