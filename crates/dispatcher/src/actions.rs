//! The actions that a dispatcher asks of its caller.
use crate::endpoints::WorkerId;
use crate::events::Timer;
use crate::requests::RequestId;
use crate::time::Micros;

/// What may pass between a decision and its attempt on the wire beyond
/// [`Settings::connect_timeout`](crate::Settings::connect_timeout): half of it before the caller begins to
/// dispatch, half before the connection that is up is written to.
pub const DISPATCH_SLACK: Micros = 50_000;

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Its class is unknown, or no time is left.
    Invalid,
    /// Slots are scarce, and it has too little weight.
    Overloaded,
    /// No worker may have it.
    NoEligibleWorker,
    /// The lowest estimate exceeds the time left, by this much.
    TooLate(Micros),
    /// Its attempts are spent, or its class allows no more.
    AttemptsExhausted,
}

/// What the caller is to do, in order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker, with no time-out but the client's deadline.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// How long from now until it completes there, as estimated.
        estimate: Micros,
    },
    /// Final response: rejected, safe to try again.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait: sooner, it would be rejected once more.
        retry_after: Micros,
        /// Why.
        reason: Rejection,
    },
    /// Final response: failed, nothing promised.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which attempt.
        attempt: u32,
    },
    /// Notify of a timer after a span.
    StartTimer {
        /// How far from now.
        after: Micros,
        /// What it is for.
        timer: Timer,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Query a worker's load; answered by exactly one
    /// [`Event::LoadQueryCompleted`](crate::Event::LoadQueryCompleted).
    QueryLoad {
        /// The worker.
        worker: WorkerId,
    },
}
