//! Checks that a run keeps certain rules, such as that each request gets a single final response. The checks
//! use what clients and workers observe, and what discovery announces.
//!
//! The checks must not use what a scheduler reports about itself. A faulty scheduler could hide its
//! violations by false reports.
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

/// Time by which a time limit may be exceeded without a violation, in microseconds. It covers the delays of
/// sockets in an emulation.
pub const TIMING_GRACE: Micros = 50_000;
/// Time for which a scheduler may still send attempts to a worker after the scheduler was notified that the
/// worker drains or was removed, in microseconds.
pub const DRAIN_GRACE: Micros = SECOND;

/// The rule checker of one run. Each method records something that was observed. Times are in microseconds
/// from the start of the run.
pub struct RuleChecker {
    responses: ResponseRules,
    executions: ExecutionRules,
    drains: DrainRule,
    slow_starts: SlowStartRule,
    violations: Violations,
}

impl RuleChecker {
    /// Creates a rule checker for a run. `budget` limits the load that schedulers may send to a worker in
    /// slow start. If `budget` is `None`, this load is not checked.
    pub fn new(budget: Option<SlowStartBudget>) -> RuleChecker {
        RuleChecker {
            responses: ResponseRules::default(),
            executions: ExecutionRules::default(),
            drains: DrainRule::default(),
            slow_starts: SlowStartRule::new(budget),
            violations: Violations::default(),
        }
    }

    /// Records that a client sent a request and waits for the response until `deadline`.
    pub fn request_sent(&mut self, request: RequestId, deadline: Micros) {
        self.responses.request_sent(request, deadline);
    }

    /// Records that a worker produced the result of a request.
    pub fn result_made(&mut self, request: RequestId) {
        self.responses.result_made(request);
    }

    /// Records that a client received a final response to a request, or that the client's connection broke.
    pub fn response_received(&mut self, now: Micros, request: RequestId, response: ClientResponse) {
        self.responses.response_received(now, request, response, &mut self.violations);
    }

    /// Records that a scheduler sent the final response to a request.
    pub fn response_sent(&mut self, request: RequestId) {
        self.responses.response_sent(request);
    }

    /// Records that the client of a request stopped waiting for the response, at or after its deadline.
    pub fn deadline_passed(&mut self, now: Micros, request: RequestId) {
        self.responses.check_response_before_deadline(now, request, &mut self.violations);
    }

    /// Records that nothing more can happen to a request, and removes what was recorded of the request.
    pub fn request_finished(&mut self, request: RequestId) {
        self.responses.request_finished(request);
    }

    /// Records that nothing more can happen to a client's job, and removes what was recorded of the job.
    pub fn job_finished(&mut self, job: u64) {
        self.executions.job_finished(job);
    }

    /// Records that a worker started a client's job.
    pub fn job_started(&mut self, now: Micros, job: u64, idempotency: Idempotency) {
        self.executions.check_non_idempotent_once(now, job, idempotency, &mut self.violations);
    }

    /// Records that a worker accepted an attempt, which may run from now on. `group` is the number of the
    /// worker's deduplication group (see `model::idempotency_keys`).
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

    /// Records that a worker returned an attempt without starting it, so that the attempt never ran.
    pub fn attempt_returned(&mut self, job: u64, attempt: u64) {
        self.executions.attempt_returned(job, attempt);
    }

    /// Records that a scheduler was notified that a worker drains or was removed, or that the worker is
    /// available again.
    pub fn availability_notified(
        &mut self,
        now: Micros,
        scheduler: SchedulerId,
        worker: WorkerId,
        is_available: bool,
    ) {
        self.drains.availability_notified(now, scheduler, worker, is_available);
    }

    /// Records that a worker's process started and is in slow start. `capacity` is the worker's full
    /// capacity, in core-seconds of work per second.
    pub fn worker_started(&mut self, now: Micros, worker: WorkerId, capacity: f64) {
        self.slow_starts.worker_started(now, worker, capacity);
    }

    /// Records that a scheduler sent an attempt to a worker. `core_seconds` is the work of the attempt's job.
    pub fn attempt_sent(&mut self, now: Micros, scheduler: SchedulerId, worker: WorkerId, core_seconds: f64) {
        self.drains.check(now, scheduler, worker, &mut self.violations);
        self.slow_starts.check(now, worker, core_seconds, &mut self.violations);
    }

    /// Ends the checks, and returns the violations that were found.
    pub fn into_violations(self) -> Violations {
        self.violations
    }
}
