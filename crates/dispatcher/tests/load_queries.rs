//! Probes where nothing else tells of a worker's load, and what they tell.
mod common;
use common::*;
use copperspread_dispatcher::*;

const FREE: LoadReport =
    LoadReport { queue: None, in_flight: Some(0.0), utilization: None, qps: None, free_slots: Some(4.0) };

/// Workers of 4 slots that tell of starts, and of their load when probed.
fn told(count: u32) -> Node {
    let mut settings =
        Settings { load_by_query: true, load_query_cost: 0.002, ..settings(Idempotency::Idempotent) };
    // The gate is not what is tested here.
    (settings.classes[0].latency_objective, settings.classes[0].deadline) = (100 * SECOND, 200 * SECOND);
    let workers: Vec<_> = (0..count).map(entry).collect();
    let mut node = Node::new(settings, &workers);
    (0..count).for_each(|worker| probed(&mut node, worker, Outcome::Served, Some(FREE)));
    node
}

fn probed(node: &mut Node, worker: u32, outcome: Outcome, report: Option<LoadReport>) {
    node.handle(Event::LoadQueryCompleted { worker: WorkerId(worker), outcome, report });
}

fn long(id: u64, work: f64) -> IncomingRequest {
    IncomingRequest { time_left: 200 * SECOND, ..job(id, work) }
}

/// Sends a job of some slots and work, and lets it start at once; returns its worker.
fn start(node: &mut Node, id: u64, slots: f64, work: f64) -> u32 {
    node.handle(Event::Request(IncomingRequest { slots: Some(slots), ..long(id, work) }));
    let worker = node.sent().expect("it is sent");
    node.handle(Event::AttemptProgress { request: RequestId(id), attempt: 0, progress: Progress::Started });
    worker
}

#[test]
fn a_wide_job_is_refused_only_until_probes_have_told_of_the_slots() {
    // A job of 4 slots and little slack: at the first guess of 2 slots its estimate is twice its time.
    let by_probe =
        Settings { load_by_query: true, load_query_cost: 0.002, ..settings(Idempotency::Idempotent) };
    let mut node = Node::new(by_probe, &[entry(0), entry(1)]);
    let wide = |id| IncomingRequest { slots: Some(4.0), ..job(id, 8.0) };
    node.handle(Event::Request(IncomingRequest { time_left: 9 * SECOND, ..wide(1) }));
    assert!(node.refused(), "{:?}", node.actions);
    (0..2).for_each(|worker| probed(&mut node, worker, Outcome::Served, Some(FREE)));
    node.handle(Event::Request(IncomingRequest { time_left: 9 * SECOND, ..wide(2) }));
    assert!(node.sent().is_some(), "{:?}", node.actions);
}

#[test]
fn own_jobs_that_a_report_cannot_know_yet_are_not_taken_off_others_in_it() {
    // The report tells of 3 slots that others took; of this dispatcher's 3 jobs it knows nothing yet.
    let mut node = told(2);
    let first = start(&mut node, 1, 3.0, 4.0);
    let taken = LoadReport { in_flight: Some(3.0), free_slots: Some(1.0), ..FREE };
    probed(&mut node, first, Outcome::Served, Some(taken));
    probed(&mut node, 1 - first, Outcome::Served, Some(taken));
    node.handle(Event::Request(IncomingRequest { slots: Some(1.0), ..long(2, 1.0) }));
    assert_eq!(node.sent(), Some(1 - first), "6 slots are taken at the first");
    // A second later it does.
    let mut node = told(2);
    let first = start(&mut node, 1, 3.0, 4.0);
    node.now += SECOND;
    probed(&mut node, first, Outcome::Served, Some(taken));
    let crowded = LoadReport { in_flight: Some(12.0), free_slots: Some(0.0), ..FREE };
    probed(&mut node, 1 - first, Outcome::Served, Some(crowded));
    node.handle(Event::Request(IncomingRequest { slots: Some(1.0), ..long(2, 1.0) }));
    assert_eq!(node.sent(), Some(first), "the 3 are its own, and a slot is free");
}

#[test]
fn a_probe_not_answered_in_time_says_crowded_and_not_faulty() {
    let mut node = told(2);
    for _ in 0..10 {
        probed(&mut node, 0, Outcome::TimedOut, None);
    }
    probed(&mut node, 1, Outcome::Served, Some(FREE));
    assert_eq!(start(&mut node, 1, 4.0, 0.2), 1, "behind the queue of worker 0 it would wait");
    // As soon as it answers it is as good as any: a fault would be remembered for seconds.
    probed(&mut node, 0, Outcome::Served, Some(FREE));
    node.now += 100 * MS;
    assert_eq!(start(&mut node, 5, 4.0, 0.2), 0);
}

#[test]
fn an_answer_without_a_report_leaves_what_a_probe_told() {
    let mut node = told(2);
    let busy = LoadReport { in_flight: Some(8.0), free_slots: Some(0.0), ..FREE };
    start(&mut node, 1, 1.0, 0.2);
    probed(&mut node, 0, Outcome::Served, Some(busy));
    probed(&mut node, 1, Outcome::Served, Some(FREE));
    node.now += 200 * MS;
    node.report(1, 0, Outcome::Served, None);
    assert_eq!(start(&mut node, 2, 4.0, 0.2), 1);
}

/// Probes in so many seconds, with so many jobs a second, each served at once.
fn probes(settings: Settings, workers: u32, seconds: u64, jobs: u64) -> u64 {
    let workers: Vec<_> = (0..workers).map(entry).collect();
    let mut node = Node::new(settings, &workers);
    let (mut timers, mut count, mut id) = (vec![], 0, 0);
    let mut take = |node: &Node, timers: &mut Vec<(Micros, Timer)>| {
        for action in &node.actions {
            match action {
                Action::StartTimer { after, timer } => timers.push((node.now + after, *timer)),
                Action::QueryLoad { .. } => count += 1,
                _ => {}
            }
        }
    };
    take(&node, &mut timers);
    let end = node.now + seconds * SECOND;
    while node.now < end {
        node.now += SECOND / 100;
        if (node.now / (SECOND / 100)).is_multiple_of(100 / jobs) {
            id += 1;
            node.job(id, 0.1);
            take(&node, &mut timers);
            node.report(id, 0, Outcome::Served, None);
            take(&node, &mut timers);
        }
        let (due, later): (Vec<_>, Vec<_>) = timers.into_iter().partition(|(at, _)| *at <= node.now);
        timers = later;
        for (_, timer) in due {
            node.handle(Event::TimerExpired(timer));
            take(&node, &mut timers);
        }
    }
    count
}

#[test]
fn probes_come_only_where_nothing_else_tells_and_only_as_jobs_earn_them() {
    let by_probe =
        Settings { load_by_query: true, load_query_cost: 0.002, ..settings(Idempotency::Idempotent) };
    assert_eq!(probes(settings(Idempotency::Idempotent), 10, 20, 10), 0, "answers tell");
    let few = probes(by_probe.clone(), 10, 20, 10);
    assert!((180..=220).contains(&few), "each worker about once a second: {few}");
    let many = probes(by_probe.clone(), 200, 20, 1);
    assert!((20..=125).contains(&many), "a job earns five, and twenty were saved: {many}");
    let dear = Settings { load_query_cost: 0.1, ..by_probe };
    assert!(probes(dear, 10, 20, 10) <= 45, "dearer ones are fewer");
}

#[test]
fn a_worker_that_drains_is_not_probed() {
    let mut node = told(2);
    let draining = Endpoint { state: WorkerState::Draining, ..entry(1) };
    node.roster(EndpointUpdateKind::Changes, &[draining]);
    for _ in 0..10 {
        node.handle(Event::TimerExpired(Timer::LoadQuery));
        let probed = |action: &Action| matches!(action, Action::QueryLoad { worker } if worker.0 == 1);
        assert!(!node.actions.iter().any(probed), "{:?}", node.actions);
    }
}
