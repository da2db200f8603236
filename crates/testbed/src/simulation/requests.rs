//! State of open jobs, requests, attempts and load queries.
use copperspread_dispatcher::{Micros, RequestId, WorkerId};

use crate::model::arrivals::Arrival;
use crate::model::idempotency_keys::KeyHistory;
use crate::model::scheduler_id::SchedulerId;

/// ID of a client's job, unique within a run among all jobs, requests, attempts and load queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct ClientJobId(pub(super) u64);

/// ID of an attempt, unique within a run among all jobs, requests, attempts and load queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptId(pub(super) u64);

/// ID of a load query. It differs from every attempt's ID, because workers hold attempts and load queries in
/// one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct LoadQueryId(pub(super) u64);

/// A client's job, which comprises the first request and its retries.
pub(super) struct ClientJob {
    pub(super) arrival: Arrival,
    /// Deadline of the client, without the scenario's grace period.
    pub(super) client_deadline: Micros,
    pub(super) retries_left: u32,
    /// Whether the job has its outcome, after which the client sends no further request for the job.
    pub(super) is_finished: bool,
    /// Number of scheduler requests and attempts that still refer to the job.
    pub(super) reference_count: u32,
    pub(super) keys: KeyHistory,
}

/// A client's request that was sent to a scheduler.
pub(super) struct SchedulerRequest {
    pub(super) client_job: ClientJobId,
    pub(super) scheduler: SchedulerId,
    /// Deadline of the scheduler, earlier than the client's by a margin.
    pub(super) deadline: Micros,
    pub(super) attempts: Vec<AttemptId>,
    pub(super) attempts_in_flight: u32,
    pub(super) is_answered: bool,
    pub(super) is_past_deadline: bool,
    /// Whether the client's deadline and grace period have passed, so that the client has disconnected.
    pub(super) has_client_wait_ended: bool,
}

/// An attempt, kept until neither its scheduler nor its worker needs the attempt any more.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) client_job: ClientJobId,
    /// Index of the attempt among the request's attempts, in the order of sending.
    pub(super) number: u32,
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
    /// Whether the scheduler waits for the attempt's end.
    pub(super) is_in_flight: bool,
    /// Whether the attempt is at its worker or on the way there.
    pub(super) is_at_worker: bool,
    /// Whether the connection breaks after the worker has accepted the job.
    pub(super) loses_response: bool,
    /// Whether a cancellation reached the worker while the attempt was not there; an attempt that is still on
    /// the way to the worker is then dropped on arrival.
    pub(super) is_cancelled: bool,
}

/// A load query that has no result yet.
#[derive(Clone, Copy)]
pub(super) struct PendingLoadQuery {
    pub(super) scheduler: SchedulerId,
    /// Number of the scheduler's process (incarnation) that sent the query; a later process does not get the
    /// result.
    pub(super) process_number: u32,
    pub(super) worker: WorkerId,
}
