//! Workers that start their jobs in order: how long a job waits there, and probes where nothing else tells.
mod common;
use common::*;
use copperspread_decisions::*;

const FREE: Report = Report {
    queue: None,
    inflight: Some(0.0),
    util: None,
    qps: None,
    free_slots: Some(4.0),
    free_memory: None,
};

/// Workers of 4 slots that tell of starts, and of their load when probed.
fn told(count: u32) -> Node {
    let mut settings = Settings { reports_by_probe: true, price_probe: 0.002, ..settings(Effect::Safe) };
    // The gate is not what is tested here.
    (settings.classes[0].aim, settings.classes[0].deadline) = (100 * SECOND, 200 * SECOND);
    let workers: Vec<_> = (0..count).map(entry).collect();
    let mut node = Node::new(settings, &workers);
    (0..count).for_each(|worker| probed(&mut node, worker, Outcome::Served, Some(FREE)));
    node
}

fn probed(node: &mut Node, worker: u32, outcome: Outcome, report: Option<Report>) {
    node.handle(Event::Probed { worker: WorkerId(worker), outcome, report });
}

fn long(id: u64, work: f64) -> Job {
    Job { time_left: 200 * SECOND, ..job(id, work) }
}

/// Sends a job of some slots, work and memory, and lets it start at once; returns its worker.
fn start(node: &mut Node, id: u64, slots: f64, work: f64, memory: f64) -> u32 {
    node.handle(Event::Job(Job { slots: Some(slots), memory: Some(memory), ..long(id, work) }));
    let worker = node.sent().expect("it is sent");
    node.handle(Event::Progress { request: RequestId(id), attempt: 0, progress: Progress::Started });
    worker
}

/// The estimate of the one send among the last actions, in seconds.
fn estimate(node: &Node) -> f64 {
    let mut all = node.actions.iter().filter_map(|action| match action {
        Action::Send { estimate, .. } => Some(*estimate as f64 / SECOND as f64),
        _ => None,
    });
    all.next().unwrap_or_else(|| panic!("a send in {:?}", node.actions))
}

#[test]
fn a_short_job_behind_a_long_one_waits_for_its_end() {
    // The one slot too few is that of a job of 4 s: eq. (1), where jobs share, would say 0.1 s more.
    let mut node = told(1);
    start(&mut node, 1, 4.0, 4.0, 0.0);
    node.handle(Event::Job(long(2, 0.1)));
    assert!((4.0..4.8).contains(&estimate(&node)), "{}", estimate(&node));
}

#[test]
fn what_a_job_has_done_tells_when_it_ends_better_than_its_hint() {
    let mut node = told(1);
    start(&mut node, 1, 4.0, 4.0, 0.0);
    node.now += SECOND;
    let done = Progress::Done(0.8);
    node.handle(Event::Progress { request: RequestId(1), attempt: 0, progress: done });
    node.handle(Event::Job(long(2, 0.1)));
    assert!(estimate(&node) < 1.0, "0.25 s are left, not 3: {}", estimate(&node));
}

#[test]
fn a_job_goes_where_its_slots_and_its_memory_fit() {
    // What is held at one worker, what is sent next, and whether it has to go to the other.
    let cases = [
        ((2.0, 0.0), (2.0, 0.0), false, "both fit"),
        ((2.0, 0.0), (4.0, 0.0), true, "too few slots are left"),
        ((1.0, 3.0), (1.0, 2.0), true, "too little memory is left"),
        ((1.0, 1.0), (1.0, 2.0), false, "memory enough"),
    ];
    for (held, next, elsewhere, what) in cases {
        let mut node = told(2);
        let first = start(&mut node, 1, held.0, 3.0, held.1);
        // The other worker is a little slower, so that it is chosen only where the first would wait.
        let slower = 1 - first;
        for id in 10..30 {
            node.handle(Event::Job(long(id, 0.1)));
            let worker = node.sent().expect("sent");
            node.handle(Event::Progress { request: RequestId(id), attempt: 0, progress: Progress::Started });
            node.now += if worker == slower { 130 * MS } else { 100 * MS };
            node.report(id, 0, Outcome::Served, None);
        }
        (0..2).for_each(|worker| probed(&mut node, worker, Outcome::Served, Some(FREE)));
        let worker = start(&mut node, 100, next.0, 0.2, next.1);
        assert!(!elsewhere || worker == slower, "{what}");
        if !elsewhere {
            assert!(estimate_of(&mut node, 101) < 0.5, "{what}");
        }
    }
}

fn estimate_of(node: &mut Node, id: u64) -> f64 {
    node.handle(Event::Job(long(id, 0.1)));
    estimate(node)
}

#[test]
fn a_probe_not_answered_in_time_says_crowded_and_not_faulty() {
    let mut node = told(2);
    for _ in 0..10 {
        probed(&mut node, 0, Outcome::TimedOut, None);
    }
    probed(&mut node, 1, Outcome::Served, Some(FREE));
    for id in 1..5 {
        assert_eq!(start(&mut node, id, 1.0, 0.2, 0.0), 1, "behind the queue of worker 0 it would wait");
    }
    // As soon as it answers it is as good as any: a fault would be remembered for seconds.
    probed(&mut node, 0, Outcome::Served, Some(FREE));
    node.now += 100 * MS;
    assert_eq!(start(&mut node, 5, 4.0, 0.2, 0.0), 0);
}

#[test]
fn an_answer_without_a_report_leaves_what_a_probe_told() {
    let mut node = told(2);
    let busy = Report { inflight: Some(8.0), free_slots: Some(0.0), ..FREE };
    start(&mut node, 1, 1.0, 0.2, 0.0);
    probed(&mut node, 0, Outcome::Served, Some(busy));
    probed(&mut node, 1, Outcome::Served, Some(FREE));
    node.now += 200 * MS;
    node.report(1, 0, Outcome::Served, None);
    assert_eq!(start(&mut node, 2, 4.0, 0.2, 0.0), 1);
}

/// Probes in so many seconds, with so many jobs a second, each served at once.
fn probes(settings: Settings, workers: u32, seconds: u64, jobs: u64) -> u64 {
    let workers: Vec<_> = (0..workers).map(entry).collect();
    let mut node = Node::new(settings, &workers);
    let (mut timers, mut count, mut id) = (vec![], 0, 0);
    let mut take = |node: &Node, timers: &mut Vec<(Micros, Timer)>| {
        for action in &node.actions {
            match action {
                Action::Wake { after, timer } => timers.push((node.now + after, *timer)),
                Action::Probe { .. } => count += 1,
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
            node.handle(Event::Timer(timer));
            take(&node, &mut timers);
        }
    }
    count
}

#[test]
fn probes_come_only_where_nothing_else_tells_and_only_as_jobs_earn_them() {
    let by_probe = Settings { reports_by_probe: true, price_probe: 0.002, ..settings(Effect::Safe) };
    assert_eq!(probes(settings(Effect::Safe), 10, 20, 10), 0, "answers tell");
    let few = probes(by_probe.clone(), 10, 20, 10);
    assert!((180..=220).contains(&few), "each worker about once a second: {few}");
    let many = probes(by_probe.clone(), 200, 20, 1);
    assert!((20..=125).contains(&many), "a job earns five, and twenty were saved: {many}");
    let dear = Settings { price_probe: 0.1, ..by_probe };
    assert!(probes(dear, 10, 20, 10) <= 45, "dearer ones are fewer");
}

#[test]
fn a_worker_that_drains_is_not_probed() {
    let mut node = told(2);
    let draining = WorkerEntry { state: WorkerState::Draining, ..entry(1) };
    node.roster(RosterKind::Changes, &[draining]);
    for _ in 0..10 {
        node.handle(Event::Timer(Timer::Probe));
        let probed = |action: &Action| matches!(action, Action::Probe { worker } if worker.0 == 1);
        assert!(!node.actions.iter().any(probed), "{:?}", node.actions);
    }
}
