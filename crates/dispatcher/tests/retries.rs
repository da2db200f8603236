//! The four rules, singly and as invariants over seeded random events.
mod common;
use common::{Harness, MS, endpoint, settings};
use copperspread_dispatcher::{
    Action, AttemptOutcome, DISPATCH_SLACK, Endpoint, EndpointUpdate, EndpointUpdateKind, Event, Idempotency,
    KeyScope, Micros, Outcome, Progress, RequestId, SECOND, Settings, Timer, WorkerState,
};
use std::collections::HashMap;

const KEYED_ALL: Idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::All, window: 5 * SECOND };
const KEYED_CELL: Idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::Cell, window: 5 * SECOND };
const KEYED_ZONE: Idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::Zone, window: 5 * SECOND };
const CONNECT_TIMEOUT: Micros = 250 * MS;

fn sent_to_one_of_four(idempotency: Idempotency) -> (Harness, u32) {
    let endpoints: Vec<_> = (0..4).map(|i| Endpoint { zone: i / 2, ..endpoint(i) }).collect();
    let mut harness = Harness::new(settings(idempotency), &endpoints);
    harness.offer(1, 0.2);
    let first = harness.sent_worker().expect("sent");
    harness.now += 50 * MS;
    (harness, first)
}

#[test]
fn an_unsafe_job_that_may_have_run_fails_without_another_attempt() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        let (mut harness, _) = sent_to_one_of_four(Idempotency::NonIdempotent);
        harness.complete(1, 0, outcome);
        assert!(
            harness.is_failed() && harness.sent_worker().is_none() && !harness.is_rejected(),
            "{outcome:?}"
        );
    }
}

#[test]
fn an_unsafe_job_that_never_ran_goes_elsewhere() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Superseded] {
        let (mut harness, first) = sent_to_one_of_four(Idempotency::NonIdempotent);
        harness.complete(1, 0, outcome);
        assert!(harness.sent_worker().is_some_and(|next| next != first), "{outcome:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_scope_and_window() {
    for _ in 0..4 {
        let (mut harness, first) = sent_to_one_of_four(KEYED_CELL);
        harness.complete(1, 0, Outcome::Reset);
        assert_eq!(harness.sent_worker(), Some(first ^ 1), "the other worker of the cell");
    }
    let (mut harness, first) = sent_to_one_of_four(KEYED_ZONE);
    harness.complete(1, 0, Outcome::Reset);
    assert_eq!(harness.sent_worker().map(|w| w / 2), Some(first / 2), "the zone");
    let (mut harness, _) = sent_to_one_of_four(KEYED_ALL);
    harness.now += 6 * SECOND;
    harness.complete(1, 0, Outcome::Reset);
    assert!(harness.sent_worker().is_none(), "the workers have forgotten the key");
}

/// Guards against a repeat that is decided on within the window and written after it: its connection may
/// take as long as the settings allow to come up.
#[test]
fn a_keyed_request_is_retried_only_if_it_can_be_written_within_its_window() {
    const WINDOW: Micros = 500 * MS;
    for (after, goes_on) in [(0, true), (190, true), (210, false), (300, false), (499, false)] {
        let endpoints: Vec<_> = (0..4).map(endpoint).collect();
        let idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::All, window: WINDOW };
        let mut harness =
            Harness::new(Settings { connect_timeout: CONNECT_TIMEOUT, ..settings(idempotency) }, &endpoints);
        harness.offer(1, 0.2);
        // The first attempt never ran: its time does not count.
        harness.now += 400 * MS;
        harness.complete(1, 0, Outcome::ConnectFailed);
        assert!(harness.sent_worker().is_some(), "what never ran goes on");
        harness.now += after * MS;
        harness.complete(1, 1, Outcome::Reset);
        assert_eq!(harness.sent_worker().is_some(), goes_on, "{after} ms after the first that may have run");
        assert_eq!(harness.is_rejected(), !goes_on, "all workers know its key");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_rejected_only_if_all_workers_know_its_key() {
    for (idempotency, rejected) in [(KEYED_ALL, true), (KEYED_CELL, false), (KEYED_ZONE, false)] {
        let (mut harness, _) = sent_to_one_of_four(idempotency);
        harness.update_endpoints(EndpointUpdateKind::Full, &[]);
        harness.complete(1, 0, Outcome::Reset);
        assert_eq!(harness.is_rejected(), rejected, "{idempotency:?}");
        assert_eq!(harness.is_failed(), !rejected, "{idempotency:?}");
    }
}

#[test]
fn a_timeout_at_the_deadline_fails_the_request() {
    let (mut harness, _) = sent_to_one_of_four(Idempotency::Idempotent);
    harness.now += 10 * SECOND;
    harness.complete(1, 0, Outcome::TimedOut);
    assert!(harness.is_failed() && harness.sent_worker().is_none());
}

#[test]
fn a_retry_that_would_be_late_is_not_sent() {
    let (mut harness, _) = sent_to_one_of_four(Idempotency::Idempotent);
    harness.now += 5 * SECOND;
    harness.complete(1, 0, Outcome::Error);
    assert!(
        harness.sent_worker().is_none() && harness.is_rejected(),
        "the aim has passed: harmless to try again"
    );
}

#[test]
fn attempts_are_capped() {
    let endpoints: Vec<_> = (0..20).map(endpoint).collect();
    let mut harness = Harness::new(settings(Idempotency::Idempotent), &endpoints);
    harness.offer(1, 0.01);
    let mut attempts = 1;
    while harness.sent_worker().is_some() {
        harness.complete(1, attempts - 1, Outcome::Rejected);
        attempts += 1;
    }
    assert_eq!(attempts, 5, "four attempts, then the answer");
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
        assert_eq!(harness.sent_worker(), Some(0), "back in the full list, and the other one gone with it");
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

/// What the checker knows of one request.
#[derive(Default)]
struct RequestRecord {
    /// Per attempt: worker, when it was sent, its outcome if in.
    attempts: Vec<(u32, Micros, Option<Outcome>)>,
    responses: u32,
    closed: bool,
    deadline: Micros,
}

/// Plays random events and checks the rules on every action.
fn simulate(idempotency: Idempotency, hedging_allowed: bool, seed: u64) -> (u32, u32) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let endpoints: Vec<_> = (0..6).map(|i| Endpoint { zone: i / 3, kind: i % 2, ..endpoint(i) }).collect();
    let settings = Settings { hedging_allowed, connect_timeout: CONNECT_TIMEOUT, ..settings(idempotency) };
    let mut harness = Harness::seeded(settings, &endpoints, seed);
    let mut ready = [true; 6];
    let mut records: HashMap<u64, RequestRecord> = HashMap::new();
    let (mut next, mut sends, mut ended) = (0, 0, 0);
    for _ in 0..400 {
        harness.now += rng.u64(0..200 * MS);
        // Attempts past their deadline time out first, as the harness's network would see to.
        let out: Vec<(u64, u32)> = records
            .iter()
            .flat_map(|(&id, s)| s.attempts.iter().enumerate().map(move |(n, a)| (id, n as u32, a.2)))
            .filter_map(|(id, n, outcome)| outcome.is_none().then_some((id, n)))
            .collect();
        let mut out = out;
        out.sort_unstable();
        let overdue = out.iter().copied().find(|(id, _)| records[id].deadline <= harness.now);
        let random_attempt = |rng: &mut fastrand::Rng| out.get(rng.usize(0..out.len().max(1))).copied();
        match (overdue, rng.u32(0..10)) {
            (Some((id, n)), _) => end(&mut harness, &mut records, id, n, Outcome::TimedOut),
            (None, 0..=3) => {
                let deadline = harness.now + 10 * SECOND;
                records.insert(next, RequestRecord { deadline, ..RequestRecord::default() });
                harness.offer(next, rng.f64() * 0.5);
                next += 1;
            }
            (None, 4..=6) => {
                let outcomes = [
                    Outcome::Served,
                    Outcome::Error,
                    Outcome::Rejected,
                    Outcome::ConnectFailed,
                    Outcome::Reset,
                    Outcome::Cancelled,
                ];
                let outcome = outcomes[rng.usize(0..outcomes.len())];
                match random_attempt(&mut rng) {
                    Some((id, n)) => end(&mut harness, &mut records, id, n, outcome),
                    None => continue,
                }
            }
            (None, 7) => {
                let worker = rng.usize(0..6);
                ready[worker] = rng.bool();
                let state = if ready[worker] { WorkerState::Ready } else { WorkerState::Draining };
                harness.update_endpoints(
                    EndpointUpdateKind::Changes,
                    &[Endpoint { state, ..endpoints[worker] }],
                );
            }
            (None, 8) => {
                let Some((id, _)) = random_attempt(&mut rng) else { continue };
                harness.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(id))));
            }
            (None, _) => {
                let Some((id, n)) = random_attempt(&mut rng) else { continue };
                if rng.u32(0..4) == 0 {
                    records.get_mut(&id).expect("known").closed = true;
                    harness.handle(Event::ClientDisconnected(RequestId(id)));
                } else {
                    harness.start_attempt(id, n);
                }
            }
        }
        for action in harness.actions.clone() {
            match action {
                Action::Send { request, worker, .. } => {
                    sends += 1;
                    assert!(ready[worker.0 as usize], "seed {seed}: sent to a drained worker");
                    let s = records.get_mut(&request.0).expect("a known request");
                    assert!(!s.closed && s.responses == 0, "seed {seed}: sent after the end");
                    assert!(harness.now < s.deadline && s.attempts.len() < 4);
                    let out = s.attempts.iter().any(|a| a.2.is_none());
                    assert!(hedging_allowed || !out, "seed {seed}: a second hedge");
                    let ran = s.attempts.iter().find(|a| a.2.is_none_or(|o| !o.never_ran()));
                    match (idempotency, ran) {
                        (Idempotency::NonIdempotent, ran) => assert!(ran.is_none(), "seed {seed}: ran twice"),
                        (Idempotency::IdempotentWithKey { scope, window }, Some(&(first, at, _))) => {
                            let written_by = harness.now + CONNECT_TIMEOUT + DISPATCH_SLACK;
                            assert!(written_by <= at + window, "seed {seed}: after the window");
                            let (a, b) = (endpoints[first as usize], endpoints[worker.0 as usize]);
                            assert!(match scope {
                                KeyScope::All => true,
                                KeyScope::Zone => a.zone == b.zone,
                                KeyScope::Cell => a.cell == b.cell,
                            });
                        }
                        _ => {}
                    }
                    s.attempts.push((worker.0, harness.now, None));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    ended += 1;
                    let s = records.get_mut(&request.0).expect("a known request");
                    assert!(!s.closed, "seed {seed}: an answer after the end");
                    s.responses += 1;
                    s.closed = true;
                    let ran = s.attempts.iter().any(|a| a.2.is_none_or(|o| !o.never_ran()));
                    if matches!(action, Action::Reject { .. }) && ran {
                        let all = matches!(
                            idempotency,
                            Idempotency::IdempotentWithKey { scope: KeyScope::All, .. }
                        );
                        assert!(
                            idempotency == Idempotency::Idempotent || all,
                            "seed {seed}: a wrong refusal"
                        );
                    }
                }
                _ => {}
            }
        }
        for (id, s) in &records {
            let out = s.attempts.iter().any(|a| a.2.is_none());
            assert!(s.closed || out, "seed {seed}: request {id} is held with nothing out");
        }
    }
    (sends, ended)
}

fn end(harness: &mut Harness, records: &mut HashMap<u64, RequestRecord>, id: u64, n: u32, outcome: Outcome) {
    let s = records.get_mut(&id).expect("known");
    s.attempts[n as usize].2 = Some(outcome);
    let finished = s.closed || outcome == Outcome::Served;
    s.closed = finished;
    harness.handle(Event::AttemptCompleted(AttemptOutcome {
        request: RequestId(id),
        attempt: n,
        outcome,
        request_finished: finished,
        elapsed: 100 * MS,
        report: None,
    }));
}

#[test]
fn idempotency_and_retry_rules_hold_over_random_events() {
    for idempotency in
        [Idempotency::Idempotent, Idempotency::NonIdempotent, KEYED_ALL, KEYED_ZONE, KEYED_CELL]
    {
        for hedging_allowed in [false, true] {
            let (mut sends, mut ended) = (0, 0);
            for seed in 0..25 {
                let (s, e) = simulate(idempotency, hedging_allowed, seed);
                sends += s;
                ended += e;
            }
            assert!(sends > 1000 && ended > 100, "the play was lively: {sends} sends, {ended} ends");
        }
    }
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
    assert!(harness.complete(1, 7, Outcome::Error).is_empty(), "an attempt never made");
    harness.complete(1, 0, Outcome::Served);
    assert!(harness.complete(1, 0, Outcome::Error).is_empty(), "a second outcome of the same attempt");
}

/// A worker whose queue is longer than any report told, that hangs or slows down: the request gets a
/// hedge, and the first to start calls the other off.
#[test]
fn a_request_that_does_not_start_is_hedged_and_one_attempt_runs() {
    let (mut harness, first) = sent_to_one_of_four(Idempotency::Idempotent);
    for i in 10..20 {
        // Copies are earned by requests.
        harness.offer(i, 0.01);
        harness.complete(i, 0, Outcome::Served);
    }
    harness.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(1))));
    let hedge = harness.sent_worker().expect("a hedge");
    assert_ne!(hedge, first);
    harness.start_attempt(1, 1);
    assert_eq!(harness.actions, [Action::Cancel { request: RequestId(1), attempt: 0 }]);
    harness.complete(1, 0, Outcome::Cancelled);
    assert!(harness.actions.is_empty(), "the hedge still runs");
}

#[test]
fn a_request_that_does_not_start_moves_where_hedging_is_not_allowed() {
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
