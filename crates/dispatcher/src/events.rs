//! The events that the caller passes to a dispatcher.
use crate::endpoints::{EndpointUpdate, WorkerId};
use crate::outcomes::{LoadReport, Outcome};
use crate::requests::{IncomingRequest, RequestId};
use crate::time::Micros;

/// The outcome of one completed attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptOutcome {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0 in the order of sending.
    pub attempt: u32,
    /// Whether the worker served the attempt, and if not, why not.
    pub outcome: Outcome,
    /// Whether the request has had its final response, with this outcome or earlier.
    pub request_finished: bool,
    /// Time from the sending of the attempt to its completion.
    pub elapsed: Micros,
    /// The load report that the worker sent with the outcome, if any.
    pub report: Option<LoadReport>,
}

/// The progress of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The attempt has started to run.
    Started,
    /// This fraction of the attempt's work is done, from 0 to 1.
    Done(f64),
    /// The response has started to stream to the client, so no other final response may follow.
    Streaming,
}

/// The purpose of a timer, which tells the dispatcher what to do when the timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Refresh the state of all workers, which happens periodically.
    PeriodicRefresh,
    /// Poll discovery, unless the dispatcher is subscribed to the endpoint list when the timer expires.
    DiscoveryPoll,
    /// Check whether a request has started in time, and otherwise hedge the request or move it to another
    /// worker if allowed.
    HedgeCheck(RequestId),
    /// The next load query is due.
    LoadQuery,
}

/// An event that a dispatcher handles.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Discovery sent an endpoint update, or a poll failed.
    Endpoints(EndpointUpdate<'a>),
    /// A client's request arrived; the request must get exactly one final response.
    Request(IncomingRequest),
    /// An attempt ended: the worker responded, or the attempt failed, was cancelled or was given up.
    AttemptCompleted(AttemptOutcome),
    /// An attempt in flight made progress.
    AttemptProgress {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
        /// Whether the attempt started to run, completed a part of its work, or began to stream its response.
        progress: Progress,
    },
    /// The client of a request disconnected, or the final response is overdue.
    ClientDisconnected(RequestId),
    /// A timer that the dispatcher had requested by [`Action::StartTimer`](crate::Action::StartTimer)
    /// expired.
    TimerExpired(Timer),
    /// A load query that the dispatcher had requested by [`Action::QueryLoad`](crate::Action::QueryLoad) was
    /// answered, failed, or was not sent.
    LoadQueryCompleted {
        /// The worker that was queried.
        worker: WorkerId,
        /// Whether the worker answered the load query, and if not, why not.
        outcome: Outcome,
        /// The load report in the answer, if any.
        report: Option<LoadReport>,
    },
}
