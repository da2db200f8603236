//! Events of the simulation and their queue, ordered by time and then by the order of scheduling.
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

/// An event of the simulation: the arrival of a message, the end of a wait, or a change at a worker,
/// scheduler or discovery.
pub(super) enum SimulationEvent {
    /// A client sends the first request for a new job.
    ClientArrived(Arrival),
    /// A client retries a rejected request.
    RetryDue(ClientJobId),
    /// A request reaches its scheduler.
    RequestArrived(RequestId),
    /// The scheduler's deadline for a request passes.
    DeadlinePassed(RequestId),
    /// A final response reaches the client.
    ResponseArrived { request: RequestId, response: FinalResponse },
    /// A client's deadline and grace period for a request have passed, with or without a response.
    ClientWaitEnded(RequestId),
    /// An attempt reaches its worker.
    AttemptArrived(AttemptId),
    /// The callback that an attempt has started reaches the scheduler.
    AttemptStarted(AttemptId),
    /// A worker reports the progress of a running attempt.
    ProgressDue(AttemptId),
    /// An attempt's result reaches the scheduler.
    AttemptCompleted { attempt: AttemptId, result: AttemptResult },
    /// A cancellation reaches the attempt's worker.
    CancellationArrived(AttemptId),
    /// A worker's running jobs are due to be advanced. The event is ignored if the worker's wake version has
    /// changed since the event was scheduled.
    WorkerWake { worker: WorkerId, wake_version: u64 },
    /// A timer of one scheduler process (incarnation) expires; ignored if that process has ended.
    TimerExpired { scheduler: SchedulerId, process_number: u32, timer: Timer },
    /// An endpoint update reaches a scheduler.
    EndpointsDelivered { scheduler: SchedulerId, kind: EndpointUpdateKind, endpoints: Arc<Vec<Endpoint>> },
    /// A fault starts or ends.
    FaultChanged(FaultTransition),
    /// The stale or the current list is due for publication during a `discovery_contradicts` fault.
    AlternateListDue { is_stale: bool },
    /// The worker sizes in the endpoint list are due for publication.
    SizesDue,
    /// A load query reaches its worker.
    LoadQueryArrived(LoadQueryId),
    /// A load query's result reaches the scheduler.
    LoadQueryCompleted { query: LoadQueryId, result: AttemptResult, report: Option<LoadReport> },
    /// A worker refreshes the report with which it answers load queries.
    ReportRefreshDue { worker: WorkerId },
}

/// A final response on its way to the client.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FinalResponse {
    /// An attempt was served.
    Served,
    /// The scheduler rejected the request.
    Rejected { retry_after: Micros },
    /// The scheduler failed the request: an attempt failed and is not retried.
    Failed,
}

/// An event with its time. The sequence number orders events of equal time.
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

/// Queue of pending events, earliest first.
#[derive(Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Adds an event. Events of equal time are taken in the order in which they were added.
    pub(super) fn push(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Removes and returns the next event with its time.
    pub(super) fn pop(&mut self) -> Option<(Micros, SimulationEvent)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
