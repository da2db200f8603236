//! Service-time estimates, worker selection and admission on worked examples.
mod common;
use common::{Harness, MS, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    Action, Dispatcher, Endpoint, EndpointUpdateKind, Event, Idempotency, IncomingRequest, LoadReport,
    Outcome, Rejection, RequestId, SECOND, Settings, WorkerId, WorkerState,
};

fn two_kinds() -> [Endpoint; 2] {
    [endpoint(0), Endpoint { kind: 1, ..endpoint(1) }]
}

/// Teaches the kinds their rates: worker 0 works at 2, worker 1 at 0.5, two slots each.
fn two_known_kinds() -> Harness {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    let idle = Some(LoadReport { free_slots: Some(2.0), queue: Some(0.0), ..LoadReport::default() });
    for (worker, rate) in [(0, 2.0), (1, 0.5)] {
        harness.update_endpoints(EndpointUpdateKind::Full, &[two_kinds()[worker as usize]]);
        for i in 0..60 {
            let request = 1000 * (1 + u64::from(worker)) + i;
            assert_eq!(harness.serve(request, 0.2, 0.2 / rate, idle), worker);
        }
    }
    harness.update_endpoints(EndpointUpdateKind::Full, &two_kinds());
    harness
}

#[test]
fn the_worker_with_the_lowest_estimate_gets_the_request() {
    let mut harness = two_known_kinds();
    harness.offer(1, 1.0);
    assert_eq!(harness.sent_worker(), Some(0), "the fast worker while it is idle");
}

#[test]
fn local_requests_raise_the_estimate_until_the_slow_worker_is_lower() {
    let mut harness = two_known_kinds();
    let mut counts = [0; 2];
    for i in 0..12 {
        harness.offer(i, 0.2);
        if let Some(worker) = harness.sent_worker() {
            counts[worker as usize] += 1;
        }
    }
    assert!(counts[0] > counts[1] && counts[1] > 0, "both are used, the fast one more: {counts:?}");
}

#[test]
fn a_request_is_rejected_on_arrival_when_no_estimate_fits_its_time_left() {
    let mut harness = two_known_kinds();
    let mut sent = 0;
    for i in 0..200 {
        harness.offer(i, 1.0);
        assert!(harness.is_rejected() != harness.sent_worker().is_some(), "sent or rejected, never both");
        sent += usize::from(harness.sent_worker().is_some());
    }
    // Aim 1 s and twice its time: at rate 2 and two slots that is 1 + 2 * 0.5 = 2 s, four times the
    // request alone, so at most eight requests fit there, and on the slow one (5 s of 2 s) five.
    assert!((4..=13).contains(&sent), "{sent} were sent");
    assert!(harness.is_rejected());
}

#[test]
fn time_spent_before_counts_against_the_latency_objective() {
    let mut harness = two_known_kinds();
    harness.offer(1, 0.2);
    assert!(harness.sent_worker().is_some());
    let late = IncomingRequest { time_left: 2 * SECOND, ..incoming_request(2, 0.2) };
    harness.handle(Event::Request(late));
    assert!(harness.is_rejected(), "eight of ten seconds are gone, the objective was one");
}

#[test]
fn requests_that_are_all_shortened_do_not_look_like_late_retries() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0)]);
    let short = IncomingRequest { time_left: 4 * SECOND, ..incoming_request(1, 0.2) };
    harness.handle(Event::Request(short));
    assert!(harness.sent_worker().is_some(), "the first of its class sets what a first try has left");
}

// Impatient clients must not pass for late retries: a few are retries, a flood of them is not.
#[test]
fn many_requests_with_little_time_left_are_impatient_clients() {
    let mut harness = two_known_kinds();
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
    assert!(harness.is_rejected(), "among usual ones it is a repeat again");
}

#[test]
fn ties_are_broken_at_random() {
    let endpoints: Vec<_> = (0..8).map(endpoint).collect();
    let mut met = [false; 8];
    for seed in 0..100 {
        let mut harness = Harness::seeded(settings(Idempotency::NonIdempotent), &endpoints, seed);
        harness.offer(1, 0.1);
        met[harness.sent_worker().expect("sent") as usize] = true;
    }
    assert_eq!(met, [true; 8]);
}

#[test]
fn only_ready_workers_of_the_class_kind_are_eligible() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].worker_kind = Some(1);
    let mut harness = Harness::new(settings, &two_kinds());
    for i in 0..5 {
        harness.offer(i, 0.1);
        assert_eq!(harness.sent_worker(), Some(1));
    }
    harness.update_endpoints(
        EndpointUpdateKind::Changes,
        &[Endpoint { state: WorkerState::Draining, ..two_kinds()[1] }],
    );
    harness.offer(9, 0.1);
    assert!(harness.is_rejected(), "the only worker of the kind drains");
}

#[test]
fn absurd_figures_count_as_absent() {
    let figures = [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300];
    for figure in figures {
        let mut harness = Harness::new(settings(Idempotency::Idempotent), &[endpoint(0), endpoint(1)]);
        let figure = Some(figure);
        let odd = IncomingRequest { cost_hint: figure, slots: figure, ..incoming_request(1, 1.0) };
        harness.handle(Event::Request(odd));
        assert!(harness.sent_worker().is_some(), "{figure:?} is read as 1");
        let report = LoadReport {
            queue: figure,
            in_flight: figure,
            utilization: figure,
            qps: figure,
            free_slots: figure,
        };
        harness.now += 100 * MS;
        harness.complete_with_report(1, 0, Outcome::Served, Some(report));
        harness.offer(2, 0.1);
        assert!(harness.sent_worker().is_some(), "a report of {figure:?} does not stop the next request");
    }
}

#[test]
fn unknown_classes_and_spent_deadlines_are_rejected_at_once() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0)]);
    harness.handle(Event::Request(IncomingRequest { class: 7, ..incoming_request(1, 0.1) }));
    assert!(harness.is_rejected());
    harness.handle(Event::Request(IncomingRequest { time_left: 0, ..incoming_request(2, 0.1) }));
    assert!(harness.is_rejected());
    let mut nobody = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    nobody.offer(3, 0.1);
    assert!(nobody.is_rejected(), "an empty list");
}

#[test]
fn invalid_settings_are_named_in_the_error() {
    let good = settings(Idempotency::Idempotent);
    let bad: [(&str, Settings); 7] = [
        ("no class", Settings { classes: vec![], ..good.clone() }),
        ("no dispatchers", Settings { fleet_size: 0, ..good.clone() }),
        ("no attempt", Settings { max_attempts: 0, ..good.clone() }),
        ("cold share", Settings { slow_start_initial_capacity: 0.0, ..good.clone() }),
        ("cold share", Settings { slow_start_initial_capacity: f64::NAN, ..good.clone() }),
        ("multiple", Settings { overload_multiple: -1.0, ..good.clone() }),
        ("share", Settings { over_quota_weight: f64::NAN, ..good.clone() }),
    ];
    for (word, settings) in bad {
        let error = Dispatcher::new(settings, 1).expect_err(word);
        assert!(error.to_string().contains(word), "{error} names {word}");
    }
    let mut stretch = good;
    stretch.classes[0].latency_stretch = -1.0;
    assert!(Dispatcher::new(stretch, 1).is_err());
}

/// The cost of a decision must not grow with the fleet, and the few ready workers of a large list
/// must still be found.
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
    let mut met = std::collections::BTreeSet::new();
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &ready);
    for i in 0..200 {
        harness.offer(i, 0.1);
        met.insert(harness.sent_worker().expect("sent") / 100);
    }
    assert_eq!(met.len(), 10, "from all over the list");
}

#[test]
fn a_load_query_made_by_the_caller_counts_like_a_response() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0), endpoint(1)]);
    for _ in 0..10 {
        let worker = WorkerId(0);
        harness.handle(Event::LoadQueryCompleted { worker, outcome: Outcome::TimedOut, report: None });
    }
    // Loaded, as it does not respond: a request of both slots is better off elsewhere.
    harness.handle(Event::Request(IncomingRequest { slots: Some(2.0), ..incoming_request(1, 0.1) }));
    assert_eq!(harness.sent_worker(), Some(1));
    let nobody = WorkerId(99);
    assert!(
        harness
            .handle(Event::LoadQueryCompleted { worker: nobody, outcome: Outcome::Served, report: None })
            .is_empty()
    );
}

#[test]
fn a_rejection_names_the_time_in_which_the_queue_must_shrink_first() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0)]);
    let mut last = 0;
    for request in 1.. {
        assert!(request < 100, "admission stops");
        if let [Action::Reject { retry_after, .. }] = *harness.offer(request, 0.5) {
            last = retry_after;
            break;
        }
    }
    assert!(last > 0 && last < 10 * SECOND, "{last}");
    // Nobody to send to: a round later the list may have changed.
    let mut alone = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    let why = Rejection::NoEligibleWorker;
    let rejection = Action::Reject { request: RequestId(1), retry_after: SECOND, reason: why };
    assert_eq!(alone.offer(1, 0.5), [rejection]);
}
