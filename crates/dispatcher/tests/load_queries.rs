//! Load queries: when a dispatcher sends them, and how their outcomes change its estimates.
mod common;
use common::{Harness, MS, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    Action, Endpoint, EndpointUpdateKind, Event, Idempotency, IncomingRequest, LoadReport, Micros, Outcome,
    SECOND, Settings, Timer, WorkerId, WorkerState,
};

const FREE: LoadReport =
    LoadReport { queue: None, in_flight: Some(0.0), utilization: None, qps: None, free_slots: Some(4.0) };

/// A dispatcher whose workers have 4 slots each, report when requests start, and report their load only when
/// queried. Each worker has reported 4 free slots.
fn harness_with_queried_workers(count: u32) -> Harness {
    let mut settings = Settings {
        workers_report_load_only_on_query: true,
        load_query_cost: 0.002,
        ..settings(Idempotency::Idempotent)
    };
    // Long limits, so that no request is rejected on arrival.
    (settings.classes[0].latency_objective, settings.classes[0].deadline) = (100 * SECOND, 200 * SECOND);
    let workers: Vec<_> = (0..count).map(endpoint).collect();
    let mut harness = Harness::new(settings, &workers);
    (0..count).for_each(|worker| complete_load_query(&mut harness, worker, Outcome::Served, Some(FREE)));
    harness
}

fn complete_load_query(harness: &mut Harness, worker: u32, outcome: Outcome, report: Option<LoadReport>) {
    harness.handle(Event::LoadQueryCompleted { worker: WorkerId(worker), outcome, report });
}

fn long_deadline_request(id: u64, work: f64) -> IncomingRequest {
    IncomingRequest { time_left: 200 * SECOND, ..incoming_request(id, work) }
}

/// Sends a request of `slots` slots and `work` seconds of work, and starts its attempt at once; returns its
/// worker.
fn send_and_start(harness: &mut Harness, id: u64, slots: f64, work: f64) -> u32 {
    harness.handle(Event::Request(IncomingRequest { slots: Some(slots), ..long_deadline_request(id, work) }));
    let worker = harness.sent_worker().expect("the request is sent");
    harness.start_attempt(id, 0);
    worker
}

#[test]
fn a_request_of_many_slots_is_rejected_until_load_queries_show_the_slots() {
    // The request of 4 slots has little slack. Before any report a worker counts as having 2 slots, at which
    // the estimate is twice the service time.
    let with_load_queries = Settings {
        workers_report_load_only_on_query: true,
        load_query_cost: 0.002,
        ..settings(Idempotency::Idempotent)
    };
    let mut harness = Harness::new(with_load_queries, &[endpoint(0), endpoint(1)]);
    let request_of_4_slots = |id| IncomingRequest { slots: Some(4.0), ..incoming_request(id, 8.0) };
    harness.handle(Event::Request(IncomingRequest { time_left: 9 * SECOND, ..request_of_4_slots(1) }));
    assert!(harness.is_rejected(), "{:?}", harness.actions);
    (0..2).for_each(|worker| complete_load_query(&mut harness, worker, Outcome::Served, Some(FREE)));
    harness.handle(Event::Request(IncomingRequest { time_left: 9 * SECOND, ..request_of_4_slots(2) }));
    assert!(harness.sent_worker().is_some(), "{:?}", harness.actions);
}

#[test]
fn local_requests_too_recent_for_a_report_are_not_subtracted_from_it() {
    // This dispatcher's request of 3 slots is too recent for the report, so the 3 slots in flight belong to
    // requests of other dispatchers.
    let mut harness = harness_with_queried_workers(2);
    let first = send_and_start(&mut harness, 1, 3.0, 4.0);
    let taken = LoadReport { in_flight: Some(3.0), free_slots: Some(1.0), ..FREE };
    complete_load_query(&mut harness, first, Outcome::Served, Some(taken));
    complete_load_query(&mut harness, 1 - first, Outcome::Served, Some(taken));
    harness.handle(Event::Request(IncomingRequest { slots: Some(1.0), ..long_deadline_request(2, 1.0) }));
    assert_eq!(harness.sent_worker(), Some(1 - first), "6 slots are taken at the first worker");
    // A report that comes one second later includes the request.
    let mut harness = harness_with_queried_workers(2);
    let first = send_and_start(&mut harness, 1, 3.0, 4.0);
    harness.now += SECOND;
    complete_load_query(&mut harness, first, Outcome::Served, Some(taken));
    let full = LoadReport { in_flight: Some(12.0), free_slots: Some(0.0), ..FREE };
    complete_load_query(&mut harness, 1 - first, Outcome::Served, Some(full));
    harness.handle(Event::Request(IncomingRequest { slots: Some(1.0), ..long_deadline_request(2, 1.0) }));
    assert_eq!(
        harness.sent_worker(),
        Some(first),
        "the 3 slots in flight are this dispatcher's own, and one slot is free"
    );
}

#[test]
fn a_load_query_that_times_out_counts_as_load_and_not_as_a_failure() {
    let mut harness = harness_with_queried_workers(2);
    for _ in 0..10 {
        complete_load_query(&mut harness, 0, Outcome::TimedOut, None);
    }
    complete_load_query(&mut harness, 1, Outcome::Served, Some(FREE));
    assert_eq!(send_and_start(&mut harness, 1, 4.0, 0.2), 1, "worker 0 counts as loaded");
    // As soon as worker 0 responds, it ranks like an idle worker. A failure would lower its rank for seconds.
    complete_load_query(&mut harness, 0, Outcome::Served, Some(FREE));
    harness.now += 100 * MS;
    assert_eq!(send_and_start(&mut harness, 5, 4.0, 0.2), 0);
}

#[test]
fn a_response_without_a_load_report_leaves_the_last_one_in_use() {
    let mut harness = harness_with_queried_workers(2);
    let busy = LoadReport { in_flight: Some(8.0), free_slots: Some(0.0), ..FREE };
    send_and_start(&mut harness, 1, 1.0, 0.2);
    complete_load_query(&mut harness, 0, Outcome::Served, Some(busy));
    complete_load_query(&mut harness, 1, Outcome::Served, Some(FREE));
    harness.now += 200 * MS;
    harness.complete_with_report(1, 0, Outcome::Served, None);
    assert_eq!(send_and_start(&mut harness, 2, 4.0, 0.2), 1);
}

/// The number of load queries that a dispatcher sends in `seconds`, while it is offered `requests_per_second`
/// requests per second, each served at once.
fn count_load_queries(settings: Settings, workers: u32, seconds: u64, requests_per_second: u64) -> u64 {
    let workers: Vec<_> = (0..workers).map(endpoint).collect();
    let mut harness = Harness::new(settings, &workers);
    let (mut timers, mut count, mut id) = (vec![], 0, 0);
    let mut collect_actions = |harness: &Harness, timers: &mut Vec<(Micros, Timer)>| {
        for action in &harness.actions {
            match action {
                Action::StartTimer { after, timer } => timers.push((harness.now + after, *timer)),
                Action::QueryLoad { .. } => count += 1,
                _ => {}
            }
        }
    };
    collect_actions(&harness, &mut timers);
    let end = harness.now + seconds * SECOND;
    while harness.now < end {
        harness.now += SECOND / 100;
        if (harness.now / (SECOND / 100)).is_multiple_of(100 / requests_per_second) {
            id += 1;
            harness.offer(id, 0.1);
            collect_actions(&harness, &mut timers);
            harness.complete_with_report(id, 0, Outcome::Served, None);
            collect_actions(&harness, &mut timers);
        }
        let (due, later): (Vec<_>, Vec<_>) = timers.into_iter().partition(|(at, _)| *at <= harness.now);
        timers = later;
        for (_, timer) in due {
            harness.handle(Event::TimerExpired(timer));
            collect_actions(&harness, &mut timers);
        }
    }
    count
}

#[test]
fn load_queries_are_sent_only_where_needed_and_within_their_budget() {
    let with_load_queries = Settings {
        workers_report_load_only_on_query: true,
        load_query_cost: 0.002,
        ..settings(Idempotency::Idempotent)
    };
    assert_eq!(
        count_load_queries(settings(Idempotency::Idempotent), 10, 20, 10),
        0,
        "without `workers_report_load_only_on_query`, no load query is sent"
    );
    let few = count_load_queries(with_load_queries.clone(), 10, 20, 10);
    assert!((180..=220).contains(&few), "each worker is queried about once a second: {few}");
    let many = count_load_queries(with_load_queries.clone(), 200, 20, 1);
    assert!(
        (20..=125).contains(&many),
        "each request adds five to the budget, which starts at twenty: {many}"
    );
    let expensive = Settings { load_query_cost: 0.1, ..with_load_queries };
    assert!(count_load_queries(expensive, 10, 20, 10) <= 45, "at a higher cost, fewer are sent");
}

#[test]
fn a_draining_worker_gets_no_load_query() {
    let mut harness = harness_with_queried_workers(2);
    let draining = Endpoint { state: WorkerState::Draining, ..endpoint(1) };
    harness.update_endpoints(EndpointUpdateKind::Changes, &[draining]);
    for _ in 0..10 {
        harness.handle(Event::TimerExpired(Timer::LoadQuery));
        let queries_worker_1 =
            |action: &Action| matches!(action, Action::QueryLoad { worker } if worker.0 == 1);
        assert!(!harness.actions.iter().any(queries_worker_1), "{:?}", harness.actions);
    }
}
