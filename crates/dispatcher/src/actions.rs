//! The actions that a dispatcher asks its caller to carry out, such as sending an attempt to a worker.
use crate::endpoints::WorkerId;
use crate::events::Timer;
use crate::requests::RequestId;
use crate::time::Micros;

/// Longest time, in microseconds, from the decision to send an attempt until the attempt's request has been
/// written to the worker. The time for connecting to the worker is not included;
/// [`Settings::connect_timeout`](crate::Settings::connect_timeout) limits that time.
///
/// Up to half of `MAX_DISPATCH_DELAY` may pass before the caller starts to dispatch the attempt. Up to the
/// other half may pass between the end of connecting and the end of writing.
pub const MAX_DISPATCH_DELAY: Micros = 50_000;

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The request cannot be handled: its class is unknown, or no time was left until its deadline when it
    /// arrived.
    Invalid,
    /// The fleet is overloaded, and the request's priority weight is too low for the request to be admitted.
    Overloaded,
    /// No worker can be selected for the request. Each worker is either not eligible for the request, or is
    /// warming up and may not be sent the work of the request yet.
    NoEligibleWorker,
    /// The worker that ranks best for the request would probably complete it too late. The value says how
    /// late, in microseconds after the latency objective or the deadline, whichever comes first.
    WouldBeLate(Micros),
    /// The request may have no further attempt. It has used the maximum number of attempts, or another
    /// attempt could reach a worker too late. Workers drop duplicates only within the window of the request's
    /// idempotency key, which the request class sets; see [`Idempotency`](crate::Idempotency).
    AttemptsExhausted,
}

/// An action that a dispatcher asks its caller to carry out. The caller must carry out actions in the order
/// in which the dispatcher returns them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker. The attempt has no timeout of its own; only the request's
    /// deadline limits the attempt.
    Send {
        /// The request to send.
        request: RequestId,
        /// The worker that the attempt is sent to.
        worker: WorkerId,
        /// Estimated time from the decision to send the attempt until the attempt completes.
        estimate: Micros,
    },
    /// Give the client the final response "rejected". A retry by the client is safe.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// How long the client should wait before it sends the request again. An earlier retry would probably
        /// be rejected too.
        retry_after: Micros,
        /// Why the request is rejected.
        reason: Rejection,
    },
    /// Give the client the final response "failed". A retry by the client may run the request a second time.
    Fail {
        /// The request that failed.
        request: RequestId,
    },
    /// Cancel an attempt that is in flight at a worker.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Start a timer. When the timer expires, the caller must pass
    /// [`Event::TimerExpired`](crate::Event::TimerExpired) to the dispatcher.
    StartTimer {
        /// Time from now until the timer expires.
        after: Micros,
        /// The purpose of the timer, which the caller passes back when the timer expires.
        timer: Timer,
    },
    /// Poll discovery for the endpoint list and subscribe to changes of the list. The caller must answer the
    /// poll with exactly one [`Event::Endpoints`](crate::Event::Endpoints).
    Subscribe,
    /// Send a load query to a worker. The caller must answer the query with exactly one
    /// [`Event::LoadQueryCompleted`](crate::Event::LoadQueryCompleted).
    QueryLoad {
        /// The worker to query.
        worker: WorkerId,
    },
}
