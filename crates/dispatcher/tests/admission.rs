//! The estimate, the pick and the gate on worked examples.
mod common;
use common::*;
use copperspread_dispatcher::*;

fn two_kinds() -> [Endpoint; 2] {
    [entry(0), Endpoint { kind: 1, ..entry(1) }]
}

/// Teaches the kinds their rates: worker 0 works at 2, worker 1 at 0.5, two slots each.
fn taught() -> Node {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[]);
    let idle = Some(LoadReport { free_slots: Some(2.0), queue: Some(0.0), ..LoadReport::default() });
    for (worker, rate) in [(0, 2.0), (1, 0.5)] {
        node.roster(EndpointUpdateKind::Full, &[two_kinds()[worker as usize]]);
        for i in 0..60 {
            let request = 1000 * (1 + u64::from(worker)) + i;
            assert_eq!(node.run(request, 0.2, 0.2 / rate, idle), worker);
        }
    }
    node.roster(EndpointUpdateKind::Full, &two_kinds());
    node
}

#[test]
fn the_lowest_estimate_gets_the_job() {
    let mut node = taught();
    node.job(1, 1.0);
    assert_eq!(node.sent(), Some(0), "the quick worker while it is empty");
}

#[test]
fn own_jobs_raise_the_estimate_until_the_slow_worker_is_lower() {
    let mut node = taught();
    let mut counts = [0; 2];
    for i in 0..12 {
        node.job(i, 0.2);
        if let Some(worker) = node.sent() {
            counts[worker as usize] += 1;
        }
    }
    assert!(counts[0] > counts[1] && counts[1] > 0, "both are used, the quick one more: {counts:?}");
}

#[test]
fn a_job_is_refused_on_arrival_when_no_estimate_fits_its_time() {
    let mut node = taught();
    let mut sent = 0;
    for i in 0..200 {
        node.job(i, 1.0);
        assert!(node.refused() != node.sent().is_some(), "sent or refused, never both");
        sent += usize::from(node.sent().is_some());
    }
    // Aim 1 s and twice its time: at rate 2 and two slots that is 1 + 2 * 0.5 = 2 s, four times the
    // job alone, so at most eight jobs fit there, and on the slow one (5 s of 2 s) five.
    assert!((4..=13).contains(&sent), "{sent} were sent");
    assert!(node.refused());
}

#[test]
fn time_spent_on_earlier_tries_counts_against_the_aim() {
    let mut node = taught();
    node.job(1, 0.2);
    assert!(node.sent().is_some());
    let late = IncomingRequest { time_left: 2 * SECOND, ..job(2, 0.2) };
    node.handle(Event::Request(late));
    assert!(node.refused(), "eight of ten seconds are gone, the aim was one");
}

#[test]
fn tries_that_are_all_shortened_do_not_look_like_repeats() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[entry(0)]);
    let short = IncomingRequest { time_left: 4 * SECOND, ..job(1, 0.2) };
    node.handle(Event::Request(short));
    assert!(node.sent().is_some(), "the first of its class sets what a first try has left");
}

// Guards against taking impatient clients for late repeats: a few are repeats, a flood of them is not.
#[test]
fn many_short_tries_are_impatient_clients() {
    let mut node = taught();
    node.job(1, 0.2);
    let mut sent = Vec::new();
    for i in 2..22 {
        node.handle(Event::Request(IncomingRequest { time_left: 2 * SECOND, ..job(i, 0.2) }));
        sent.push(node.sent().is_some());
        if node.sent().is_some() {
            node.outcome(i, 0, Outcome::Served);
        }
    }
    assert!(!sent[0] && sent[5..].iter().all(|&sent| sent), "{sent:?}");
    for i in 30..130 {
        node.job(i, 0.2);
        node.outcome(i, 0, Outcome::Served);
    }
    node.handle(Event::Request(IncomingRequest { time_left: 2 * SECOND, ..job(130, 0.2) }));
    assert!(node.refused(), "among usual ones it is a repeat again");
}

#[test]
fn ties_are_broken_at_random() {
    let entries: Vec<_> = (0..8).map(entry).collect();
    let mut met = [false; 8];
    for seed in 0..100 {
        let mut node = Node::seeded(settings(Idempotency::NonIdempotent), &entries, seed);
        node.job(1, 0.1);
        met[node.sent().expect("sent") as usize] = true;
    }
    assert_eq!(met, [true; 8]);
}

#[test]
fn only_ready_workers_of_the_class_kind_are_candidates() {
    let mut settings = settings(Idempotency::NonIdempotent);
    settings.classes[0].worker_kind = Some(1);
    let mut node = Node::new(settings, &two_kinds());
    for i in 0..5 {
        node.job(i, 0.1);
        assert_eq!(node.sent(), Some(1));
    }
    node.roster(EndpointUpdateKind::Changes, &[Endpoint { state: WorkerState::Draining, ..two_kinds()[1] }]);
    node.job(9, 0.1);
    assert!(node.refused(), "the only worker of the kind drains");
}

#[test]
fn absurd_figures_count_as_absent() {
    let figures = [0.0, -1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, 1e300];
    for figure in figures {
        let mut node = Node::new(settings(Idempotency::Idempotent), &[entry(0), entry(1)]);
        let figure = Some(figure);
        let odd = IncomingRequest { cost_hint: figure, slots: figure, ..job(1, 1.0) };
        node.handle(Event::Request(odd));
        assert!(node.sent().is_some(), "{figure:?} is read as 1");
        let report = LoadReport {
            queue: figure,
            in_flight: figure,
            utilization: figure,
            qps: figure,
            free_slots: figure,
        };
        node.now += 100 * MS;
        node.report(1, 0, Outcome::Served, Some(report));
        node.job(2, 0.1);
        assert!(node.sent().is_some(), "a report of {figure:?} does not stop the next job");
    }
}

#[test]
fn unknown_classes_and_spent_times_are_refused_at_once() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[entry(0)]);
    node.handle(Event::Request(IncomingRequest { class: 7, ..job(1, 0.1) }));
    assert!(node.refused());
    node.handle(Event::Request(IncomingRequest { time_left: 0, ..job(2, 0.1) }));
    assert!(node.refused());
    let mut nobody = Node::new(settings(Idempotency::NonIdempotent), &[]);
    nobody.job(3, 0.1);
    assert!(nobody.refused(), "an empty list");
}

#[test]
fn bad_settings_are_named() {
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

/// The cost of a decision must not grow with the fleet, and the few ready workers of a large roster
/// must still be found.
#[test]
fn large_rosters_are_sampled_and_a_lone_ready_worker_is_found() {
    let all: Vec<_> = (0..1000)
        .map(|i| {
            let state = if i == 777 { WorkerState::Ready } else { WorkerState::Draining };
            Endpoint { state, ..entry(i) }
        })
        .collect();
    for seed in 0..20 {
        let mut node = Node::seeded(settings(Idempotency::NonIdempotent), &all, seed);
        node.job(1, 0.1);
        assert_eq!(node.sent(), Some(777));
    }
    let ready: Vec<_> = (0..1000).map(entry).collect();
    let mut met = std::collections::BTreeSet::new();
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &ready);
    for i in 0..200 {
        node.job(i, 0.1);
        met.insert(node.sent().expect("sent") / 100);
    }
    assert_eq!(met.len(), 10, "from all over the roster");
}

#[test]
fn a_probe_made_by_the_node_counts_like_an_answer() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[entry(0), entry(1)]);
    for _ in 0..10 {
        let worker = WorkerId(0);
        node.handle(Event::LoadQueryCompleted { worker, outcome: Outcome::TimedOut, report: None });
    }
    // Crowded by what it does not answer: a job of both slots is better off elsewhere.
    node.handle(Event::Request(IncomingRequest { slots: Some(2.0), ..job(1, 0.1) }));
    assert_eq!(node.sent(), Some(1));
    let nobody = WorkerId(99);
    assert!(
        node.handle(Event::LoadQueryCompleted { worker: nobody, outcome: Outcome::Served, report: None })
            .is_empty()
    );
}

#[test]
fn a_refusal_tells_by_how_much_the_queue_must_shrink_first() {
    let mut node = Node::new(settings(Idempotency::NonIdempotent), &[entry(0)]);
    let mut last = 0;
    for request in 1.. {
        assert!(request < 100, "the gate closes");
        if let [Action::Reject { retry_after, .. }] = *node.job(request, 0.5) {
            last = retry_after;
            break;
        }
    }
    assert!(last > 0 && last < 10 * SECOND, "{last}");
    // Nobody to send to: a round later the list may have changed.
    let mut alone = Node::new(settings(Idempotency::NonIdempotent), &[]);
    let why = Rejection::NoEligibleWorker;
    let refusal = Action::Reject { request: RequestId(1), retry_after: SECOND, reason: why };
    assert_eq!(alone.job(1, 0.5), [refusal]);
}
