//! The state of each job, request, attempt and load query while it is open.
use copperspread_dispatcher::{Micros, RequestId, WorkerId};

use crate::model::arrivals::Arrival;
use crate::model::idempotency_keys::KeyHistory;
use crate::model::scheduler_id::SchedulerId;

/// A client's job, over all requests that the client sends for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ClientRequestId(pub(super) u64);

/// An attempt of a scheduler's request at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId(pub(super) u64);

/// A load query. No attempt has the same number, as workers hold both in one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LoadQueryId(pub(super) u64);

/// A client's job, over all requests that the client sends for it.
pub(super) struct ClientRequest {
    pub(super) arrival: Arrival,
    /// When the client stops waiting.
    pub(super) gives_up_at: Micros,
    pub(super) retries_left: u32,
    /// The client has its final result.
    pub(super) is_finished: bool,
    /// Scheduler requests and attempts that still refer to it.
    pub(super) open_references: u32,
    pub(super) keys: KeyHistory,
}

/// A client's request as one scheduler has it.
pub(super) struct SchedulerRequest {
    pub(super) client_request: ClientRequestId,
    pub(super) scheduler: SchedulerId,
    /// The scheduler's own deadline, somewhat before the client's.
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<AttemptId>,
    pub(super) attempts_in_flight: u32,
    pub(super) is_answered: bool,
    pub(super) is_past_deadline: bool,
    pub(super) has_client_disconnected: bool,
}

/// One attempt, from the scheduler's decision until neither scheduler nor worker refers to it.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) client_request: ClientRequestId,
    /// Its place among the request's attempts.
    pub(super) number: u32,
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
    /// The scheduler waits for it.
    pub(super) is_in_flight: bool,
    /// It is at its worker or on the way there.
    pub(super) is_at_worker: bool,
    /// Its connection breaks after the worker took the job.
    pub(super) loses_response: bool,
    /// It is to stop as soon as it reaches its worker.
    pub(super) is_cancelled: bool,
}

/// A load query whose result its scheduler waits for.
#[derive(Clone, Copy)]
pub(super) struct PendingLoadQuery {
    pub(super) scheduler: SchedulerId,
    /// The scheduler's incarnation that asked; a later one does not get the result.
    pub(super) incarnation: u32,
    pub(super) worker: WorkerId,
}
