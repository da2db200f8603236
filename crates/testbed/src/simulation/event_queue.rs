//! The events of the simulation, and the queue in which they wait. The queue is ordered by time. Events of
//! equal time are in the order in which they were scheduled.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::Arc;

use copperspread_dispatcher::{
    Endpoint, EndpointUpdateKind, LoadReport, Micros, Outcome as AttemptResult, RequestId, Timer, WorkerId,
};

use super::requests::{AttemptId, ClientJobId, LoadQueryId};
use crate::model::arrivals::Arrival;
use crate::model::fleet::FaultTransition;
use crate::model::scheduler_id::SchedulerId;

/// An event of the simulation. Examples are the arrival of a message, the end of a wait, and a change at a
/// worker, a scheduler or discovery.
pub(super) enum SimulationEvent {
    /// A client sends the first request for a new job.
    ClientArrived(Arrival),
    /// A client retries a rejected request.
    RetryDue(ClientJobId),
    /// A client's request reaches its scheduler.
    RequestArrived(RequestId),
    /// The scheduler's deadline for a request passes.
    DeadlinePassed(RequestId),
    /// The final response to a request reaches the client.
    ResponseArrived { request: RequestId, response: FinalResponse },
    /// The client's deadline and grace period for a request have passed, with or without a response.
    ClientWaitEnded(RequestId),
    /// An attempt reaches its worker.
    AttemptArrived(AttemptId),
    /// A callback reaches the scheduler. The callback reports that a worker has started the job of an
    /// attempt.
    AttemptStarted(AttemptId),
    /// A worker reports the progress of a running attempt to the scheduler.
    ProgressDue(AttemptId),
    /// The result of an attempt reaches the scheduler.
    AttemptCompleted { attempt: AttemptId, result: AttemptResult },
    /// The cancellation of an attempt reaches the worker.
    CancellationArrived(AttemptId),
    /// A worker's running jobs must be advanced to the current time. `wake_version` is the number
    /// `Worker::wake_version` at the time when the event was scheduled. The worker increments this number
    /// when its running jobs or their speed change. The event is then ignored.
    WorkerWake { worker: WorkerId, wake_version: u64 },
    /// A timer of a scheduler process expires. The event is ignored if that process has ended.
    TimerExpired { scheduler: SchedulerId, process_number: u32, timer: Timer },
    /// An endpoint update reaches a scheduler.
    EndpointsDelivered { scheduler: SchedulerId, kind: EndpointUpdateKind, endpoints: Arc<Vec<Endpoint>> },
    /// A fault starts or ends.
    FaultChanged(FaultTransition),
    /// Discovery publishes the stale or the current endpoint list. Both alternate during a
    /// `discovery_contradicts` fault.
    AlternateListDue { is_stale: bool },
    /// Discovery refreshes the sizes of the workers in the endpoint list. The size of a worker falls as its
    /// number of jobs rises.
    SizesDue,
    /// A load query reaches the worker that it queries.
    LoadQueryArrived(LoadQueryId),
    /// The result of a load query reaches the scheduler that sent the query.
    LoadQueryCompleted { query: LoadQueryId, result: AttemptResult, report: Option<LoadReport> },
    /// A worker refreshes the load report with which it answers load queries.
    ReportRefreshDue { worker: WorkerId },
}

/// The final response to a request, while the response is on its way to the client.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FinalResponse {
    /// The response has the result of an attempt that was served.
    Served,
    /// The response is a rejection by the scheduler.
    Rejected { retry_after: Micros },
    /// The response is a failure: an attempt of the request failed and is not retried.
    Failed,
}

/// An event in the queue, with its time. The sequence number orders events of equal time.
struct ScheduledEvent {
    at: Micros,
    sequence: u64,
    event: SimulationEvent,
}

impl ScheduledEvent {
    fn order_key(&self) -> (Micros, u64) {
        (self.at, self.sequence)
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.order_key() == other.order_key()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        self.order_key().cmp(&other.order_key())
    }
}

/// The queue of the events that are still to come. The earliest event is first.
#[derive(Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Adds an event to the queue. Events of equal time are taken in the order in which they were added.
    pub(super) fn push(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Removes the earliest event from the queue, and returns it with its time.
    pub(super) fn pop(&mut self) -> Option<(Micros, SimulationEvent)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
