//! Messages from workers to schedulers: responses to attempts and load queries, and callbacks.
use crate::model::scheduler_id::SchedulerId;
use copperspread_dispatcher::{LoadReport, Micros, WorkerId};
use tokio::sync::oneshot;

/// A callback, which is a message that tells a scheduler the state of an attempt at a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Callback {
    /// Id of the client's request for which the attempt was made.
    pub request: u64,
    /// Worker that sends the callback.
    pub worker: WorkerId,
    /// Scheduler that sent the attempt and receives the callback.
    pub scheduler: SchedulerId,
    /// The state of the attempt that the callback reports.
    pub state: CallbackState,
    /// Load report of the worker. `None` unless the callback reports that the job is done, or that the worker
    /// gave the job back without starting it ([`CallbackState::Returned`]).
    pub load: Option<LoadReport>,
    /// Time that passes before the callback is sent, in microseconds: the network's delay plus the delay that
    /// a fault adds.
    pub delay: Micros,
    /// Whether a fault makes the worker send the callback twice.
    pub is_duplicated: bool,
}

/// State of an attempt that a callback reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallbackState {
    /// The worker started to run the job of the attempt.
    Started,
    /// The worker is running the job of the attempt. The value is the fraction of the job's work that is
    /// done, from 0 to 1.
    Running(f64),
    /// The worker has finished the job of the attempt.
    Done,
    /// The job of the attempt was lost when the worker process ended.
    Lost,
    /// The worker returned the job of the attempt without having started the job.
    Returned,
    /// The attempt failed, for one of two reasons. The first reason is a fault that makes the attempt fail at
    /// once.
    ///
    /// The second reason concerns only an attempt that the worker dropped as a duplicate. Such an attempt
    /// waits for the result of an earlier attempt with the same idempotency key. The duplicate fails if the
    /// earlier attempt is cancelled, or is returned to its scheduler without having been started.
    Failed,
}

/// A worker's HTTP response to an attempt.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum AttemptResponse {
    /// Response 202: the worker accepted the attempt. The worker also sends 202 for an attempt that it drops
    /// as a duplicate, and for an attempt that a fault makes fail at once.
    Accepted,
    /// The worker accepted the attempt, but a fault resets the connection in the middle of response 202.
    AcceptedThenReset,
    /// Response 503: the worker rejected the attempt. The header `x-not-processed` guarantees that the worker
    /// does not run the job. The value is the worker's load report, which is sent with the response.
    Rejected(LoadReport),
    /// Response 400: the attempt has a request id that no client sent.
    UnknownRequest,
    /// No response is sent to the attempt, and the connection is reset.
    Reset,
    /// Bytes that are not HTTP are sent in place of a response to the attempt.
    Garbage,
}

/// A worker's response to a load query, with which a scheduler asks for the worker's load or health.
#[derive(Debug)]
pub(crate) enum LoadQueryResponse {
    /// Response 200 after a delay. The value is the delay, in microseconds. The response has the worker's
    /// load report if the load query asks for the report.
    AfterDelay(Micros),
    /// The load query waits in the worker's queue like a job, and the worker responds when it has finished
    /// the query. The value is a channel that then gets a message. If the query is lost, the channel closes
    /// without a message.
    Queued(oneshot::Receiver<()>),
    /// Response 503: the worker's process is not up, or the worker does not take the load query into its
    /// queue.
    Unavailable,
    /// Response 404: the scenario has no load queries.
    NotFound,
    /// Response 500: a fault makes the load query fail at once.
    Failed,
    /// No response is sent to the load query, and the connection is reset.
    Reset,
    /// Bytes that are not HTTP are sent in place of a response to the load query.
    Garbage,
}
