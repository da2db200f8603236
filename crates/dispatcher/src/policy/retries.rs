//! Retries: decides whether a request may have another attempt, and whether its final response may be
//! "rejected", which tells the client that a retry is safe.
use super::request::Attempt;
use super::request::MAX_TRACKED_ATTEMPTS;
use super::request::Request;
use crate::Idempotency;
use crate::KeyScope;
use crate::MAX_DISPATCH_DELAY;
use crate::Micros;
use crate::Settings;

/// Maximum number of attempts of a request, before rounding up, if workers reject all attempts. If workers
/// reject only a fraction of all attempts, the maximum is this number divided by that fraction.
const MAX_ATTEMPTS_WHILE_REJECTED: f64 = 1.5;

/// The rules that decide whether a request may have further attempts.
pub(super) struct RetryRules<'a> {
    pub(super) settings: &'a Settings,
    /// Fraction of all attempts that workers reject.
    pub(super) rejection_rate: f64,
}

impl RetryRules<'_> {
    /// Returns the maximum number of attempts of a request. The maximum falls as workers reject a larger
    /// fraction of all attempts.
    fn max_attempts(&self) -> usize {
        let max = (self.settings.max_attempts as usize).min(MAX_TRACKED_ATTEMPTS);
        // Retries in a full fleet would only add load, so the maximum falls as the rejection rate rises. If
        // the rejection rate is 0, the division gives infinity, which is converted to the largest `usize`.
        max.min((MAX_ATTEMPTS_WHILE_REJECTED / self.rejection_rate).ceil() as usize)
    }

    /// Returns whether a request may have another attempt now.
    pub(super) fn may_retry(&self, now: Micros, request: &Request) -> bool {
        let must_wait = request.has_attempt_in_flight() && !self.settings.hedging_allowed;
        if request.attempts.len() >= self.max_attempts() || now >= request.deadline || must_wait {
            return false;
        }
        // Workers discard an idempotency key when the key's window ends, and would then run the request
        // again. A retry must therefore be written to the worker before the window ends. The window starts
        // when the first attempt that may have run is sent.
        let written_by = now.saturating_add(self.settings.connect_timeout).saturating_add(MAX_DISPATCH_DELAY);
        self.is_repeatable(request, |_, window, first| written_by < first.sent_at.saturating_add(window))
    }

    /// Returns whether a request may be sent to another worker because its first attempt, which was sent, has
    /// not started to run. If hedging is allowed, the request is hedged: both attempts are then in flight.
    /// Otherwise the first attempt is cancelled, and the request is then retried.
    pub(super) fn may_hedge_or_move(&self, now: Micros, request: &Request) -> bool {
        if self.settings.hedging_allowed {
            return self.may_retry(now, request);
        }
        self.settings.cancellation_allowed
            && self.settings.classes[request.class].idempotency == Idempotency::Idempotent
            && request.attempts.len() < self.max_attempts()
    }

    /// Returns whether the final response of a request may be "rejected", which promises the client that a
    /// retry is safe.
    pub(super) fn may_reject(&self, request: &Request) -> bool {
        self.is_repeatable(request, |scope, _, _| scope == KeyScope::All)
    }

    /// Returns whether a request may run again. The result is true if no attempt of the request may have run,
    /// or if the request's class is idempotent. If an attempt may have run and the class is not idempotent,
    /// the result is false.
    ///
    /// If an attempt may have run and the request has an idempotency key, `is_safe` decides. Its arguments
    /// are the scope of the key, which is the group of workers that drop duplicates; the window, the time for
    /// which they do so; and the first attempt that may have run.
    fn is_repeatable(&self, request: &Request, is_safe: impl Fn(KeyScope, Micros, &Attempt) -> bool) -> bool {
        match (self.settings.classes[request.class].idempotency, request.first_possibly_run_attempt()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::IdempotentWithKey { scope, window }, Some(first)) => is_safe(scope, window, first),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/retries.rs"]
mod tests;
