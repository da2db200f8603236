//! What a dispatcher learns of workers' rates, slots and load, and how it forgets.
mod common;
use common::*;
use copperspread_dispatcher::*;

const IDLE: LoadReport =
    LoadReport { queue: Some(0.0), in_flight: None, utilization: None, qps: None, free_slots: Some(2.0) };

/// Runs jobs on one worker alone until its rate is known.
fn teach(node: &mut Node, worker: Endpoint, rate: f64, first: u64) {
    node.roster(EndpointUpdateKind::Full, &[worker]);
    for i in 0..40 {
        node.run(first + i, 0.2, 0.2 / rate, Some(IDLE));
    }
}

/// Which of the workers gets a small job now, over and over; each is served at once.
fn share_of(node: &mut Node, worker: u32, first: u64) -> f64 {
    let mut hits = 0;
    for i in 0..100 {
        node.job(first + i, 0.2);
        hits += u32::from(node.sent() == Some(worker));
        node.outcome(first + i, 0, Outcome::Cancelled);
    }
    f64::from(hits) / 100.0
}

#[test]
fn a_slower_worker_of_the_same_kind_is_told_from_its_own_times() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[]);
    teach(&mut node, entry(0), 1.0, 1000);
    teach(&mut node, entry(1), 0.25, 2000);
    node.roster(EndpointUpdateKind::Full, &[entry(0), entry(1)]);
    assert!(share_of(&mut node, 0, 1) > 0.9);
}

#[test]
fn an_unrefreshed_rate_drifts_back_to_the_others() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[]);
    teach(&mut node, entry(0), 1.0, 1000);
    teach(&mut node, entry(1), 0.25, 2000);
    node.roster(EndpointUpdateKind::Full, &[entry(0), entry(1)]);
    node.now += 300 * SECOND;
    node.handle(Event::TimerExpired(Timer::PeriodicRefresh));
    let share = share_of(&mut node, 1, 1);
    assert!(share > 0.2, "the slow worker is tried again: {share}");
}

#[test]
fn a_restarted_worker_starts_at_the_mean_of_the_others() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[]);
    teach(&mut node, entry(0), 0.25, 1000);
    teach(&mut node, entry(1), 0.25, 2000);
    teach(&mut node, entry(2), 1.0, 3000);
    let restarted = Endpoint { started_at: Some(node.now), ..entry(1) };
    node.roster(EndpointUpdateKind::Full, &[entry(0), restarted]);
    // Warm again by the roster's own word, before the other's samples have faded.
    node.now += 11 * SECOND;
    let share = share_of(&mut node, 1, 1);
    assert!(share > 0.9, "its old slowness is forgotten: {share}");
}

#[test]
fn progress_notes_tell_the_rate_where_starts_are_not_told() {
    let quiet = Settings { reports_job_start: false, ..settings(Idempotency::NonIdempotent) };
    let mut node = Node::new(quiet, &[]);
    for (worker, rate) in [(0u32, 1.0), (1, 0.25)] {
        node.roster(EndpointUpdateKind::Full, &[entry(worker)]);
        for i in 0..20 {
            let request = 1000 * (1 + u64::from(worker)) + i;
            node.job(request, 4.0 * rate);
            assert!(node.sent().is_some());
            // Half of it is done between two notes a second apart, whenever it began.
            for share in [0.25, 0.5] {
                node.now += SECOND;
                let progress = Progress::Done(share);
                node.handle(Event::AttemptProgress { request: RequestId(request), attempt: 0, progress });
            }
            node.now += 2 * SECOND;
            node.report(request, 0, Outcome::Served, Some(IDLE));
        }
    }
    node.roster(EndpointUpdateKind::Full, &[entry(0), entry(1)]);
    assert!(share_of(&mut node, 0, 1) > 0.9);
}

#[test]
fn errors_that_come_fast_do_not_look_like_speed() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[entry(0), entry(1)]);
    for i in 0..100 {
        node.job(i, 0.2);
        let worker = node.sent().expect("sent");
        node.now += 5 * MS;
        // Worker 0 fails at once, worker 1 serves after its time.
        if worker == 1 {
            node.now += 200 * MS;
        }
        node.outcome(i, 0, if worker == 0 { Outcome::Error } else { Outcome::Served });
    }
    assert!(share_of(&mut node, 1, 1000) > 0.9);
    // Without news it is tried again after a while.
    let tried = |node: &mut Node, first: u64| {
        let sent = (0..4).filter(|i| {
            node.job(first + i, 0.2);
            node.sent() == Some(0)
        });
        sent.count()
    };
    for _ in 0..60 {
        node.now += SECOND;
        node.handle(Event::TimerExpired(Timer::PeriodicRefresh));
    }
    assert!(tried(&mut node, 3000) > 0);
}

/// Peers' jobs are seen only in reports: a worker that reports a queue is passed over, and the
/// report fades as it ages.
#[test]
fn a_reported_queue_counts_and_fades() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[]);
    teach(&mut node, entry(0), 1.0, 1000);
    teach(&mut node, entry(1), 1.0, 2000);
    node.roster(EndpointUpdateKind::Full, &[entry(0)]);
    let queue = LoadReport { queue: Some(9.0), free_slots: Some(0.0), ..IDLE };
    node.run(1, 0.2, 0.2, Some(queue));
    node.roster(EndpointUpdateKind::Full, &[entry(0), entry(1)]);
    assert!(share_of(&mut node, 1, 100) > 0.9, "crowded by peers");
    node.now += 60 * SECOND;
    assert!(share_of(&mut node, 0, 300) > 0.2, "an old report says little");
}

/// The first report of a kind may show no free slot at all; dividing by it made every estimate
/// infinite and all jobs were refused.
#[test]
fn a_first_report_of_no_free_slot_does_not_stop_a_kind() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[entry(0)]);
    node.run(1, 0.2, 0.2, Some(LoadReport { free_slots: Some(0.0), ..IDLE }));
    node.job(2, 0.2);
    assert!(node.sent().is_some());
}

/// A kind whose reports end at "all cores busy" kept looking inviting while it turned away nearly
/// every job, and requests used up their attempts on it.
#[test]
fn full_answers_make_a_whole_kind_less_inviting() {
    let kinds = |i: u32| Endpoint { kind: i / 4, ..entry(i) };
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[]);
    let busy = LoadReport { utilization: Some(1.0), qps: Some(4.0), ..LoadReport::default() };
    for (worker, rate) in [(0, 2.0), (4, 1.0)] {
        node.roster(EndpointUpdateKind::Full, &[kinds(worker)]);
        for i in 0..40 {
            node.run(u64::from(worker) * 100 + i, 0.2, 0.2 / rate, Some(busy));
        }
    }
    let all: Vec<_> = (0..8).map(kinds).collect();
    node.roster(EndpointUpdateKind::Full, &all);
    for i in 1000..1100 {
        node.now += 10 * MS;
        node.job(i, 0.2);
        let mut attempt = 0;
        while let Some(worker) = node.sent() {
            let outcome = if worker < 4 { Outcome::Rejected } else { Outcome::Served };
            node.report(i, attempt, outcome, Some(busy));
            attempt += 1;
        }
    }
    let share: f64 = (4..8).map(|w| share_of(&mut node, w, 2000 + u64::from(w) * 200)).sum();
    assert!(share > 0.7, "most first attempts go to the kind that serves: {share}");
}

/// Where nothing is reported, full answers alone raised the level of load for good and everything
/// cheap was shed.
#[test]
fn served_answers_without_reports_bring_the_level_down_again() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes.push(RequestClass { priority_weight: 100.0, ..class(Idempotency::NonIdempotent) });
    let mut node = Node::new(settings, &[entry(0), entry(1), entry(2), entry(3), entry(4)]);
    for i in 0..60 {
        node.job(i, 0.1);
        let mut attempt = 0;
        while node.sent().is_some() {
            node.outcome(i, attempt, Outcome::Rejected);
            attempt += 1;
        }
    }
    let mut refused = 0;
    for i in 100..200 {
        node.now += SECOND;
        node.job(i, 0.1);
        refused = if node.refused() { refused + 1 } else { 0 };
        // A dear job keeps answers coming while the cheap ones are shed.
        node.handle(Event::Request(IncomingRequest { class: 1, ..job(1000 + i, 0.1) }));
        let served = node.sent().is_some();
        if served {
            node.now += 100 * MS;
            node.outcome(1000 + i, 0, Outcome::Served);
        }
        node.outcome(i, 0, Outcome::Served);
    }
    assert_eq!(refused, 0, "the cheap class is served again");
}

/// At full size a worker quick in the eyes of all was sent everything: own counts see two or three
/// jobs of hundreds.
#[test]
fn many_dispatchers_do_not_herd_to_the_quick_kind() {
    let kinds = |i: u32| Endpoint { kind: i / 10, ..entry(i) };
    let all: Vec<_> = (0..20).map(kinds).collect();
    let mut sent = [0.0; 2];
    for seed in 0..50 {
        let settings = Settings { fleet_size: 50, ..settings(Idempotency::NonIdempotent) };
        let mut node = Node::seeded(settings, &[], seed);
        let full = LoadReport { queue: Some(3.0), free_slots: Some(0.0), ..IDLE };
        for i in 0..60 {
            for (worker, rate, report) in [(0, 2.0, full), (10, 1.0, IDLE)] {
                node.roster(EndpointUpdateKind::Full, &[kinds(worker)]);
                let request = u64::from(worker) * 1000 + i;
                node.job(request, 0.2);
                node.now += (0.2 / rate * SECOND as f64) as Micros;
                if node.sent().is_some() {
                    node.report(request, 0, Outcome::Served, Some(report));
                }
            }
        }
        node.roster(EndpointUpdateKind::Full, &all);
        node.now += 5 * SECOND;
        for i in 0..10 {
            node.job(100 + i, 0.2);
            let Some(worker) = node.sent() else { continue };
            sent[worker as usize / 10] += 1.0;
        }
    }
    assert!(sent[1] > sent[0], "the crowded quick kind gets the smaller part: {sent:?}");
}

#[test]
fn crossing_to_another_zone_has_its_price() {
    let settings = Settings { cross_zone_cost: 0.02, zone: 1, ..settings(Idempotency::NonIdempotent) };
    let away = Endpoint { zone: 0, ..entry(0) };
    let home = Endpoint { zone: 1, ..entry(1) };
    for seed in 0..20 {
        let mut node = Node::seeded(settings.clone(), &[away, home], seed);
        node.job(1, 0.2);
        assert_eq!(node.sent(), Some(1));
        node.job(2, 0.2);
        node.job(3, 0.2);
        node.job(4, 0.2);
    }
    let mut node = Node::new(settings, &[away, home]);
    let crossed = (0..8).filter(|&i| {
        node.job(i, 0.2);
        node.sent() == Some(0)
    });
    assert!(crossed.count() > 0, "a crowded home is worth the crossing");
}

/// Without hints a work of 1 for every class made a worker that had run short jobs look quick, and
/// short jobs pass for long ones.
#[test]
fn without_hints_a_class_costs_its_usual_time() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes.push(class(Idempotency::NonIdempotent));
    let mut node = Node::new(settings, &[entry(0), entry(1)]);
    let unhinted = |request, class| IncomingRequest { class, cost_hint: None, ..job(request, 0.0) };
    // Class 0 takes 0.1 s and class 1 takes 2 s, wherever they run.
    for i in 0..60 {
        for (class, takes) in [(0, 100 * MS), (1, 2 * SECOND)] {
            let request = 10 * i + u64::from(class);
            node.handle(Event::Request(unhinted(request, class)));
            if node.sent().is_none() {
                continue;
            }
            let progress = Progress::Started;
            node.handle(Event::AttemptProgress { request: RequestId(request), attempt: 0, progress });
            node.now += takes;
            node.report(request, 0, Outcome::Served, Some(IDLE));
        }
    }
    // Two workers of two slots hold this many short jobs before one of them would miss 1.2 s; at the
    // mean of both classes, two of them would.
    let sent = (0..12).filter(|&i| {
        node.handle(Event::Request(unhinted(5000 + i, 0)));
        node.sent().is_some()
    });
    assert_eq!(sent.count(), 12);
}

/// With all workers full, each request was tried as often as allowed, at the workers' own cost.
#[test]
fn a_full_fleet_is_not_asked_for_one_job_all_over() {
    let entries: Vec<_> = (0..20).map(entry).collect();
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &entries);
    let mut attempts_of = |request: u64, outcome: Outcome| {
        node.job(request, 0.01);
        let mut attempts = 0;
        while node.sent().is_some() {
            node.outcome(request, attempts, outcome);
            attempts += 1;
        }
        attempts
    };
    assert_eq!(attempts_of(1, Outcome::Rejected), 4, "as many as allowed at first");
    for i in 2..60 {
        attempts_of(i, Outcome::Rejected);
    }
    assert_eq!(attempts_of(99, Outcome::Rejected), 2, "two when all are turned away");
}

// Guards against jobs that all go where the last report was kind: it is older than the jobs sent since.
#[test]
fn own_jobs_weigh_more_than_a_report() {
    let fleet = Settings { fleet_size: 3, ..settings(Idempotency::NonIdempotent) };
    let mut node = Node::new(fleet, &[]);
    teach(&mut node, entry(0), 1.0, 1000);
    teach(&mut node, entry(1), 1.0, 2000);
    node.roster(EndpointUpdateKind::Full, &[entry(0), entry(1)]);
    for (worker, queue, free) in [(0, 1.0, 0.0), (1, 0.0, 2.0)] {
        let report = Some(LoadReport { queue: Some(queue), free_slots: Some(free), ..IDLE });
        node.handle(Event::LoadQueryCompleted { worker: WorkerId(worker), outcome: Outcome::Served, report });
    }
    let mut counts = [0; 2];
    for request in 1..=4 {
        node.job(request, 0.2);
        counts[node.sent().expect("sent") as usize] += 1;
    }
    assert_eq!(counts, [2, 2], "worker 0 was said to be full");
}

// Guards against copies that load workers where a job that is called off runs all the same.
#[test]
fn few_jobs_that_wait_get_a_copy() {
    let entries: Vec<_> = (0..4).map(entry).collect();
    let mut node = Node::new(settings(Idempotency::Idempotent), &entries);
    let mut copies = 0;
    for request in 0..100 {
        node.job(request, 0.01);
        node.handle(Event::TimerExpired(Timer::HedgeCheck(RequestId(request))));
        if node.sent().is_some() {
            copies += 1;
            node.outcome(request, 1, Outcome::Cancelled);
        }
        node.outcome(request, 0, Outcome::Served);
    }
    assert!((1..=5).contains(&copies), "{copies} copies of 100 jobs");
}
