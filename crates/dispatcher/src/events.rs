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
    /// Whether the request now has its final response, through this attempt or earlier.
    pub request_finished: bool,
    /// Time from the sending of the attempt to its completion.
    pub elapsed: Micros,
    /// The load report that the worker sent with the outcome of the attempt, if any.
    pub report: Option<LoadReport>,
}

/// The progress of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// The worker has started to run the attempt.
    Started,
    /// The worker has done this fraction of the attempt's work, from 0 to 1.
    Done(f64),
    /// The attempt's response has started to stream to the client, so the request may get no other final
    /// response.
    Streaming,
}

/// The purpose of a timer, which tells the dispatcher what to do when the timer expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Timer {
    /// Update the failure rates and service rates that the dispatcher has learned for all workers. This
    /// happens periodically.
    PeriodicRefresh,
    /// Poll discovery, unless the dispatcher is subscribed to the endpoint list when the timer expires.
    DiscoveryPoll,
    /// Check whether the request with this id has started to run in time. If not, the dispatcher hedges the
    /// request or moves it to another worker, if that is allowed.
    HedgeCheck(RequestId),
    /// Send the next load query, which is due when the timer expires.
    LoadQuery,
}

/// An event that the caller passes to a dispatcher.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// Discovery sent an endpoint update, or a poll of discovery failed.
    Endpoints(EndpointUpdate<'a>),
    /// A client's request arrived; the request must get exactly one final response.
    Request(IncomingRequest),
    /// An attempt ended: the worker responded, or the attempt failed, was cancelled, or was given up before
    /// it was sent.
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
    /// The client of the request with this id disconnected, or the request's final response is overdue.
    ClientDisconnected(RequestId),
    /// A timer expired that the dispatcher had requested by
    /// [`Action::StartTimer`](crate::Action::StartTimer).
    TimerExpired(Timer),
    /// A load query that the dispatcher had requested by [`Action::QueryLoad`](crate::Action::QueryLoad) was
    /// answered, failed, or was not sent.
    LoadQueryCompleted {
        /// The worker that was queried.
        worker: WorkerId,
        /// Whether the worker answered the load query, and if not, why not.
        outcome: Outcome,
        /// The load report that the worker sent in answer to the load query, if any.
        report: Option<LoadReport>,
    },
}
