//! The actions that a dispatcher requests from its caller.
use crate::endpoints::WorkerId;
use crate::events::Timer;
use crate::requests::RequestId;
use crate::time::Micros;

/// Longest time, in microseconds, from the decision to send an attempt until the attempt's request is
/// written, without the time for connecting, which
/// [`Settings::connect_timeout`](crate::Settings::connect_timeout) limits. Half of `MAX_DISPATCH_DELAY` may
/// pass until the caller starts to dispatch the attempt. The other half may pass from the end of connecting
/// until the request is written.
pub const MAX_DISPATCH_DELAY: Micros = 50_000;

/// The reason why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The request cannot be handled, because its class is unknown or because it arrived with no time left
    /// until its deadline.
    Invalid,
    /// The fleet is overloaded, and the request's priority weight is too low for the request to be admitted.
    Overloaded,
    /// No worker is eligible for the request.
    NoEligibleWorker,
    /// The best-ranked worker would probably complete the request too late. The value is the time, in
    /// microseconds, by which the estimate exceeds the time left until the latency objective or the deadline,
    /// whichever comes first.
    WouldBeLate(Micros),
    /// The request has used all its attempts, or no further attempt is allowed because the window of the
    /// request's idempotency key ends too soon.
    AttemptsExhausted,
}

/// An action that the caller must carry out. The actions that a dispatcher returns are to be carried out in
/// the order in which they are returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to a worker, without a timeout other than the request's deadline.
    Send {
        /// The request to send.
        request: RequestId,
        /// The worker that the attempt is sent to.
        worker: WorkerId,
        /// Estimated time from the decision to send the attempt until the attempt completes.
        estimate: Micros,
    },
    /// Give the final response "rejected", after which a retry by the client is safe.
    Reject {
        /// The request to reject.
        request: RequestId,
        /// How long the client should wait before it sends the request again. An earlier retry would probably
        /// be rejected too.
        retry_after: Micros,
        /// Why the request is rejected.
        reason: Rejection,
    },
    /// Give the final response "failed", after which a retry by the client may run the request again.
    Fail {
        /// The request that failed.
        request: RequestId,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Start a timer; when it expires, pass [`Event::TimerExpired`](crate::Event::TimerExpired).
    StartTimer {
        /// Time from now until the timer expires.
        after: Micros,
        /// The purpose of the timer, which the caller passes back when the timer expires.
        timer: Timer,
    },
    /// Poll discovery for the endpoint list and subscribe to its changes. The caller must answer the poll
    /// with exactly one [`Event::Endpoints`](crate::Event::Endpoints).
    Subscribe,
    /// Send a load query to a worker. The caller must answer with exactly one
    /// [`Event::LoadQueryCompleted`](crate::Event::LoadQueryCompleted).
    QueryLoad {
        /// The worker to query.
        worker: WorkerId,
    },
}
