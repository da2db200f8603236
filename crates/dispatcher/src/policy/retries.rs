//! Retries: whether a request may have another attempt, after all before it have completed or beside them,
//! and whether it may be rejected rather than failed.
use super::request::Attempt;
use super::request::MAX_TRACKED_ATTEMPTS;
use super::request::Request;
use crate::DISPATCH_SLACK;
use crate::Idempotency;
use crate::KeyScope;
use crate::Micros;
use crate::Settings;

/// Attempts of a request while all are rejected; as many more as fewer are.
const ATTEMPTS_WHILE_REJECTED: f64 = 1.5;

/// What allows and forbids further attempts.
pub(super) struct RetryRules<'a> {
    pub(super) settings: &'a Settings,
    /// The fraction of all attempts that workers reject.
    pub(super) rejection_rate: f64,
}

impl RetryRules<'_> {
    /// The most attempts that a request may have now.
    fn max_attempts(&self) -> usize {
        let max = (self.settings.max_attempts as usize).min(MAX_TRACKED_ATTEMPTS);
        // A full fleet would be asked for the same request all over, at the price of its own work. While
        // nothing is rejected, the quotient is infinite and the cast saturates.
        max.min((ATTEMPTS_WHILE_REJECTED / self.rejection_rate).ceil() as usize)
    }

    /// Whether the request may have another attempt now.
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

    /// Whether a request whose first attempt has not started may be hedged, or canceled there and moved.
    pub(super) fn may_hedge_or_move(&self, now: Micros, request: &Request) -> bool {
        if self.settings.hedging_allowed {
            return self.may_retry(now, request);
        }
        self.settings.cancellation_allowed
            && self.settings.classes[request.class].idempotency == Idempotency::Idempotent
            && request.attempts.len() < self.max_attempts()
    }

    /// Whether the client may be told that it is safe to try again.
    pub(super) fn may_reject(&self, request: &Request) -> bool {
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
}

#[cfg(test)]
#[path = "../../tests/unit/retries.rs"]
mod tests;
