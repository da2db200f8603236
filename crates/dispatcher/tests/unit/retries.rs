use super::RetryRules;
use crate::policy::request::{Attempt, MAX_TRACKED_ATTEMPTS, Request};
use crate::{Idempotency, KeyScope, MAX_DISPATCH_DELAY, Micros, RequestClass, SECOND, Settings};

const WINDOW: Micros = 2 * SECOND;

fn settings(idempotency: Idempotency) -> Settings {
    let class = RequestClass { idempotency, ..RequestClass::default() };
    Settings { classes: vec![class], max_attempts: 4, ..Settings::default() }
}

fn keyed(scope: KeyScope) -> Settings {
    settings(Idempotency::IdempotentWithKey { scope, window: WINDOW })
}

fn rules(settings: &Settings) -> RetryRules<'_> {
    RetryRules { settings, rejection_rate: 0.0 }
}

fn request(attempts: &[Attempt]) -> Request {
    let attempts = attempts.iter().copied().collect();
    Request { deadline: 100 * SECOND, attempts, ..Request::default() }
}

const IN_FLIGHT: Attempt = Attempt { is_in_flight: true, ..COMPLETED };
const NEVER_RAN: Attempt = Attempt { never_ran: true, ..COMPLETED };
const COMPLETED: Attempt = Attempt {
    worker: 0,
    sent_at: SECOND,
    local_load_fitted: false,
    progress: None,
    is_in_flight: false,
    never_ran: false,
    estimate: 0.0,
    is_overdue: false,
};

#[test]
fn a_non_idempotent_request_is_retried_or_rejected_only_if_no_attempt_may_have_run() {
    let settings = settings(Idempotency::NonIdempotent);
    assert!(rules(&settings).may_retry(SECOND, &request(&[NEVER_RAN])));
    assert!(rules(&settings).may_reject(&request(&[NEVER_RAN])));
    assert!(!rules(&settings).may_retry(SECOND, &request(&[NEVER_RAN, COMPLETED])));
    assert!(!rules(&settings).may_reject(&request(&[COMPLETED])));
}

#[test]
fn a_retry_with_an_idempotency_key_must_be_written_before_the_window_ends() {
    let mut settings = keyed(KeyScope::Cell);
    settings.connect_timeout = 100_000;
    let last = SECOND + WINDOW - settings.connect_timeout - MAX_DISPATCH_DELAY;
    assert!(rules(&settings).may_retry(last - 1, &request(&[COMPLETED])));
    assert!(!rules(&settings).may_retry(last, &request(&[COMPLETED])));
    assert!(
        rules(&settings).may_retry(last, &request(&[NEVER_RAN])),
        "no attempt has run, so the window does not apply"
    );
}

#[test]
fn a_request_with_a_key_that_may_have_run_is_rejected_only_if_all_workers_drop_duplicates() {
    for (scope, may_reject) in [(KeyScope::All, true), (KeyScope::Zone, false), (KeyScope::Cell, false)] {
        assert_eq!(rules(&keyed(scope)).may_reject(&request(&[COMPLETED])), may_reject, "{scope:?}");
        assert!(rules(&keyed(scope)).may_reject(&request(&[NEVER_RAN])), "{scope:?}");
    }
}

#[test]
fn no_attempt_is_allowed_after_the_deadline_or_beyond_the_maximum() {
    let settings = settings(Idempotency::Idempotent);
    assert!(rules(&settings).may_retry(100 * SECOND - 1, &request(&[COMPLETED])));
    assert!(!rules(&settings).may_retry(100 * SECOND, &request(&[COMPLETED])));
    assert!(rules(&settings).may_retry(SECOND, &request(&[COMPLETED; 3])));
    assert!(!rules(&settings).may_retry(SECOND, &request(&[COMPLETED; 4])));
    let high_maximum = Settings { max_attempts: 100, ..settings };
    assert!(!rules(&high_maximum).may_retry(SECOND, &request(&[COMPLETED; MAX_TRACKED_ATTEMPTS])));
}

#[test]
fn a_request_has_two_attempts_while_workers_reject_all_attempts() {
    let settings = settings(Idempotency::Idempotent);
    let all_rejected = RetryRules { settings: &settings, rejection_rate: 1.0 };
    assert!(all_rejected.may_retry(SECOND, &request(&[NEVER_RAN])));
    assert!(!all_rejected.may_retry(SECOND, &request(&[NEVER_RAN; 2])));
}

#[test]
fn a_concurrent_attempt_needs_hedging_and_moving_an_attempt_needs_cancellation() {
    let neither = settings(Idempotency::Idempotent);
    assert!(!rules(&neither).may_retry(SECOND, &request(&[IN_FLIGHT])));
    assert!(!rules(&neither).may_hedge_or_move(SECOND, &request(&[IN_FLIGHT])));
    let hedging = Settings { hedging_allowed: true, ..neither.clone() };
    assert!(rules(&hedging).may_hedge_or_move(SECOND, &request(&[IN_FLIGHT])));
    let cancellation = Settings { cancellation_allowed: true, ..neither };
    assert!(rules(&cancellation).may_hedge_or_move(SECOND, &request(&[IN_FLIGHT])));
    let keyed = Settings { cancellation_allowed: true, ..keyed(KeyScope::All) };
    assert!(
        !rules(&keyed).may_hedge_or_move(SECOND, &request(&[IN_FLIGHT])),
        "a cancelled attempt may have run"
    );
}
