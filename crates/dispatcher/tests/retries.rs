//! Which requests may be retried, hedged, moved to another worker or rejected, by idempotency.
mod common;
use common::{Harness, MS, endpoint, settings};
use copperspread_dispatcher::{
    Action, Endpoint, EndpointUpdate, EndpointUpdateKind, Event, Idempotency, KeyScope, Micros, Outcome,
    Progress, RequestId, SECOND, Settings, Timer, WorkerState,
};

const WITH_KEY_AT_ALL_WORKERS: Idempotency =
    Idempotency::IdempotentWithKey { scope: KeyScope::All, window: 5 * SECOND };
const WITH_KEY_IN_CELL: Idempotency =
    Idempotency::IdempotentWithKey { scope: KeyScope::Cell, window: 5 * SECOND };
const WITH_KEY_IN_ZONE: Idempotency =
    Idempotency::IdempotentWithKey { scope: KeyScope::Zone, window: 5 * SECOND };
const CONNECT_TIMEOUT: Micros = 250 * MS;

/// A dispatcher that has sent request 1 to one of four workers, and that worker.
fn harness_with_sent_request(idempotency: Idempotency) -> (Harness, u32) {
    let endpoints: Vec<_> = (0..4).map(|i| Endpoint { zone: i / 2, ..endpoint(i) }).collect();
    let mut harness = Harness::new(settings(idempotency), &endpoints);
    harness.offer(1, 0.2);
    let first = harness.sent_worker().expect("the request is sent");
    harness.now += 50 * MS;
    (harness, first)
}

#[test]
fn a_non_idempotent_request_that_may_have_run_fails_without_a_retry() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        let (mut harness, _) = harness_with_sent_request(Idempotency::NonIdempotent);
        harness.complete(1, 0, outcome);
        assert!(
            harness.is_failed() && harness.sent_worker().is_none() && !harness.is_rejected(),
            "{outcome:?}"
        );
    }
}

#[test]
fn a_non_idempotent_request_that_never_ran_is_retried_elsewhere() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Superseded] {
        let (mut harness, first) = harness_with_sent_request(Idempotency::NonIdempotent);
        harness.complete(1, 0, outcome);
        assert!(harness.sent_worker().is_some_and(|next| next != first), "{outcome:?}");
    }
}

#[test]
fn a_request_with_key_that_may_have_run_stays_within_its_key_scope_and_window() {
    for _ in 0..4 {
        let (mut harness, first) = harness_with_sent_request(WITH_KEY_IN_CELL);
        harness.complete(1, 0, Outcome::Reset);
        assert_eq!(harness.sent_worker(), Some(first ^ 1), "the other worker of the cell");
    }
    let (mut harness, first) = harness_with_sent_request(WITH_KEY_IN_ZONE);
    harness.complete(1, 0, Outcome::Reset);
    assert_eq!(harness.sent_worker().map(|w| w / 2), Some(first / 2), "a worker of the same zone");
    let (mut harness, _) = harness_with_sent_request(WITH_KEY_AT_ALL_WORKERS);
    harness.now += 6 * SECOND;
    harness.complete(1, 0, Outcome::Reset);
    assert!(harness.sent_worker().is_none(), "the key window has passed");
}

/// Guards against a retry that is decided on within the key window and written after it: its connection may
/// take up to the connect timeout.
#[test]
fn a_request_with_key_is_retried_only_if_the_retry_can_be_written_within_the_window() {
    const WINDOW: Micros = 500 * MS;
    for (after_ms, is_retried) in [(0, true), (190, true), (210, false), (300, false), (499, false)] {
        let endpoints: Vec<_> = (0..4).map(endpoint).collect();
        let idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::All, window: WINDOW };
        let mut harness =
            Harness::new(Settings { connect_timeout: CONNECT_TIMEOUT, ..settings(idempotency) }, &endpoints);
        harness.offer(1, 0.2);
        // The first attempt never ran, so the key window does not start with it.
        harness.now += 400 * MS;
        harness.complete(1, 0, Outcome::ConnectFailed);
        assert!(harness.sent_worker().is_some(), "an attempt that never ran is retried");
        harness.now += after_ms * MS;
        harness.complete(1, 1, Outcome::Reset);
        assert_eq!(
            harness.sent_worker().is_some(),
            is_retried,
            "{after_ms} ms after the first attempt that may have run"
        );
        assert_eq!(
            harness.is_rejected(),
            !is_retried,
            "a request may be rejected if its key is valid at all workers"
        );
    }
}

#[test]
fn a_request_with_key_that_may_have_run_is_rejected_only_if_its_key_is_valid_at_all_workers() {
    for (idempotency, rejected) in
        [(WITH_KEY_AT_ALL_WORKERS, true), (WITH_KEY_IN_CELL, false), (WITH_KEY_IN_ZONE, false)]
    {
        let (mut harness, _) = harness_with_sent_request(idempotency);
        harness.update_endpoints(EndpointUpdateKind::Full, &[]);
        harness.complete(1, 0, Outcome::Reset);
        assert_eq!(harness.is_rejected(), rejected, "{idempotency:?}");
        assert_eq!(harness.is_failed(), !rejected, "{idempotency:?}");
    }
}

#[test]
fn a_timeout_at_the_deadline_fails_the_request() {
    let (mut harness, _) = harness_with_sent_request(Idempotency::Idempotent);
    harness.now += 10 * SECOND;
    harness.complete(1, 0, Outcome::TimedOut);
    assert!(harness.is_failed() && harness.sent_worker().is_none());
}

#[test]
fn a_retry_that_would_be_late_is_not_sent() {
    let (mut harness, _) = harness_with_sent_request(Idempotency::Idempotent);
    harness.now += 5 * SECOND;
    harness.complete(1, 0, Outcome::Error);
    assert!(
        harness.sent_worker().is_none() && harness.is_rejected(),
        "the latency objective has passed, and the client may retry safely"
    );
}

#[test]
fn the_number_of_attempts_is_limited() {
    let endpoints: Vec<_> = (0..20).map(endpoint).collect();
    let mut harness = Harness::new(settings(Idempotency::Idempotent), &endpoints);
    harness.offer(1, 0.01);
    let mut attempts = 1;
    while harness.sent_worker().is_some() {
        harness.complete(1, attempts - 1, Outcome::Rejected);
        attempts += 1;
    }
    assert_eq!(attempts, 5, "four attempts, then the final response");
    assert!(harness.is_rejected());
}

#[test]
fn nothing_is_sent_to_a_draining_or_removed_worker() {
    for state in [WorkerState::Draining, WorkerState::Removed] {
        let mut harness = Harness::new(settings(Idempotency::Idempotent), &[endpoint(0), endpoint(1)]);
        harness.update_endpoints(EndpointUpdateKind::Changes, &[Endpoint { state, ..endpoint(0) }]);
        for i in 0..20 {
            harness.offer(i, 0.01);
            assert_ne!(harness.sent_worker(), Some(0));
        }
        harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0)]);
        harness.offer(30, 0.01);
        assert_eq!(harness.sent_worker(), Some(0), "the full list names worker 0 and not worker 1");
    }
}

#[test]
fn an_endpoint_update_of_an_older_version_changes_nothing() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), &[endpoint(0)]);
    harness.update_endpoints(
        EndpointUpdateKind::Changes,
        &[Endpoint { state: WorkerState::Draining, ..endpoint(0) }],
    );
    let stale = EndpointUpdate { kind: EndpointUpdateKind::Changes, version: 1, endpoints: &[endpoint(0)] };
    harness.handle(Event::Endpoints(stale));
    harness.offer(1, 0.1);
    assert!(harness.is_rejected());
}

#[test]
fn the_same_events_give_the_same_actions() {
    let trace = || {
        let endpoints: Vec<_> = (0..9).map(endpoint).collect();
        let mut harness = Harness::seeded(settings(Idempotency::Idempotent), &endpoints, 5);
        let mut all = Vec::new();
        for i in 0..50 {
            harness.now += 10 * MS;
            all.extend_from_slice(harness.offer(i, 0.3));
        }
        all
    };
    assert_eq!(trace(), trace());
}

#[test]
fn unknown_requests_and_repeated_outcomes_are_ignored() {
    let mut harness = Harness::new(settings(Idempotency::Idempotent), &[endpoint(0)]);
    assert!(harness.complete(99, 0, Outcome::Served).is_empty());
    assert!(harness.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(99)))).is_empty());
    assert!(harness.handle(Event::ClientDisconnected(RequestId(99))).is_empty());
    let progress = Progress::Started;
    assert!(
        harness.handle(Event::AttemptProgress { request: RequestId(99), attempt: 3, progress }).is_empty()
    );
    harness.offer(1, 0.1);
    assert!(harness.complete(1, 7, Outcome::Error).is_empty(), "the request has no attempt 7");
    harness.complete(1, 0, Outcome::Served);
    assert!(harness.complete(1, 0, Outcome::Error).is_empty(), "a second outcome of the same attempt");
}

/// Guards against requests that wait at a worker that hangs, slows down or has a longer queue than it
/// reported: the request is hedged, and the first attempt to start cancels the other.
#[test]
fn a_request_that_does_not_start_is_hedged_and_one_attempt_runs() {
    let (mut harness, first) = harness_with_sent_request(Idempotency::Idempotent);
    for i in 10..20 {
        // Each request adds to the hedge budget.
        harness.offer(i, 0.01);
        harness.complete(i, 0, Outcome::Served);
    }
    harness.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(1))));
    let hedge = harness.sent_worker().expect("a hedge is sent");
    assert_ne!(hedge, first);
    harness.start_attempt(1, 1);
    assert_eq!(harness.actions, [Action::Cancel { request: RequestId(1), attempt: 0 }]);
    harness.complete(1, 0, Outcome::Cancelled);
    assert!(harness.actions.is_empty(), "the hedge still runs");
}

#[test]
fn a_request_that_does_not_start_is_moved_to_another_worker_where_hedging_is_not_allowed() {
    let endpoints: Vec<_> = (0..4).map(endpoint).collect();
    let mut harness =
        Harness::new(Settings { hedging_allowed: false, ..settings(Idempotency::Idempotent) }, &endpoints);
    for i in 10..20 {
        harness.offer(i, 0.01);
        harness.complete(i, 0, Outcome::Served);
    }
    harness.offer(1, 0.2);
    let first = harness.sent_worker();
    harness.now += 100 * MS;
    harness.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(1))));
    assert_eq!(harness.actions, [Action::Cancel { request: RequestId(1), attempt: 0 }]);
    harness.complete(1, 0, Outcome::Cancelled);
    assert!(harness.sent_worker().is_some() && harness.sent_worker() != first);
}

#[test]
fn a_non_idempotent_request_is_never_hedged_or_moved() {
    for hedging_allowed in [false, true] {
        let endpoints: Vec<_> = (0..4).map(endpoint).collect();
        let mut harness =
            Harness::new(Settings { hedging_allowed, ..settings(Idempotency::NonIdempotent) }, &endpoints);
        for i in 10..20 {
            harness.offer(i, 0.01);
            harness.complete(i, 0, Outcome::Served);
        }
        harness.offer(1, 0.2);
        harness.now += 100 * MS;
        assert!(harness.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(1)))).is_empty());
    }
}
