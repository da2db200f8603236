//! The messages of workers to schedulers: responses to attempts and load queries, and callbacks.
use crate::model::scheduler_id::SchedulerId;
use copperspread_dispatcher::{LoadReport, Micros, WorkerId};
use tokio::sync::oneshot;

/// A callback on an attempt, to be delivered.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Callback {
    /// The request.
    pub request: u64,
    /// The worker that calls back.
    pub worker: WorkerId,
    /// The scheduler that is called.
    pub scheduler: SchedulerId,
    /// What it reports.
    pub state: CallbackState,
    /// The worker's load, with a callback that ends the attempt.
    pub load: Option<LoadReport>,
    /// How long it takes: the network's delay and a fault's.
    pub delay: Micros,
    /// Whether it is sent twice.
    pub is_duplicated: bool,
}

/// What a callback reports of its attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallbackState {
    /// The job began to run.
    Started,
    /// This share of it is done.
    Running(f64),
    /// It is done.
    Done,
    /// It was lost with the process.
    Lost,
    /// It is returned without having started.
    Returned,
    /// It failed; so does a duplicate whose first attempt came to nothing.
    Failed,
}

/// A worker's response to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AttemptResponse {
    /// 202.
    Accepted,
    /// 202, of which half is written before the connection is reset.
    AcceptedThenReset,
    /// 503, with the header that promises that the job never runs here.
    Rejected(LoadReport),
    /// 400: no client sent this request.
    UnknownRequest,
    /// The connection is reset.
    Reset,
    /// Bytes that are no HTTP.
    Garbage,
}

/// A worker's response to a load query.
#[derive(Debug)]
pub(crate) enum LoadQueryResponse {
    /// 200 with its load, after so long.
    AfterDelay(Micros),
    /// It waits in the queue; the channel ends without a message when it was lost there.
    Queued(oneshot::Receiver<()>),
    /// 503.
    Unavailable,
    /// 404: workers have no load queries here.
    NotFound,
    /// 500.
    Failed,
    /// The connection is reset.
    Reset,
    /// Bytes that are no HTTP.
    Garbage,
}
