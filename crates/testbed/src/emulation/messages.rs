//! Messages from workers to schedulers: responses to attempts and load queries, and callbacks.
use crate::model::scheduler_id::SchedulerId;
use copperspread_dispatcher::{LoadReport, Micros, WorkerId};
use tokio::sync::oneshot;

/// A callback for an attempt, ready for delivery.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Callback {
    /// Id of the request to whose attempt the callback belongs.
    pub request: u64,
    /// Worker that sends the callback.
    pub worker: WorkerId,
    /// Scheduler that sent the attempt and receives the callback.
    pub scheduler: SchedulerId,
    /// Reported state of the attempt.
    pub state: CallbackState,
    /// Load report of the worker; `None` unless the callback reports that the job is done or returned.
    pub load: Option<LoadReport>,
    /// Delay of the delivery, in microseconds: the sum of the network's delay and a fault's delay.
    pub delay: Micros,
    /// Whether the callback is sent twice.
    pub is_duplicated: bool,
}

/// State of an attempt that a callback reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallbackState {
    /// The job started to run.
    Started,
    /// The job is running. The value is the fraction of the job's work that is done, from 0 to 1.
    Running(f64),
    /// The job is done.
    Done,
    /// The job was lost when the worker process ended.
    Lost,
    /// The worker returned the job without having started it.
    Returned,
    /// The attempt failed. A dropped duplicate also fails if the attempt that it duplicates is returned or
    /// cancelled.
    Failed,
}

/// A worker's response to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AttemptResponse {
    /// Response 202: the worker accepted the attempt. The response is also sent for a dropped duplicate and
    /// for an attempt that a fault makes fail at once.
    Accepted,
    /// Response 202, in the middle of which a fault resets the connection; the worker accepted the attempt.
    AcceptedThenReset,
    /// Response 503 with the header `x-not-processed`, which guarantees that the worker does not run the job.
    /// The value is the worker's load report, which the response also carries.
    Rejected(LoadReport),
    /// Response 400: no client sent a request with this id.
    UnknownRequest,
    /// No response: the connection is reset.
    Reset,
    /// Bytes that are not HTTP, in place of a response.
    Garbage,
}

/// A worker's response to a load query.
#[derive(Debug)]
pub(crate) enum LoadQueryResponse {
    /// Response 200, with the worker's load report if the query asks for one, after a delay. The value is the
    /// delay, in microseconds.
    AfterDelay(Micros),
    /// The load query waits in the worker's queue like a job. The value is a channel that gets a message when
    /// the worker has finished the query, and that closes without a message if the query is lost.
    Queued(oneshot::Receiver<()>),
    /// Response 503: the worker's process is not up.
    Unavailable,
    /// Response 404: the scenario has no load queries.
    NotFound,
    /// Response 500: a fault makes the load query fail at once.
    Failed,
    /// No response: the connection is reset.
    Reset,
    /// Bytes that are not HTTP, in place of a response.
    Garbage,
}
