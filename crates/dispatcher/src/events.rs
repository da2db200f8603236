//! The events that a dispatcher is notified of.
use crate::endpoints::{EndpointUpdate, WorkerId};
use crate::outcomes::{LoadReport, Outcome};
use crate::requests::{IncomingRequest, RequestId};
use crate::time::Micros;

/// The completion of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// The request.
    pub request: RequestId,
    /// Which attempt, from 0 in order of sending.
    pub attempt: u32,
    /// How it completed.
    pub outcome: Outcome,
    /// The request has its final response, by this outcome or before.
    pub request_finished: bool,
    /// How long ago it was sent.
    pub elapsed: Micros,
    /// The worker's load report, if one came along.
    pub report: Option<LoadReport>,
}

/// The progress of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// It has started to run.
    Started,
    /// This fraction of it is done.
    Done(f64),
    /// Its response has begun to stream to the client, which now owns it.
    Streaming,
}

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// The periodic refresh of all workers.
    PeriodicRefresh,
    /// A poll of discovery is due.
    Subscription,
    /// Whether a request needs a hedge.
    HedgeCheck(RequestId),
    /// The next load query is due.
    LoadQuery,
}

/// What happens to a dispatcher.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Discovery answered or failed.
    Endpoints(EndpointUpdate<'a>),
    /// A client's request came in; it is owed one final response.
    Request(IncomingRequest),
    /// An attempt completed.
    AttemptCompleted(AttemptOutcome),
    /// An attempt in flight has progressed.
    AttemptProgress {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
        /// How far it is.
        progress: Progress,
    },
    /// The client disconnected, or its final response is overdue.
    ClientDisconnected(RequestId),
    /// A timer expired.
    TimerExpired(Timer),
    /// A load query completed.
    LoadQueryCompleted {
        /// The worker queried.
        worker: WorkerId,
        /// How it completed.
        outcome: Outcome,
        /// The load report, if one came along.
        report: Option<LoadReport>,
    },
}
