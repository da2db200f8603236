//! The four rules, singly and as invariants over seeded random events.
mod common;
use common::*;
use copperspread_dispatcher::*;
use std::collections::HashMap;

const KEYED_ALL: Idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::All, window: 5 * SECOND };
const KEYED_CELL: Idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::Cell, window: 5 * SECOND };
const KEYED_ZONE: Idempotency = Idempotency::IdempotentWithKey { scope: KeyScope::Zone, window: 5 * SECOND };
const CONNECT: Micros = 250 * MS;

fn sent_to_one_of_four(effect: Idempotency) -> (Node, u32) {
    let entries: Vec<_> = (0..4).map(|i| Endpoint { zone: i / 2, ..entry(i) }).collect();
    let mut node = Node::new(settings(effect), &entries);
    node.job(1, 0.2);
    let first = node.sent().expect("sent");
    node.now += 50 * MS;
    (node, first)
}

#[test]
fn an_unsafe_job_that_may_have_run_fails_without_another_attempt() {
    for outcome in [Outcome::Error, Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        let (mut node, _) = sent_to_one_of_four(Idempotency::NonIdempotent);
        node.outcome(1, 0, outcome);
        assert!(node.failed() && node.sent().is_none() && !node.refused(), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_job_that_never_ran_goes_elsewhere() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Superseded] {
        let (mut node, first) = sent_to_one_of_four(Idempotency::NonIdempotent);
        node.outcome(1, 0, outcome);
        assert!(node.sent().is_some_and(|next| next != first), "{outcome:?}");
    }
}

#[test]
fn a_keyed_job_that_may_have_run_stays_in_its_group_and_window() {
    for _ in 0..4 {
        let (mut node, first) = sent_to_one_of_four(KEYED_CELL);
        node.outcome(1, 0, Outcome::Reset);
        assert_eq!(node.sent(), Some(first ^ 1), "the other worker of the cell");
    }
    let (mut node, first) = sent_to_one_of_four(KEYED_ZONE);
    node.outcome(1, 0, Outcome::Reset);
    assert_eq!(node.sent().map(|w| w / 2), Some(first / 2), "the zone");
    let (mut node, _) = sent_to_one_of_four(KEYED_ALL);
    node.now += 6 * SECOND;
    node.outcome(1, 0, Outcome::Reset);
    assert!(node.sent().is_none(), "the workers have forgotten the key");
}

/// Guards against a repeat that is decided on within the window and written after it: its connection may
/// take as long as the settings allow to come up.
#[test]
fn a_keyed_job_goes_on_only_if_it_can_be_written_within_its_window() {
    const WINDOW: Micros = 500 * MS;
    for (after, goes_on) in [(0, true), (190, true), (210, false), (300, false), (499, false)] {
        let entries: Vec<_> = (0..4).map(entry).collect();
        let effect = Idempotency::IdempotentWithKey { scope: KeyScope::All, window: WINDOW };
        let mut node = Node::new(Settings { connect_timeout: CONNECT, ..settings(effect) }, &entries);
        node.job(1, 0.2);
        // The first attempt never ran: its time does not count.
        node.now += 400 * MS;
        node.outcome(1, 0, Outcome::ConnectFailed);
        assert!(node.sent().is_some(), "what never ran goes on");
        node.now += after * MS;
        node.outcome(1, 1, Outcome::Reset);
        assert_eq!(node.sent().is_some(), goes_on, "{after} ms after the first that may have run");
        assert_eq!(node.refused(), !goes_on, "all workers know its key");
    }
}

#[test]
fn a_keyed_job_that_may_have_run_is_refused_only_if_all_workers_know_it() {
    for (effect, refused) in [(KEYED_ALL, true), (KEYED_CELL, false), (KEYED_ZONE, false)] {
        let (mut node, _) = sent_to_one_of_four(effect);
        node.roster(EndpointUpdateKind::Full, &[]);
        node.outcome(1, 0, Outcome::Reset);
        assert_eq!(node.refused(), refused, "{effect:?}");
        assert_eq!(node.failed(), !refused, "{effect:?}");
    }
}

#[test]
fn a_timeout_at_the_deadline_is_answered_with_a_failure() {
    let (mut node, _) = sent_to_one_of_four(Idempotency::Idempotent);
    node.now += 10 * SECOND;
    node.outcome(1, 0, Outcome::TimedOut);
    assert!(node.failed() && node.sent().is_none());
}

#[test]
fn a_late_resend_is_dropped() {
    let (mut node, _) = sent_to_one_of_four(Idempotency::Idempotent);
    node.now += 5 * SECOND;
    node.outcome(1, 0, Outcome::Error);
    assert!(node.sent().is_none() && node.refused(), "the aim has passed: harmless to try again");
}

#[test]
fn attempts_are_capped() {
    let entries: Vec<_> = (0..20).map(entry).collect();
    let mut node = Node::new(settings(Idempotency::Idempotent), &entries);
    node.job(1, 0.01);
    let mut attempts = 1;
    while node.sent().is_some() {
        node.outcome(1, attempts - 1, Outcome::Rejected);
        attempts += 1;
    }
    assert_eq!(attempts, 5, "four attempts, then the answer");
    assert!(node.refused());
}

#[test]
fn nothing_goes_to_a_worker_that_drains_or_is_gone() {
    for state in [WorkerState::Draining, WorkerState::Removed] {
        let mut node = Node::new(settings(Idempotency::Idempotent), &[entry(0), entry(1)]);
        node.roster(EndpointUpdateKind::Changes, &[Endpoint { state, ..entry(0) }]);
        for i in 0..20 {
            node.job(i, 0.01);
            assert_ne!(node.sent(), Some(0));
        }
        node.roster(EndpointUpdateKind::Full, &[entry(0)]);
        node.job(30, 0.01);
        assert_eq!(node.sent(), Some(0), "back in the full list, and the other one gone with it");
    }
}

#[test]
fn an_old_list_changes_nothing() {
    let mut node = Node::new(settings(Idempotency::Idempotent), &[entry(0)]);
    node.roster(EndpointUpdateKind::Changes, &[Endpoint { state: WorkerState::Draining, ..entry(0) }]);
    let stale = EndpointUpdate { kind: EndpointUpdateKind::Changes, version: 1, endpoints: &[entry(0)] };
    node.handle(Event::Endpoints(stale));
    node.job(1, 0.1);
    assert!(node.refused());
}

/// What the checker knows of one request.
#[derive(Default)]
struct Seen {
    /// Per attempt: worker, when it was sent, its outcome if in.
    attempts: Vec<(u32, Micros, Option<Outcome>)>,
    answers: u32,
    closed: bool,
    deadline: Micros,
}

/// Plays random events and checks the rules on every action.
fn play(effect: Idempotency, second_copies: bool, seed: u64) -> (u32, u32) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let entries: Vec<_> = (0..6).map(|i| Endpoint { zone: i / 3, kind: i % 2, ..entry(i) }).collect();
    let settings = Settings { hedging_allowed: second_copies, connect_timeout: CONNECT, ..settings(effect) };
    let mut node = Node::seeded(settings, &entries, seed);
    let mut ready = [true; 6];
    let mut seen: HashMap<u64, Seen> = HashMap::new();
    let (mut next, mut sends, mut ended) = (0, 0, 0);
    for _ in 0..400 {
        node.now += rng.u64(0..200 * MS);
        // Attempts past their deadline time out first, as the node's network would see to.
        let out: Vec<(u64, u32)> = seen
            .iter()
            .flat_map(|(&id, s)| s.attempts.iter().enumerate().map(move |(n, a)| (id, n as u32, a.2)))
            .filter_map(|(id, n, outcome)| outcome.is_none().then_some((id, n)))
            .collect();
        let mut out = out;
        out.sort_unstable();
        let overdue = out.iter().copied().find(|(id, _)| seen[id].deadline <= node.now);
        let pick = |rng: &mut fastrand::Rng| out.get(rng.usize(0..out.len().max(1))).copied();
        match (overdue, rng.u32(0..10)) {
            (Some((id, n)), _) => end(&mut node, &mut seen, id, n, Outcome::TimedOut),
            (None, 0..=3) => {
                let deadline = node.now + 10 * SECOND;
                seen.insert(next, Seen { deadline, ..Seen::default() });
                node.job(next, rng.f64() * 0.5);
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
                match pick(&mut rng) {
                    Some((id, n)) => end(&mut node, &mut seen, id, n, outcome),
                    None => continue,
                }
            }
            (None, 7) => {
                let worker = rng.usize(0..6);
                ready[worker] = rng.bool();
                let state = if ready[worker] { WorkerState::Ready } else { WorkerState::Draining };
                node.roster(EndpointUpdateKind::Changes, &[Endpoint { state, ..entries[worker] }]);
            }
            (None, 8) => {
                let Some((id, _)) = pick(&mut rng) else { continue };
                node.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(id))));
            }
            (None, _) => {
                let Some((id, n)) = pick(&mut rng) else { continue };
                if rng.u32(0..4) == 0 {
                    seen.get_mut(&id).expect("known").closed = true;
                    node.handle(Event::ClientDisconnected(RequestId(id)));
                } else {
                    let progress = Progress::Started;
                    node.handle(Event::AttemptProgress { request: RequestId(id), attempt: n, progress });
                }
            }
        }
        for action in node.actions.clone() {
            match action {
                Action::Send { request, worker, .. } => {
                    sends += 1;
                    assert!(ready[worker.0 as usize], "seed {seed}: sent to a drained worker");
                    let s = seen.get_mut(&request.0).expect("a known request");
                    assert!(!s.closed && s.answers == 0, "seed {seed}: sent after the end");
                    assert!(node.now < s.deadline && s.attempts.len() < 4);
                    let out = s.attempts.iter().any(|a| a.2.is_none());
                    assert!(second_copies || !out, "seed {seed}: a second copy");
                    let ran = s.attempts.iter().find(|a| a.2.is_none_or(|o| !o.never_ran()));
                    match (effect, ran) {
                        (Idempotency::NonIdempotent, ran) => assert!(ran.is_none(), "seed {seed}: ran twice"),
                        (Idempotency::IdempotentWithKey { scope, window }, Some(&(first, at, _))) => {
                            let written_by = node.now + CONNECT + DISPATCH_SLACK;
                            assert!(written_by <= at + window, "seed {seed}: after the window");
                            let (a, b) = (entries[first as usize], entries[worker.0 as usize]);
                            assert!(match scope {
                                KeyScope::All => true,
                                KeyScope::Zone => a.zone == b.zone,
                                KeyScope::Cell => a.cell == b.cell,
                            });
                        }
                        _ => {}
                    }
                    s.attempts.push((worker.0, node.now, None));
                }
                Action::Reject { request, .. } | Action::Fail { request } => {
                    ended += 1;
                    let s = seen.get_mut(&request.0).expect("a known request");
                    assert!(!s.closed, "seed {seed}: an answer after the end");
                    s.answers += 1;
                    s.closed = true;
                    let ran = s.attempts.iter().any(|a| a.2.is_none_or(|o| !o.never_ran()));
                    if matches!(action, Action::Reject { .. }) && ran {
                        let all =
                            matches!(effect, Idempotency::IdempotentWithKey { scope: KeyScope::All, .. });
                        assert!(effect == Idempotency::Idempotent || all, "seed {seed}: a wrong refusal");
                    }
                }
                _ => {}
            }
        }
        for (id, s) in &seen {
            let out = s.attempts.iter().any(|a| a.2.is_none());
            assert!(s.closed || out, "seed {seed}: request {id} is held with nothing out");
        }
    }
    (sends, ended)
}

fn end(node: &mut Node, seen: &mut HashMap<u64, Seen>, id: u64, n: u32, outcome: Outcome) {
    let s = seen.get_mut(&id).expect("known");
    s.attempts[n as usize].2 = Some(outcome);
    let finished = s.closed || outcome == Outcome::Served;
    s.closed = finished;
    node.handle(Event::AttemptCompleted(AttemptOutcome {
        request: RequestId(id),
        attempt: n,
        outcome,
        request_finished: finished,
        elapsed: 100 * MS,
        report: None,
    }));
}

#[test]
fn the_rules_hold_over_random_events() {
    for effect in [Idempotency::Idempotent, Idempotency::NonIdempotent, KEYED_ALL, KEYED_ZONE, KEYED_CELL] {
        for second_copies in [false, true] {
            let (mut sends, mut ended) = (0, 0);
            for seed in 0..25 {
                let (s, e) = play(effect, second_copies, seed);
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
        let entries: Vec<_> = (0..9).map(entry).collect();
        let mut node = Node::seeded(settings(Idempotency::Idempotent), &entries, 5);
        let mut all = Vec::new();
        for i in 0..50 {
            node.now += 10 * MS;
            all.extend_from_slice(node.job(i, 0.3));
        }
        all
    };
    assert_eq!(trace(), trace());
}

#[test]
fn strangers_and_leftovers_are_ignored() {
    let mut node = Node::new(settings(Idempotency::Idempotent), &[entry(0)]);
    assert!(node.outcome(99, 0, Outcome::Served).is_empty());
    assert!(node.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(99)))).is_empty());
    assert!(node.handle(Event::ClientDisconnected(RequestId(99))).is_empty());
    let progress = Progress::Started;
    assert!(node.handle(Event::AttemptProgress { request: RequestId(99), attempt: 3, progress }).is_empty());
    node.job(1, 0.1);
    assert!(node.outcome(1, 7, Outcome::Error).is_empty(), "an attempt never made");
    node.outcome(1, 0, Outcome::Served);
    assert!(node.outcome(1, 0, Outcome::Error).is_empty(), "a second outcome of the same attempt");
}

/// A worker whose queue is longer than any report told, that hangs or slows down: the job gets a
/// copy, and the first to start calls the other off.
#[test]
fn a_job_that_does_not_start_gets_a_copy_and_one_of_them_runs() {
    let (mut node, first) = sent_to_one_of_four(Idempotency::Idempotent);
    for i in 10..20 {
        // Copies are earned by jobs.
        node.job(i, 0.01);
        node.outcome(i, 0, Outcome::Served);
    }
    node.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(1))));
    let copy = node.sent().expect("a copy");
    assert_ne!(copy, first);
    let progress = Progress::Started;
    node.handle(Event::AttemptProgress { request: RequestId(1), attempt: 1, progress });
    assert_eq!(node.actions, [Action::Cancel { request: RequestId(1), attempt: 0 }]);
    node.outcome(1, 0, Outcome::Cancelled);
    assert!(node.actions.is_empty(), "the copy still runs");
}

#[test]
fn where_two_copies_may_not_be_out_it_moves() {
    let entries: Vec<_> = (0..4).map(entry).collect();
    let mut node =
        Node::new(Settings { hedging_allowed: false, ..settings(Idempotency::Idempotent) }, &entries);
    for i in 10..20 {
        node.job(i, 0.01);
        node.outcome(i, 0, Outcome::Served);
    }
    node.job(1, 0.2);
    let first = node.sent();
    node.now += 100 * MS;
    node.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(1))));
    assert_eq!(node.actions, [Action::Cancel { request: RequestId(1), attempt: 0 }]);
    node.outcome(1, 0, Outcome::Cancelled);
    assert!(node.sent().is_some() && node.sent() != first);
}

#[test]
fn an_unsafe_job_is_never_copied_or_moved() {
    for second_copies in [false, true] {
        let entries: Vec<_> = (0..4).map(entry).collect();
        let mut node = Node::new(
            Settings { hedging_allowed: second_copies, ..settings(Idempotency::NonIdempotent) },
            &entries,
        );
        for i in 10..20 {
            node.job(i, 0.01);
            node.outcome(i, 0, Outcome::Served);
        }
        node.job(1, 0.2);
        node.now += 100 * MS;
        assert!(node.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(1)))).is_empty());
    }
}
