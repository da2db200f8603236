//! Failures that are on no list, singly and in pairs: what the module does and does not do.
mod common;
use common::{Harness, MS, class, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    Discovery, Endpoint, EndpointUpdateKind, Event, Idempotency, IncomingRequest, LoadReport, Micros,
    Outcome, SECOND, Settings, Timer,
};

const IDLE: LoadReport =
    LoadReport { queue: Some(0.0), in_flight: None, utilization: None, qps: None, free_slots: Some(2.0) };

fn fleet(count: u32) -> Vec<Endpoint> {
    (0..count).map(|i| Endpoint { zone: i % 2, ..endpoint(i) }).collect()
}

/// Sends requests one after the other and completes each as given for its worker; returns the attempts a worker.
fn run_sequentially(
    harness: &mut Harness,
    requests: std::ops::Range<u64>,
    ends: impl Fn(u32) -> (Outcome, Micros),
) -> Vec<u32> {
    let mut sends = vec![0; 16];
    for id in requests {
        harness.offer(id, 0.2);
        let mut attempt = 0;
        while let Some(worker) = harness.sent_worker() {
            sends[worker as usize] += 1;
            let (outcome, takes) = ends(worker);
            if outcome == Outcome::Served {
                harness.start_attempt(id, attempt);
            }
            harness.now += takes;
            harness.complete_with_report(id, attempt, outcome, (outcome == Outcome::Served).then_some(IDLE));
            attempt += 1;
        }
    }
    sends
}

/// Sends requests that stay in flight; returns how many go to the workers in question.
fn count_in_flight_at(
    harness: &mut Harness,
    requests: std::ops::Range<u64>,
    is_counted: impl Fn(u32) -> bool,
) -> usize {
    requests
        .filter(|&id| {
            harness.offer(id, 0.2);
            harness.sent_worker().is_some_and(&is_counted)
        })
        .count()
}

const SERVED: (Outcome, Micros) = (Outcome::Served, 200 * MS);

#[test]
fn a_hung_worker_is_avoided_after_its_timeouts() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &fleet(4));
    let hung = |w| if w == 0 { (Outcome::TimedOut, 10 * SECOND) } else { SERVED };
    run_sequentially(&mut harness, 0..40, hung);
    let sends = run_sequentially(&mut harness, 100..140, hung);
    assert!(sends[0] <= 4, "fewer than one in ten: {sends:?}");
}

#[test]
fn requests_in_flight_at_a_hung_worker_keep_new_ones_away_at_once() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &fleet(2));
    let mut held = [0; 2];
    // Nothing comes back from worker 0; the other serves.
    for id in 0..60 {
        harness.offer(id, 0.1);
        let Some(worker) = harness.sent_worker() else { continue };
        held[worker as usize] += 1;
        if worker == 1 {
            harness.now += 100 * MS;
            harness.complete_with_report(id, 0, Outcome::Served, Some(IDLE));
        }
    }
    assert!(held[0] < 12 && held[1] > 40, "{held:?}");
}

#[test]
fn a_crashed_worker_costs_an_attempt_and_the_requests_are_retried_elsewhere() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &fleet(4));
    let crashed = |w| if w == 0 { (Outcome::ConnectFailed, 50 * MS) } else { SERVED };
    let sends = run_sequentially(&mut harness, 0..60, crashed);
    assert_eq!(sends[1] + sends[2] + sends[3], 60, "every request was served: {sends:?}");
    assert!(sends[0] < 15, "and the dead one is passed over: {sends:?}");
}

#[test]
fn when_all_workers_slow_down_together_none_is_avoided() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &fleet(4));
    run_sequentially(&mut harness, 0..40, |_| SERVED);
    let sends = run_sequentially(&mut harness, 100..180, |_| (Outcome::Served, 500 * MS));
    let (least, most) = (sends[..4].iter().min(), sends[..4].iter().max());
    assert!(least > Some(&5) && most < Some(&45), "all stay in use: {sends:?}");
}

#[test]
fn a_paused_worker_that_comes_back_is_used_again() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &fleet(2));
    let paused = |w| if w == 0 { (Outcome::Reset, SECOND) } else { SERVED };
    run_sequentially(&mut harness, 0..30, paused);
    for _ in 0..60 {
        harness.now += SECOND;
        harness.handle(Event::TimerExpired(Timer::PeriodicRefresh));
    }
    assert!(count_in_flight_at(&mut harness, 100..104, |w| w == 0) > 0);
}

#[test]
fn a_partitioned_zone_is_avoided_and_tried_again() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &fleet(6));
    let cut = |w| if w % 2 == 1 { (Outcome::ConnectFailed, 250 * MS) } else { SERVED };
    run_sequentially(&mut harness, 0..60, cut);
    let sends = run_sequentially(&mut harness, 100..160, cut);
    let away: u32 = sends.iter().skip(1).step_by(2).sum();
    assert!(away < 20, "{sends:?}");
    for _ in 0..60 {
        harness.now += SECOND;
        harness.handle(Event::TimerExpired(Timer::PeriodicRefresh));
    }
    assert!(count_in_flight_at(&mut harness, 200..212, |w| w % 2 == 1) > 0);
}

#[test]
fn a_shrinking_fleet_rejects_what_no_longer_fits_and_loses_nothing() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &fleet(8));
    let mut out = Vec::new();
    let mut rejected = 0;
    for id in 0..80 {
        if id % 10 == 9 {
            harness.update_endpoints(EndpointUpdateKind::Full, &fleet(8 - id as u32 / 10));
        }
        harness.offer(id, 0.3);
        match harness.sent_worker() {
            Some(worker) => {
                assert!(worker < 8.min(9 - (id as u32 + 1) / 10), "a worker of the present list");
                out.push(id);
            }
            None => rejected += u32::from(harness.is_rejected()),
        }
    }
    assert_eq!(out.len() + rejected as usize, 80);
    assert!(rejected > 10 && out.len() > 20);
    // Jobs of workers that have left still end: what never ran is rejected, what may have run fails.
    harness.update_endpoints(EndpointUpdateKind::Full, &[]);
    for (index, &id) in out.iter().enumerate() {
        let outcome = if index % 2 == 0 { Outcome::Reset } else { Outcome::ConnectFailed };
        harness.complete(id, 0, outcome);
        assert_eq!((harness.is_failed(), harness.is_rejected()), (index % 2 == 0, index % 2 == 1));
    }
}

#[test]
fn a_restart_with_a_stale_list_copes_with_dead_and_warming_workers() {
    // The remembered list names workers 0 to 3; 0 is gone for good, 1 has restarted since.
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &fleet(4));
    let stale = |w| if w == 0 { (Outcome::ConnectFailed, 50 * MS) } else { SERVED };
    let sends = run_sequentially(&mut harness, 0..20, stale);
    assert_eq!(sends[1..4].iter().sum::<u32>(), 20);
    let mut current = fleet(4);
    current.remove(0);
    current[0].started_at = Some(harness.now);
    harness.update_endpoints(EndpointUpdateKind::Full, &current);
    let sends = run_sequentially(&mut harness, 100..110, stale);
    assert_eq!(sends[0], 0, "gone");
    assert!(sends[1] <= 2, "warming up: {sends:?}");
}

#[test]
fn slow_workers_and_failing_discovery_together_leave_the_rest_in_use() {
    let settings = Settings { discovery: Discovery::Polled, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, &fleet(4));
    let slow = |w| (Outcome::Served, if w < 2 { 1_000 * MS } else { 200 * MS });
    run_sequentially(&mut harness, 0..40, slow);
    harness.update_endpoints(EndpointUpdateKind::Failed, &[]);
    let sends = run_sequentially(&mut harness, 100..140, slow);
    assert!(sends[2] + sends[3] > 30, "{sends:?}");
}

// A worker may take the requests of one class and hang: it shows before the deadline,
// and only that class goes elsewhere.
#[test]
fn a_class_that_hangs_at_one_worker_is_sent_elsewhere() {
    let classes = vec![class(Idempotency::NonIdempotent), class(Idempotency::NonIdempotent)];
    let endpoints = [endpoint(0), endpoint(1)];
    let mut harness = Harness::new(Settings { classes, ..settings(Idempotency::NonIdempotent) }, &endpoints);
    let mut hits = [[0; 2]; 2];
    let mut silent = std::collections::VecDeque::new();
    for request in 0..300 {
        let class = (request % 2) as u32;
        harness.handle(Event::Request(IncomingRequest { class, ..incoming_request(request, 0.2) }));
        let worker = harness.sent_worker().expect("sent");
        hits[class as usize][worker as usize] += usize::from(request >= 100);
        harness.now += 100 * MS;
        if (class, worker) == (1, 0) {
            silent.push_back(request);
        } else {
            harness.complete(request, 0, Outcome::Served);
        }
        if silent.front().is_some_and(|&first| first + 20 < request) {
            // Its client goes, which says nothing of the worker.
            let first = silent.pop_front().expect("one");
            harness.complete(first, 0, Outcome::Cancelled);
        }
        if request % 10 == 9 {
            harness.handle(Event::TimerExpired(Timer::PeriodicRefresh));
        }
    }
    let [[other_class, _], [lost, well]] = hits;
    assert!(lost * 4 < well && other_class * 4 > 100, "{hits:?}");
}
