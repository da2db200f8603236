//! Checks the rules of a run by what clients and workers observed and what discovery notified.
//!
//! It must use nothing that a scheduler claims.
mod dispatches;
mod executions;
mod responses;
mod violations;

use copperspread_dispatcher::{Idempotency, Micros, RequestId, SECOND, WorkerId};

use crate::model::scheduler_id::SchedulerId;
pub use dispatches::SlowStartBudget;
pub use responses::ClientResponse;
pub use violations::{Rule, RuleViolation, Violations};

use dispatches::{DrainRule, SlowStartRule};
use executions::{AcceptedAttempt, ExecutionRules};
use responses::ResponseRules;

/// Tolerance of time limits, as on sockets.
pub const TIMING_GRACE: Micros = 50_000;
/// For this long after the notification of a drain, new work may go to the worker.
pub const DRAIN_GRACE: Micros = SECOND;

/// The rule checker of one run. Each method notifies it of something observed; times are microseconds from
/// the start of the run.
pub struct RuleChecker {
    responses: ResponseRules,
    executions: ExecutionRules,
    drains: DrainRule,
    slow_starts: SlowStartRule,
    violations: Violations,
}

impl RuleChecker {
    /// A checker that holds warming workers to a budget, or to none.
    pub fn new(budget: Option<SlowStartBudget>) -> RuleChecker {
        RuleChecker {
            responses: ResponseRules::default(),
            executions: ExecutionRules::default(),
            drains: DrainRule::default(),
            slow_starts: SlowStartRule::new(budget),
            violations: Violations::default(),
        }
    }

    /// A client sent a request, and waits until its deadline.
    pub fn request_sent(&mut self, request: RequestId, deadline: Micros) {
        self.responses.request_sent(request, deadline);
    }

    /// A worker made a request's result.
    pub fn result_made(&mut self, request: RequestId) {
        self.responses.result_made(request);
    }

    /// A final response reached the client, or its connection broke.
    pub fn response_received(&mut self, now: Micros, request: RequestId, response: ClientResponse) {
        self.responses.response_received(now, request, response, &mut self.violations);
    }

    /// A scheduler sent a client's response.
    pub fn response_sent(&mut self, request: RequestId) {
        self.responses.response_sent(request);
    }

    /// A client's deadline passed, perhaps a little earlier.
    pub fn deadline_passed(&mut self, now: Micros, request: RequestId) {
        self.responses.check_response_before_deadline(now, request, &mut self.violations);
    }

    /// Nothing more can happen to a request: its state is dropped.
    pub fn request_finished(&mut self, request: RequestId) {
        self.responses.request_finished(request);
    }

    /// Nothing more can happen to a client's job: its state is dropped.
    pub fn job_finished(&mut self, job: u64) {
        self.executions.job_finished(job);
    }

    /// A worker began to run a client's job.
    pub fn job_started(&mut self, now: Micros, job: u64, idempotency: Idempotency) {
        self.executions.check_non_idempotent_once(now, job, idempotency, &mut self.violations);
    }

    /// A worker of a group (see `model::idempotency_keys`) accepted an attempt, which may run from now
    /// on.
    pub fn attempt_accepted(
        &mut self,
        now: Micros,
        job: u64,
        attempt: u64,
        idempotency: Idempotency,
        group: u32,
        sent_at: Micros,
    ) {
        let accepted = AcceptedAttempt { attempt, group, sent_at };
        self.executions.check_keyed_within_scope(now, job, accepted, idempotency, &mut self.violations);
    }

    /// A worker returned an attempt unstarted: it never ran.
    pub fn attempt_returned(&mut self, job: u64, attempt: u64) {
        self.executions.attempt_returned(job, attempt);
    }

    /// A scheduler was notified that a worker drains or was removed, or takes work again.
    pub fn availability_notified(
        &mut self,
        now: Micros,
        scheduler: SchedulerId,
        worker: WorkerId,
        is_available: bool,
    ) {
        self.drains.availability_notified(now, scheduler, worker, is_available);
    }

    /// A worker's process started, cold; `capacity` is in cores once it is warm.
    pub fn worker_started(&mut self, now: Micros, worker: WorkerId, capacity: f64) {
        self.slow_starts.worker_started(now, worker, capacity);
    }

    /// A scheduler sent an attempt of this many core-seconds to a worker.
    pub fn attempt_sent(&mut self, now: Micros, scheduler: SchedulerId, worker: WorkerId, core_seconds: f64) {
        self.drains.check(now, scheduler, worker, &mut self.violations);
        self.slow_starts.check(now, worker, core_seconds, &mut self.violations);
    }

    /// Ends the check.
    pub fn into_violations(self) -> Violations {
        self.violations
    }
}
