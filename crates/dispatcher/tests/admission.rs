//! Worker selection and admission by service-time estimates, on worked examples.
mod common;
use common::{Harness, MS, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    Action, Dispatcher, Endpoint, EndpointUpdateKind, Event, Idempotency, IncomingRequest, LoadReport,
    Outcome, Rejection, RequestId, SECOND, Settings, WorkerId, WorkerState,
};

fn two_worker_kinds() -> [Endpoint; 2] {
    [endpoint(0), Endpoint { kind: 1, ..endpoint(1) }]
}

/// A dispatcher that has learned the rates of two worker kinds, in seconds of work served per second: 2 for
/// worker 0 and 0.5 for worker 1. Each worker has two slots.
fn harness_with_learned_kinds() -> Harness {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    let idle = Some(LoadReport { free_slots: Some(2.0), queue: Some(0.0), ..LoadReport::default() });
    for (worker, rate) in [(0, 2.0), (1, 0.5)] {
        harness.update_endpoints(EndpointUpdateKind::Full, &[two_worker_kinds()[worker as usize]]);
        for i in 0..60 {
            let request = 1000 * (1 + u64::from(worker)) + i;
            assert_eq!(harness.serve(request, 0.2, 0.2 / rate, idle), worker);
        }
    }
    harness.update_endpoints(EndpointUpdateKind::Full, &two_worker_kinds());
    harness
}

#[test]
fn the_worker_with_the_lowest_estimate_gets_the_request() {
    let mut harness = harness_with_learned_kinds();
    harness.offer(1, 1.0);
    assert_eq!(harness.sent_worker(), Some(0), "the fast worker is selected while it is idle");
}

#[test]
fn local_load_raises_the_estimate_until_the_slow_worker_has_the_lower_one() {
    let mut harness = harness_with_learned_kinds();
    let mut counts = [0; 2];
    for i in 0..12 {
        harness.offer(i, 0.2);
        if let Some(worker) = harness.sent_worker() {
            counts[worker as usize] += 1;
        }
    }
    assert!(counts[0] > counts[1] && counts[1] > 0, "both workers are used, the fast one more: {counts:?}");
}

#[test]
fn a_request_is_rejected_on_arrival_when_no_estimate_fits_its_time_left() {
    let mut harness = harness_with_learned_kinds();
    let mut sent = 0;
    for i in 0..200 {
        harness.offer(i, 1.0);
        assert!(harness.is_rejected() != harness.sent_worker().is_some(), "sent or rejected, never both");
        sent += usize::from(harness.sent_worker().is_some());
    }
    // The limit is the latency objective of 1 s plus twice the service time. On the fast worker (0.5 s per
    // request) that is 2 s, four times the service time, so its two slots take at most eight requests; on the
    // slow worker (2 s per request) it is 5 s, so they take at most five.
    assert!((4..=13).contains(&sent), "{sent} were sent");
    assert!(harness.is_rejected());
}

#[test]
fn time_spent_before_arrival_counts_against_the_latency_objective() {
    let mut harness = harness_with_learned_kinds();
    harness.offer(1, 0.2);
    assert!(harness.sent_worker().is_some());
    let late = IncomingRequest { time_left: 2 * SECOND, ..incoming_request(2, 0.2) };
    harness.handle(Event::Request(late));
    assert!(harness.is_rejected(), "8 s of 10 s have passed, and the latency objective is 1 s");
}

#[test]
fn the_first_request_of_a_class_is_not_taken_for_a_late_retry() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0)]);
    let short = IncomingRequest { time_left: 4 * SECOND, ..incoming_request(1, 0.2) };
    harness.handle(Event::Request(short));
    assert!(
        harness.sent_worker().is_some(),
        "a request with the longest time left of its class so far is not a late retry"
    );
}

// A few requests with little time left are late retries. Where many have as little, their clients use a
// shorter deadline, and the requests must be admitted.
#[test]
fn many_requests_with_little_time_left_are_not_taken_for_late_retries() {
    let mut harness = harness_with_learned_kinds();
    harness.offer(1, 0.2);
    let mut sent = Vec::new();
    for i in 2..22 {
        harness.handle(Event::Request(IncomingRequest { time_left: 2 * SECOND, ..incoming_request(i, 0.2) }));
        sent.push(harness.sent_worker().is_some());
        if harness.sent_worker().is_some() {
            harness.complete(i, 0, Outcome::Served);
        }
    }
    assert!(!sent[0] && sent[5..].iter().all(|&sent| sent), "{sent:?}");
    for i in 30..130 {
        harness.offer(i, 0.2);
        harness.complete(i, 0, Outcome::Served);
    }
    harness.handle(Event::Request(IncomingRequest { time_left: 2 * SECOND, ..incoming_request(130, 0.2) }));
    assert!(
        harness.is_rejected(),
        "after many requests with the usual time left, it counts as a late retry again"
    );
}

#[test]
fn ties_are_broken_at_random() {
    let endpoints: Vec<_> = (0..8).map(endpoint).collect();
    let mut selected = [false; 8];
    for seed in 0..100 {
        let mut harness = Harness::seeded(settings(Idempotency::NonIdempotent), &endpoints, seed);
        harness.offer(1, 0.1);
        selected[harness.sent_worker().expect("the request is sent") as usize] = true;
    }
    assert_eq!(selected, [true; 8]);
}

#[test]
fn only_ready_workers_of_the_class_kind_are_eligible() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].worker_kind = Some(1);
    let mut harness = Harness::new(settings, &two_worker_kinds());
    for i in 0..5 {
        harness.offer(i, 0.1);
        assert_eq!(harness.sent_worker(), Some(1));
    }
    harness.update_endpoints(
        EndpointUpdateKind::Changes,
        &[Endpoint { state: WorkerState::Draining, ..two_worker_kinds()[1] }],
    );
    harness.offer(9, 0.1);
    assert!(harness.is_rejected(), "the only worker of the kind is draining");
}

#[test]
fn invalid_numbers_count_as_absent() {
    let values = [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300];
    for value in values {
        let mut harness = Harness::new(settings(Idempotency::Idempotent), &[endpoint(0), endpoint(1)]);
        let value = Some(value);
        let invalid = IncomingRequest { cost_hint: value, slots: value, ..incoming_request(1, 1.0) };
        harness.handle(Event::Request(invalid));
        assert!(harness.sent_worker().is_some(), "{value:?} counts as absent");
        let report =
            LoadReport { queue: value, in_flight: value, utilization: value, qps: value, free_slots: value };
        harness.now += 100 * MS;
        harness.complete_with_report(1, 0, Outcome::Served, Some(report));
        harness.offer(2, 0.1);
        assert!(harness.sent_worker().is_some(), "a report of {value:?} does not stop the next request");
    }
}

#[test]
fn requests_of_unknown_classes_or_past_their_deadlines_are_rejected_on_arrival() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0)]);
    harness.handle(Event::Request(IncomingRequest { class: 7, ..incoming_request(1, 0.1) }));
    assert!(harness.is_rejected());
    harness.handle(Event::Request(IncomingRequest { time_left: 0, ..incoming_request(2, 0.1) }));
    assert!(harness.is_rejected());
    let mut without_workers = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    without_workers.offer(3, 0.1);
    assert!(without_workers.is_rejected(), "the endpoint list is empty");
}

#[test]
fn invalid_settings_are_named_in_the_error() {
    let valid = settings(Idempotency::Idempotent);
    let cases: [(&str, Settings); 7] = [
        ("no request class", Settings { classes: vec![], ..valid.clone() }),
        ("no dispatchers", Settings { fleet_size: 0, ..valid.clone() }),
        ("maximum number of attempts", Settings { max_attempts: 0, ..valid.clone() }),
        ("initial capacity of slow start", Settings { slow_start_initial_capacity: 0.0, ..valid.clone() }),
        (
            "initial capacity of slow start",
            Settings { slow_start_initial_capacity: f64::NAN, ..valid.clone() },
        ),
        ("overload multiple", Settings { overload_multiple: -1.0, ..valid.clone() }),
        ("weight of requests over quota", Settings { over_quota_weight: f64::NAN, ..valid.clone() }),
    ];
    for (expected, settings) in cases {
        let error = Dispatcher::new(settings, 1).expect_err(expected);
        assert!(error.to_string().contains(expected), "{error} does not contain {expected:?}");
    }
    let mut negative_stretch = valid;
    negative_stretch.classes[0].latency_stretch = -1.0;
    assert!(Dispatcher::new(negative_stretch, 1).is_err());
}

/// Large endpoint lists are sampled, so that the cost of a decision does not grow with the number of workers.
/// The few ready workers of a large list must still be found.
#[test]
fn large_endpoint_lists_are_sampled_and_a_lone_ready_worker_is_found() {
    let all: Vec<_> = (0..1000)
        .map(|i| {
            let state = if i == 777 { WorkerState::Ready } else { WorkerState::Draining };
            Endpoint { state, ..endpoint(i) }
        })
        .collect();
    for seed in 0..20 {
        let mut harness = Harness::seeded(settings(Idempotency::NonIdempotent), &all, seed);
        harness.offer(1, 0.1);
        assert_eq!(harness.sent_worker(), Some(777));
    }
    let ready: Vec<_> = (0..1000).map(endpoint).collect();
    let mut selected = std::collections::BTreeSet::new();
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &ready);
    for i in 0..200 {
        harness.offer(i, 0.1);
        selected.insert(harness.sent_worker().expect("the request is sent") / 100);
    }
    assert_eq!(selected.len(), 10, "workers from all parts of the list are selected");
}

#[test]
fn the_outcome_of_a_load_query_counts_like_a_response() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0), endpoint(1)]);
    for _ in 0..10 {
        let worker = WorkerId(0);
        harness.handle(Event::LoadQueryCompleted { worker, outcome: Outcome::TimedOut, report: None });
    }
    // Worker 0 counts as loaded, since its load queries time out, so a request of two slots goes to worker 1.
    harness.handle(Event::Request(IncomingRequest { slots: Some(2.0), ..incoming_request(1, 0.1) }));
    assert_eq!(harness.sent_worker(), Some(1));
    let unlisted = WorkerId(99);
    assert!(
        harness
            .handle(Event::LoadQueryCompleted { worker: unlisted, outcome: Outcome::Served, report: None })
            .is_empty()
    );
}

#[test]
fn the_retry_after_of_a_rejection_is_the_time_by_which_the_queue_must_shrink() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0)]);
    let mut suggested = 0;
    for request in 1.. {
        assert!(request < 100, "a rejection comes before the hundredth request");
        if let [Action::Reject { retry_after, .. }] = *harness.offer(request, 0.5) {
            suggested = retry_after;
            break;
        }
    }
    assert!(suggested > 0 && suggested < 10 * SECOND, "{suggested}");
    // With no eligible worker the wait is 1 s: the endpoint list may have changed by then.
    let mut empty = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    let expected_reason = Rejection::NoEligibleWorker;
    let rejection = Action::Reject { request: RequestId(1), retry_after: SECOND, reason: expected_reason };
    assert_eq!(empty.offer(1, 0.5), [rejection]);
}
