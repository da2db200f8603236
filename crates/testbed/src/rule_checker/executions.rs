//! Rules for executions: how often workers may run a job, over all its attempts and retries.
use copperspread_dispatcher::{Idempotency, KeyScope, Micros};
use rustc_hash::FxHashMap;

use super::TIMING_GRACE;
use super::violations::{Rule, Violations};

/// An attempt that a worker accepted and that may therefore have run.
#[derive(Clone, Copy)]
pub(super) struct AcceptedAttempt {
    /// ID of the attempt. If the worker returns the attempt without starting it, the attempt with this ID is
    /// removed from the job's list of accepted attempts.
    pub attempt: u64,
    /// Number of the deduplication group of the attempt's worker (see `model::idempotency_keys`).
    pub group: u32,
    /// Time at which a scheduler sent the attempt, in microseconds.
    pub sent_at: Micros,
}

#[derive(Default)]
struct JobExecutions {
    /// Number of times that workers started the job. Counted only for a non-idempotent job.
    starts: u32,
    accepted: Vec<AcceptedAttempt>,
}

/// Checks that a non-idempotent job runs at most once. Also checks that a job with an idempotency key is
/// repeated only where workers drop duplicates. The executions of each client's job are stored, over all its
/// retries.
#[derive(Default)]
pub(super) struct ExecutionRules {
    jobs: FxHashMap<u64, JobExecutions>,
}

impl ExecutionRules {
    pub(super) fn job_finished(&mut self, job: u64) {
        self.jobs.remove(&job);
    }

    /// Removes an accepted attempt that its worker returned without starting it. Such an attempt never ran.
    pub(super) fn attempt_returned(&mut self, job: u64, attempt: u64) {
        if let Some(executions) = self.jobs.get_mut(&job) {
            executions.accepted.retain(|accepted| accepted.attempt != attempt);
        }
    }

    pub(super) fn check_non_idempotent_once(
        &mut self,
        now: Micros,
        job: u64,
        idempotency: Idempotency,
        violations: &mut Violations,
    ) {
        if idempotency != Idempotency::NonIdempotent {
            return;
        }
        let executions = self.jobs.entry(job).or_default();
        executions.starts += 1;
        if executions.starts > 1 {
            violations.record(Rule::NonIdempotentOnce, now, || format!("job {job}"));
        }
    }

    /// Checks the repeated attempts of a job with an idempotency key. A repeated attempt must go to the
    /// deduplication group of the first attempt. It must be sent within the key's window after the first
    /// attempt was sent. Workers drop duplicates only in that group and window.
    pub(super) fn check_keyed_within_scope(
        &mut self,
        now: Micros,
        job: u64,
        attempt: AcceptedAttempt,
        idempotency: Idempotency,
        violations: &mut Violations,
    ) {
        let Idempotency::IdempotentWithKey { scope, window } = idempotency else { return };
        let executions = self.jobs.entry(job).or_default();
        let first = executions.accepted.iter().copied().min_by_key(|accepted| accepted.sent_at);
        executions.accepted.push(attempt);
        let Some(first) = first else { return };
        if first.group != attempt.group || attempt.sent_at > first.sent_at + window + TIMING_GRACE {
            let scope = scope_name(scope);
            violations.record(Rule::KeyedWithinScope, now, || {
                format!("job {job}, sent to {scope} {} and to {scope} {}", first.group, attempt.group)
            });
        }
    }
}

fn scope_name(scope: KeyScope) -> &'static str {
    match scope {
        KeyScope::All => "group",
        KeyScope::Zone => "zone",
        KeyScope::Cell => "cell",
    }
}
