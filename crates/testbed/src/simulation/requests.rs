//! The state of jobs, requests, attempts and load queries that are still open.
use copperspread_dispatcher::{Micros, RequestId, WorkerId};

use crate::model::arrivals::Arrival;
use crate::model::idempotency_keys::KeyHistory;
use crate::model::scheduler_id::SchedulerId;

/// ID of a client's job. No other job, request, attempt or load query of the run has the same ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ClientJobId(pub(super) u64);

/// ID of an attempt. No other job, request, attempt or load query of the run has the same ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId(pub(super) u64);

/// ID of a load query. No attempt has the same ID, because workers hold attempts and load queries in one
/// queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LoadQueryId(pub(super) u64);

/// A client's job. It comprises the client's first request and the retries of that request.
pub(super) struct ClientJob {
    pub(super) arrival: Arrival,
    /// Deadline of the client for the job, in microseconds. The client waits for a grace period longer before
    /// a missing response counts as a violation. The grace period is not included here.
    pub(super) client_deadline: Micros,
    pub(super) retries_left: u32,
    /// Whether the job has its outcome. The client then sends no further request for the job.
    pub(super) is_finished: bool,
    /// Number of scheduler requests and attempts that still refer to the job.
    pub(super) reference_count: u32,
    pub(super) keys: KeyHistory,
}

/// A client's request that was sent to a scheduler.
pub(super) struct SchedulerRequest {
    pub(super) client_job: ClientJobId,
    pub(super) scheduler: SchedulerId,
    /// The scheduler's deadline for the request, which is earlier than the client's deadline by a margin.
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<AttemptId>,
    pub(super) attempts_in_flight: u32,
    pub(super) is_answered: bool,
    pub(super) is_past_deadline: bool,
    /// Whether the client's deadline and grace period have passed. The client has then disconnected.
    pub(super) has_client_wait_ended: bool,
}

/// An attempt. It is kept until neither its scheduler nor its worker needs it any more.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) client_job: ClientJobId,
    /// Number of the attempt among the attempts of its request, counted from 0 in the order of sending.
    pub(super) number: u32,
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
    /// Whether the scheduler still waits for the end of the attempt.
    pub(super) is_in_flight: bool,
    /// Whether the attempt is at its worker or on the way there.
    pub(super) is_at_worker: bool,
    /// Whether the connection of the attempt breaks after the worker has accepted the job.
    pub(super) loses_response: bool,
    /// Whether a cancellation reached the worker when the worker did not have the attempt. An attempt that is
    /// still on its way to the worker is then dropped on arrival. For an attempt that the worker has already
    /// dropped as a duplicate, the cancellation has no effect.
    pub(super) is_cancelled: bool,
}

/// A load query that has no result yet.
#[derive(Clone, Copy)]
pub(super) struct PendingLoadQuery {
    pub(super) scheduler: SchedulerId,
    /// Number of the scheduler process that sent the load query. A later process of the same scheduler does
    /// not get the result.
    pub(super) process_number: u32,
    pub(super) worker: WorkerId,
}
