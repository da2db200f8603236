//! How a dispatcher learns the rates, slots and load of workers, and how old samples lose their weight.
mod common;
use common::{Harness, MS, class, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    Endpoint, EndpointUpdateKind, Event, Idempotency, IncomingRequest, LoadReport, Micros, Outcome, Progress,
    RequestClass, RequestId, SECOND, Settings, Timer, WorkerId,
};

const IDLE: LoadReport =
    LoadReport { queue: Some(0.0), in_flight: None, utilization: None, qps: None, free_slots: Some(2.0) };

/// Serves requests at one worker alone until its rate is learned: the seconds of work that it serves per
/// second.
fn learn_rate(harness: &mut Harness, worker: Endpoint, rate: f64, first_request: u64) {
    harness.update_endpoints(EndpointUpdateKind::Full, &[worker]);
    for i in 0..40 {
        harness.serve(first_request + i, 0.2, 0.2 / rate, Some(IDLE));
    }
}

/// The fraction of 100 small requests that is sent to a worker; each is cancelled at once and so adds no
/// load.
fn fraction_sent_to(harness: &mut Harness, worker: u32, first_request: u64) -> f64 {
    let mut hits = 0;
    for i in 0..100 {
        harness.offer(first_request + i, 0.2);
        hits += u32::from(harness.sent_worker() == Some(worker));
        harness.complete(first_request + i, 0, Outcome::Cancelled);
    }
    f64::from(hits) / 100.0
}

#[test]
fn a_slower_worker_of_the_same_kind_is_recognized_by_its_own_service_times() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    learn_rate(&mut harness, endpoint(0), 1.0, 1000);
    learn_rate(&mut harness, endpoint(1), 0.25, 2000);
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0), endpoint(1)]);
    assert!(fraction_sent_to(&mut harness, 0, 1) > 0.9);
}

#[test]
fn a_rate_without_new_samples_drifts_back_to_the_mean() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    learn_rate(&mut harness, endpoint(0), 1.0, 1000);
    learn_rate(&mut harness, endpoint(1), 0.25, 2000);
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0), endpoint(1)]);
    harness.now += 300 * SECOND;
    harness.handle(Event::TimerExpired(Timer::PeriodicRefresh));
    let fraction = fraction_sent_to(&mut harness, 1, 1);
    assert!(fraction > 0.2, "the slow worker is tried again: {fraction}");
}

#[test]
fn a_restarted_worker_starts_at_the_mean_of_the_others() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    learn_rate(&mut harness, endpoint(0), 0.25, 1000);
    learn_rate(&mut harness, endpoint(1), 0.25, 2000);
    learn_rate(&mut harness, endpoint(2), 1.0, 3000);
    let restarted = Endpoint { started_at: Some(harness.now), ..endpoint(1) };
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0), restarted]);
    // Its slow start has ended, and the samples of the other workers still count.
    harness.now += 11 * SECOND;
    let fraction = fraction_sent_to(&mut harness, 1, 1);
    assert!(fraction > 0.9, "the low rate of its earlier process is discarded: {fraction}");
}

#[test]
fn rates_are_learned_from_progress_where_starts_are_not_reported() {
    let without_starts =
        Settings { workers_report_request_start: false, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(without_starts, &[]);
    for (worker, rate) in [(0u32, 1.0), (1, 0.25)] {
        harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(worker)]);
        for i in 0..20 {
            let request = 1000 * (1 + u64::from(worker)) + i;
            harness.offer(request, 4.0 * rate);
            assert!(harness.sent_worker().is_some());
            // A quarter of the work is done between two progress reports one second apart, whenever it
            // started.
            for done in [0.25, 0.5] {
                harness.now += SECOND;
                let progress = Progress::Done(done);
                harness.handle(Event::AttemptProgress { request: RequestId(request), attempt: 0, progress });
            }
            harness.now += 2 * SECOND;
            harness.complete_with_report(request, 0, Outcome::Served, Some(IDLE));
        }
    }
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0), endpoint(1)]);
    assert!(fraction_sent_to(&mut harness, 0, 1) > 0.9);
}

#[test]
fn fast_errors_do_not_raise_the_learned_rate() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0), endpoint(1)]);
    for i in 0..100 {
        harness.offer(i, 0.2);
        let worker = harness.sent_worker().expect("the request is sent");
        harness.now += 5 * MS;
        // Worker 0 fails after 5 ms; worker 1 serves after 205 ms.
        if worker == 1 {
            harness.now += 200 * MS;
        }
        harness.complete(i, 0, if worker == 0 { Outcome::Error } else { Outcome::Served });
    }
    assert!(fraction_sent_to(&mut harness, 1, 1000) > 0.9);
    // After a minute without outcomes, worker 0 is tried again.
    let attempts_at_worker_0 = |harness: &mut Harness, first_request: u64| {
        let sent = (0..4).filter(|i| {
            harness.offer(first_request + i, 0.2);
            harness.sent_worker() == Some(0)
        });
        sent.count()
    };
    for _ in 0..60 {
        harness.now += SECOND;
        harness.handle(Event::TimerExpired(Timer::PeriodicRefresh));
    }
    assert!(attempts_at_worker_0(&mut harness, 3000) > 0);
}

/// Load from other dispatchers is visible only in load reports: a worker that reports a queue is avoided, and
/// the report loses weight as it ages.
#[test]
fn a_reported_queue_counts_and_loses_weight_with_age() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    learn_rate(&mut harness, endpoint(0), 1.0, 1000);
    learn_rate(&mut harness, endpoint(1), 1.0, 2000);
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0)]);
    let queue = LoadReport { queue: Some(9.0), free_slots: Some(0.0), ..IDLE };
    harness.serve(1, 0.2, 0.2, Some(queue));
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0), endpoint(1)]);
    assert!(fraction_sent_to(&mut harness, 1, 100) > 0.9, "worker 0 is loaded by other dispatchers");
    harness.now += 60 * SECOND;
    assert!(fraction_sent_to(&mut harness, 0, 300) > 0.2, "an old report has little weight");
}

/// Guards against a division by zero, by which every estimate would be infinite and all requests would be
/// rejected where the first report of a kind shows no free slot.
#[test]
fn a_first_report_of_no_free_slot_does_not_exclude_a_kind() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[endpoint(0)]);
    harness.serve(1, 0.2, 0.2, Some(LoadReport { free_slots: Some(0.0), ..IDLE }));
    harness.offer(2, 0.2);
    assert!(harness.sent_worker().is_some());
}

/// Guards against a low estimate of a kind whose reports cannot show more than "all cores busy": while the
/// kind rejected nearly every request, requests would use up their attempts on it.
#[test]
fn rejections_rank_a_whole_kind_lower() {
    let worker_of_kind = |i: u32| Endpoint { kind: i / 4, ..endpoint(i) };
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    let busy = LoadReport { utilization: Some(1.0), qps: Some(4.0), ..LoadReport::default() };
    for (worker, rate) in [(0, 2.0), (4, 1.0)] {
        harness.update_endpoints(EndpointUpdateKind::Full, &[worker_of_kind(worker)]);
        for i in 0..40 {
            harness.serve(u64::from(worker) * 100 + i, 0.2, 0.2 / rate, Some(busy));
        }
    }
    let all: Vec<_> = (0..8).map(worker_of_kind).collect();
    harness.update_endpoints(EndpointUpdateKind::Full, &all);
    for i in 1000..1100 {
        harness.now += 10 * MS;
        harness.offer(i, 0.2);
        let mut attempt = 0;
        while let Some(worker) = harness.sent_worker() {
            let outcome = if worker < 4 { Outcome::Rejected } else { Outcome::Served };
            harness.complete_with_report(i, attempt, outcome, Some(busy));
            attempt += 1;
        }
    }
    let fraction: f64 = (4..8).map(|w| fraction_sent_to(&mut harness, w, 2000 + u64::from(w) * 200)).sum();
    assert!(fraction > 0.7, "most first attempts go to the kind that serves: {fraction}");
}

/// Guards against a fleet utilization that only rises: without load reports, rejections by workers would
/// raise it for good, and all requests of low priority weight would be shed.
#[test]
fn responses_without_reports_bring_the_utilization_down_again() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes.push(RequestClass { priority_weight: 100.0, ..class(Idempotency::NonIdempotent) });
    let mut harness =
        Harness::new(settings, &[endpoint(0), endpoint(1), endpoint(2), endpoint(3), endpoint(4)]);
    for i in 0..60 {
        harness.offer(i, 0.1);
        let mut attempt = 0;
        while harness.sent_worker().is_some() {
            harness.complete(i, attempt, Outcome::Rejected);
            attempt += 1;
        }
    }
    let mut rejected_in_a_row = 0;
    for i in 100..200 {
        harness.now += SECOND;
        harness.offer(i, 0.1);
        rejected_in_a_row = if harness.is_rejected() { rejected_in_a_row + 1 } else { 0 };
        // Requests of the class with high weight keep responses coming while those with low weight are shed.
        harness.handle(Event::Request(IncomingRequest { class: 1, ..incoming_request(1000 + i, 0.1) }));
        let served = harness.sent_worker().is_some();
        if served {
            harness.now += 100 * MS;
            harness.complete(1000 + i, 0, Outcome::Served);
        }
        harness.complete(i, 0, Outcome::Served);
    }
    assert_eq!(rejected_in_a_row, 0, "the class with low weight is served again");
}

/// Guards against herding in a large fleet: all dispatchers would send everything to the worker that they
/// have learned to be fast, as the local load of each shows only two or three of the hundreds of requests
/// there.
#[test]
fn many_dispatchers_do_not_herd_to_the_fast_kind() {
    let worker_of_kind = |i: u32| Endpoint { kind: i / 10, ..endpoint(i) };
    let all: Vec<_> = (0..20).map(worker_of_kind).collect();
    let mut sent = [0.0; 2];
    for seed in 0..50 {
        let settings = Settings { fleet_size: 50, ..settings(Idempotency::NonIdempotent) };
        let mut harness = Harness::seeded(settings, &[], seed);
        let full = LoadReport { queue: Some(3.0), free_slots: Some(0.0), ..IDLE };
        for i in 0..60 {
            for (worker, rate, report) in [(0, 2.0, full), (10, 1.0, IDLE)] {
                harness.update_endpoints(EndpointUpdateKind::Full, &[worker_of_kind(worker)]);
                let request = u64::from(worker) * 1000 + i;
                harness.offer(request, 0.2);
                harness.now += (0.2 / rate * SECOND as f64) as Micros;
                if harness.sent_worker().is_some() {
                    harness.complete_with_report(request, 0, Outcome::Served, Some(report));
                }
            }
        }
        harness.update_endpoints(EndpointUpdateKind::Full, &all);
        harness.now += 5 * SECOND;
        for i in 0..10 {
            harness.offer(100 + i, 0.2);
            let Some(worker) = harness.sent_worker() else { continue };
            sent[worker as usize / 10] += 1.0;
        }
    }
    assert!(sent[1] > sent[0], "the loaded fast kind gets fewer requests: {sent:?}");
}

#[test]
fn the_cross_zone_cost_counts_against_workers_of_another_zone() {
    let settings = Settings { cross_zone_cost: 0.02, zone: 1, ..settings(Idempotency::NonIdempotent) };
    let remote = Endpoint { zone: 0, ..endpoint(0) };
    let local = Endpoint { zone: 1, ..endpoint(1) };
    for seed in 0..20 {
        let mut harness = Harness::seeded(settings.clone(), &[remote, local], seed);
        harness.offer(1, 0.2);
        assert_eq!(harness.sent_worker(), Some(1));
        harness.offer(2, 0.2);
        harness.offer(3, 0.2);
        harness.offer(4, 0.2);
    }
    let mut harness = Harness::new(settings, &[remote, local]);
    let cross_zone = (0..8).filter(|&i| {
        harness.offer(i, 0.2);
        harness.sent_worker() == Some(0)
    });
    assert!(cross_zone.count() > 0, "requests leave a loaded zone despite the cross-zone cost");
}

/// Guards against a fixed work of 1 for requests without a cost hint, by which workers that have served short
/// requests would be estimated as fast, and short requests would count as long ones.
#[test]
fn without_a_cost_hint_a_request_counts_as_the_usual_work_of_its_class() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes.push(class(Idempotency::NonIdempotent));
    let mut harness = Harness::new(settings, &[endpoint(0), endpoint(1)]);
    let unhinted =
        |request, class| IncomingRequest { class, cost_hint: None, ..incoming_request(request, 0.0) };
    // Class 0 takes 0.1 s and class 1 takes 2 s, at either worker.
    for i in 0..60 {
        for (class, service_time) in [(0, 100 * MS), (1, 2 * SECOND)] {
            let request = 10 * i + u64::from(class);
            harness.handle(Event::Request(unhinted(request, class)));
            if harness.sent_worker().is_none() {
                continue;
            }
            harness.start_attempt(request, 0);
            harness.now += service_time;
            harness.complete_with_report(request, 0, Outcome::Served, Some(IDLE));
        }
    }
    // Two workers of two slots serve 12 short requests within the limit of 1.2 s (the objective of 1 s plus
    // twice 0.1 s). Counted at the mean work of both classes, not all of them would be admitted.
    let sent = (0..12).filter(|&i| {
        harness.handle(Event::Request(unhinted(5000 + i, 0)));
        harness.sent_worker().is_some()
    });
    assert_eq!(sent.count(), 12);
}

/// Guards against retries that add load to a full fleet: with all workers full, each request would use all
/// its allowed attempts, and each of them takes up time of the worker that rejects it.
#[test]
fn a_request_gets_few_attempts_in_a_full_fleet() {
    let endpoints: Vec<_> = (0..20).map(endpoint).collect();
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &endpoints);
    let mut attempts_of = |request: u64, outcome: Outcome| {
        harness.offer(request, 0.01);
        let mut attempts = 0;
        while harness.sent_worker().is_some() {
            harness.complete(request, attempts, outcome);
            attempts += 1;
        }
        attempts
    };
    assert_eq!(attempts_of(1, Outcome::Rejected), 4, "all allowed attempts at first");
    for i in 2..60 {
        attempts_of(i, Outcome::Rejected);
    }
    assert_eq!(attempts_of(99, Outcome::Rejected), 2, "two attempts once all requests are rejected");
}

// The last load report is older than the requests sent since. It must not attract all of them to one worker.
#[test]
fn local_requests_weigh_more_than_a_load_report() {
    let small_fleet = Settings { fleet_size: 3, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(small_fleet, &[]);
    learn_rate(&mut harness, endpoint(0), 1.0, 1000);
    learn_rate(&mut harness, endpoint(1), 1.0, 2000);
    harness.update_endpoints(EndpointUpdateKind::Full, &[endpoint(0), endpoint(1)]);
    for (worker, queue, free) in [(0, 1.0, 0.0), (1, 0.0, 2.0)] {
        let report = Some(LoadReport { queue: Some(queue), free_slots: Some(free), ..IDLE });
        harness.handle(Event::LoadQueryCompleted {
            worker: WorkerId(worker),
            outcome: Outcome::Served,
            report,
        });
    }
    let mut counts = [0; 2];
    for request in 1..=4 {
        harness.offer(request, 0.2);
        counts[harness.sent_worker().expect("the request is sent") as usize] += 1;
    }
    assert_eq!(counts, [2, 2], "worker 0 was reported as full, and still gets half of the requests");
}

// A cancelled request may keep running at its worker, so hedges add load and their number is limited.
#[test]
fn few_requests_are_hedged() {
    let endpoints: Vec<_> = (0..4).map(endpoint).collect();
    let mut harness = Harness::new(settings(Idempotency::Idempotent), &endpoints);
    let mut hedges = 0;
    for request in 0..100 {
        harness.offer(request, 0.01);
        harness.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(request))));
        if harness.sent_worker().is_some() {
            hedges += 1;
            harness.complete(request, 1, Outcome::Cancelled);
        }
        harness.complete(request, 0, Outcome::Served);
    }
    assert!((1..=5).contains(&hedges), "{hedges} hedges of 100 requests");
}
