//! Orders the events of a simulation by time, then by the order in which they were scheduled.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::Arc;

use copperspread_dispatcher::{
    Endpoint, EndpointUpdateKind, LoadReport, Micros, Outcome as AttemptResult, RequestId, Timer, WorkerId,
};

use super::requests::{AttemptId, ClientRequestId, LoadQueryId};
use crate::model::arrivals::Arrival;
use crate::model::fleet::FaultTransition;
use crate::model::scheduler_id::SchedulerId;

/// What happens at one instant.
pub(super) enum SimulationEvent {
    /// A client sends the first request for a new job.
    ClientArrived(Arrival),
    /// A rejected client sends its request again.
    RetryDue(ClientRequestId),
    /// A request reaches its scheduler.
    RequestArrived(RequestId),
    /// A request's deadline at its scheduler passes.
    DeadlinePassed(RequestId),
    /// A final response reaches the client.
    ResponseArrived { request: RequestId, response: FinalResponse },
    /// A client stops waiting for a response.
    ClientTimedOut(RequestId),
    /// An attempt reaches its worker.
    AttemptArrived(AttemptId),
    /// The scheduler learns that an attempt started.
    AttemptStarted(AttemptId),
    /// A worker reports how much of a running attempt is done.
    ProgressDue(AttemptId),
    /// The scheduler learns how an attempt ended.
    AttemptCompleted { attempt: AttemptId, result: AttemptResult },
    /// A cancellation reaches the attempt's worker.
    CancellationArrived(AttemptId),
    /// A worker's running jobs must be looked at; void unless its epoch is still this one.
    WorkerWake { worker: WorkerId, wake_epoch: u64 },
    /// A timer of one incarnation of a scheduler expires.
    TimerExpired { scheduler: SchedulerId, incarnation: u32, timer: Timer },
    /// An endpoint update reaches a scheduler.
    EndpointsDelivered { scheduler: SchedulerId, kind: EndpointUpdateKind, endpoints: Arc<Vec<Endpoint>> },
    /// A fault starts or ends.
    FaultChanged(FaultTransition),
    /// The stale or the true list is published while discovery contradicts itself.
    AlternateListDue { is_stale: bool },
    /// The worker sizes in the endpoint list are published again.
    SizesDue,
    /// A load query reaches its worker.
    LoadQueryArrived(LoadQueryId),
    /// The scheduler learns the result of a load query.
    LoadQueryCompleted { query: LoadQueryId, result: AttemptResult, report: Option<LoadReport> },
    /// A worker refreshes the figures with which it answers load queries.
    ReportRefreshDue { worker: WorkerId },
}

/// A final response on its way to the client.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum FinalResponse {
    /// The job was done.
    Served,
    /// The scheduler rejected the request.
    Rejected { retry_after: Micros },
    /// Every attempt failed.
    Failed,
}

/// An event at its time. The sequence number decides between events of equal time.
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

/// The events still to come.
#[derive(Default)]
pub(super) struct EventQueue {
    last_sequence: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
}

impl EventQueue {
    /// Adds an event; of events at the same time, the one that was added first comes first.
    pub(super) fn push(&mut self, at: Micros, event: SimulationEvent) {
        self.last_sequence += 1;
        self.heap.push(Reverse(ScheduledEvent { at, sequence: self.last_sequence, event }));
    }

    /// Takes the next event with its time.
    pub(super) fn pop(&mut self) -> Option<(Micros, SimulationEvent)> {
        self.heap.pop().map(|Reverse(scheduled)| (scheduled.at, scheduled.event))
    }
}
