//! Retries: another attempt after all before it have completed, or else the final response. Hedged requests:
//! a second attempt where the first has not started in time, as its worker's queue is longer than any report
//! showed, it hangs, or it has slowed down.
use super::hedging::hedge_delay;
use super::{Dispatcher, state::Attempt, state::Request};
use super::{selection::NotAdmitted, state::MAX_TRACKED_ATTEMPTS};
use crate::time::from_seconds;
use crate::{Action, DISPATCH_SLACK, Idempotency, KeyScope, Micros, Rejection, RequestId, Timer};

/// Attempts of a request while all are rejected; as many more as fewer are.
const ATTEMPTS_WHILE_REJECTED: f64 = 1.5;
impl Dispatcher {
    pub(super) fn retry_or_respond(&mut self, now: Micros, request: &mut Request) {
        let retry_after = from_seconds(self.mean_response_seconds);
        let mut not_admitted =
            NotAdmitted { retry_after, reason: Rejection::AttemptsExhausted, late_worker: None };
        if self.may_retry(now, request) {
            match self.select_worker(now, request) {
                Ok(index) => return self.send(now, request, index),
                Err(error) => not_admitted = error,
            }
        }
        self.finish(request);
        let NotAdmitted { retry_after, reason, .. } = not_admitted;
        self.actions.push(if self.may_reject(request) && now < request.deadline {
            Action::Reject { request: request.id, retry_after, reason }
        } else {
            Action::Fail { request: request.id }
        });
    }

    pub(super) fn max_attempts(&self) -> usize {
        let max = (self.settings.max_attempts as usize).min(MAX_TRACKED_ATTEMPTS);
        // A full fleet would be asked for the same request all over, at the price of its own work. While
        // nothing is rejected, the quotient is infinite and the cast saturates.
        max.min((ATTEMPTS_WHILE_REJECTED / self.fleet.rejection_rate).ceil() as usize)
    }

    pub(super) fn may_retry(&self, now: Micros, request: &Request) -> bool {
        let must_wait = request.has_attempt_in_flight() && !self.settings.hedging_allowed;
        if request.attempts.len() >= self.max_attempts() || now >= request.deadline || must_wait {
            return false;
        }
        // After the window the workers have forgotten the key and would run it again. It counts from the
        // first attempt that may have run, and holds for when the retry is written, not decided on.
        let written_by = now.saturating_add(self.settings.connect_timeout).saturating_add(DISPATCH_SLACK);
        self.is_repeatable(request, |_, window, first| written_by < first.sent_at.saturating_add(window))
    }

    fn may_reject(&self, request: &Request) -> bool {
        self.is_repeatable(request, |scope, _, _| scope == KeyScope::All)
    }

    /// Whether the request may run again, after this rule where a keyed attempt may have run.
    fn is_repeatable(&self, request: &Request, key: impl Fn(KeyScope, Micros, &Attempt) -> bool) -> bool {
        match (self.settings.classes[request.class].idempotency, request.first_that_may_have_run()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::IdempotentWithKey { scope, window }, Some(first)) => key(scope, window, first),
        }
    }

    pub(super) fn schedule_hedge_check(&mut self, now: Micros, request: &Request, index: usize) {
        if self.settings.reports_job_start && self.may_hedge_or_move(now, request) {
            let worker = &self.workers[index];
            let slack = self.time_left(now, worker, request) - request.work / worker.service_rate;
            let after = hedge_delay(slack);
            self.actions.push(Action::StartTimer { after, timer: Timer::HedgeCheck(request.id) });
        }
    }

    /// A request that should have started by now is hedged, through the same estimate and admission; where
    /// two attempts may not be in flight together, it is canceled and moves once that completes.
    pub(super) fn on_hedge_check(&mut self, now: Micros, id: RequestId) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let mut in_flight = request.attempts.iter().filter(|attempt| attempt.is_in_flight);
        let has_not_started = in_flight.all(|attempt| attempt.progress.is_none());
        if !request.is_finished
            && has_not_started
            && self.hedge_budget.has_hedge()
            && self.may_hedge_or_move(now, &request)
            && let Ok(index) = self.select_worker(now, &request)
        {
            self.hedge_budget.spend();
            if self.settings.hedging_allowed {
                self.send(now, &mut request, index);
            } else {
                self.cancel_in_flight(&request);
            }
        }
        self.requests.insert(id, request);
    }

    fn may_hedge_or_move(&self, now: Micros, request: &Request) -> bool {
        if self.settings.hedging_allowed {
            return self.may_retry(now, request);
        }
        self.settings.cancellation_allowed
            && self.settings.classes[request.class].idempotency == Idempotency::Idempotent
            && request.attempts.len() < self.max_attempts()
    }
}
