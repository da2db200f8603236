//! Failures of workers, zones and discovery, alone and combined: which workers the dispatcher avoids or uses
//! again, and what becomes of the requests.
mod common;
use common::{Harness, MS, class, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    DiscoveryMode, Endpoint, EndpointUpdateKind, Event, Idempotency, IncomingRequest, LoadReport, Micros,
    Outcome, SECOND, Settings, Timer,
};

const IDLE: LoadReport =
    LoadReport { queue: Some(0.0), in_flight: None, utilization: None, qps: None, free_slots: Some(2.0) };

fn workers_in_two_zones(count: u32) -> Vec<Endpoint> {
    (0..count).map(|i| Endpoint { zone: i % 2, ..endpoint(i) }).collect()
}

/// Sends requests one after the other and completes each attempt with the outcome and the duration that
/// `outcome_at` gives for its worker. Returns the number of attempts at each worker.
fn run_sequentially(
    harness: &mut Harness,
    requests: std::ops::Range<u64>,
    outcome_at: impl Fn(u32) -> (Outcome, Micros),
) -> Vec<u32> {
    let mut sends = vec![0; 16];
    for id in requests {
        harness.offer(id, 0.2);
        let mut attempt = 0;
        while let Some(worker) = harness.sent_worker() {
            sends[worker as usize] += 1;
            let (outcome, duration) = outcome_at(worker);
            if outcome == Outcome::Served {
                harness.start_attempt(id, attempt);
            }
            harness.now += duration;
            harness.complete_with_report(id, attempt, outcome, (outcome == Outcome::Served).then_some(IDLE));
            attempt += 1;
        }
    }
    sends
}

/// Sends requests that stay in flight; returns how many go to workers for which `is_counted` holds.
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
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &workers_in_two_zones(4));
    let hung = |w| if w == 0 { (Outcome::TimedOut, 10 * SECOND) } else { SERVED };
    run_sequentially(&mut harness, 0..40, hung);
    let sends = run_sequentially(&mut harness, 100..140, hung);
    assert!(sends[0] <= 4, "at most one request in ten is sent to the hung worker: {sends:?}");
}

#[test]
fn requests_in_flight_at_a_hung_worker_divert_new_ones_before_any_timeout() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &workers_in_two_zones(2));
    let mut counts = [0; 2];
    // Worker 0 never responds; worker 1 serves each request in 100 ms.
    for id in 0..60 {
        harness.offer(id, 0.1);
        let Some(worker) = harness.sent_worker() else { continue };
        counts[worker as usize] += 1;
        if worker == 1 {
            harness.now += 100 * MS;
            harness.complete_with_report(id, 0, Outcome::Served, Some(IDLE));
        }
    }
    assert!(counts[0] < 12 && counts[1] > 40, "{counts:?}");
}

#[test]
fn requests_at_a_crashed_worker_are_retried_elsewhere_and_it_is_avoided() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &workers_in_two_zones(4));
    let crashed = |w| if w == 0 { (Outcome::ConnectFailed, 50 * MS) } else { SERVED };
    let sends = run_sequentially(&mut harness, 0..60, crashed);
    assert_eq!(sends[1] + sends[2] + sends[3], 60, "every request was served: {sends:?}");
    assert!(sends[0] < 15, "the crashed worker is avoided: {sends:?}");
}

#[test]
fn when_all_workers_slow_down_together_none_is_avoided() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &workers_in_two_zones(4));
    run_sequentially(&mut harness, 0..40, |_| SERVED);
    let sends = run_sequentially(&mut harness, 100..180, |_| (Outcome::Served, 500 * MS));
    let (least, most) = (sends[..4].iter().min(), sends[..4].iter().max());
    assert!(least > Some(&5) && most < Some(&45), "all workers stay in use: {sends:?}");
}

#[test]
fn a_paused_worker_that_comes_back_is_used_again() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &workers_in_two_zones(2));
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
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &workers_in_two_zones(6));
    let partitioned = |w| if w % 2 == 1 { (Outcome::ConnectFailed, 250 * MS) } else { SERVED };
    run_sequentially(&mut harness, 0..60, partitioned);
    let sends = run_sequentially(&mut harness, 100..160, partitioned);
    let sent_to_partition: u32 = sends.iter().skip(1).step_by(2).sum();
    assert!(sent_to_partition < 20, "{sends:?}");
    for _ in 0..60 {
        harness.now += SECOND;
        harness.handle(Event::TimerExpired(Timer::PeriodicRefresh));
    }
    assert!(count_in_flight_at(&mut harness, 200..212, |w| w % 2 == 1) > 0);
}

#[test]
fn a_shrinking_fleet_rejects_excess_requests_and_every_request_gets_a_final_response() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &workers_in_two_zones(8));
    let mut sent_requests = Vec::new();
    let mut rejected = 0;
    for id in 0..80 {
        if id % 10 == 9 {
            harness.update_endpoints(EndpointUpdateKind::Full, &workers_in_two_zones(8 - id as u32 / 10));
        }
        harness.offer(id, 0.3);
        match harness.sent_worker() {
            Some(worker) => {
                assert!(
                    worker < 8.min(9 - (id as u32 + 1) / 10),
                    "only workers of the current list get requests"
                );
                sent_requests.push(id);
            }
            None => rejected += u32::from(harness.is_rejected()),
        }
    }
    assert_eq!(sent_requests.len() + rejected as usize, 80);
    assert!(rejected > 10 && sent_requests.len() > 20);
    // Requests at removed workers still get a final response: rejected if they never ran, failed if they may
    // have run.
    harness.update_endpoints(EndpointUpdateKind::Full, &[]);
    for (index, &id) in sent_requests.iter().enumerate() {
        let outcome = if index % 2 == 0 { Outcome::Reset } else { Outcome::ConnectFailed };
        harness.complete(id, 0, outcome);
        assert_eq!((harness.is_failed(), harness.is_rejected()), (index % 2 == 0, index % 2 == 1));
    }
}

#[test]
fn a_dispatcher_with_a_stale_cached_list_avoids_dead_workers_and_workers_in_slow_start() {
    // The cached list names workers 0 to 3. Worker 0 no longer exists, and worker 1 has restarted.
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &workers_in_two_zones(4));
    let stale = |w| if w == 0 { (Outcome::ConnectFailed, 50 * MS) } else { SERVED };
    let sends = run_sequentially(&mut harness, 0..20, stale);
    assert_eq!(sends[1..4].iter().sum::<u32>(), 20);
    let mut current = workers_in_two_zones(4);
    current.remove(0);
    current[0].started_at = Some(harness.now);
    harness.update_endpoints(EndpointUpdateKind::Full, &current);
    let sends = run_sequentially(&mut harness, 100..110, stale);
    assert_eq!(sends[0], 0, "worker 0 is no longer listed");
    assert!(sends[1] <= 2, "worker 1 is in slow start: {sends:?}");
}

#[test]
fn slow_workers_and_failing_discovery_together_leave_the_rest_in_use() {
    let settings = Settings { discovery: DiscoveryMode::Polled, ..settings(Idempotency::NonIdempotent) };
    let mut harness = Harness::new(settings, &workers_in_two_zones(4));
    let slow = |w| (Outcome::Served, if w < 2 { 1_000 * MS } else { 200 * MS });
    run_sequentially(&mut harness, 0..40, slow);
    harness.update_endpoints(EndpointUpdateKind::Failed, &[]);
    let sends = run_sequentially(&mut harness, 100..140, slow);
    assert!(sends[2] + sends[3] > 30, "{sends:?}");
}

// A worker may hang on the requests of one class only. The dispatcher must notice before their deadline, and
// send only that class elsewhere.
#[test]
fn a_class_that_hangs_at_one_worker_is_sent_elsewhere() {
    let classes = vec![class(Idempotency::NonIdempotent), class(Idempotency::NonIdempotent)];
    let endpoints = [endpoint(0), endpoint(1)];
    let mut harness = Harness::new(Settings { classes, ..settings(Idempotency::NonIdempotent) }, &endpoints);
    let mut counts_by_class_and_worker = [[0; 2]; 2];
    let mut unanswered = std::collections::VecDeque::new();
    for request in 0..300 {
        let class = (request % 2) as u32;
        harness.handle(Event::Request(IncomingRequest { class, ..incoming_request(request, 0.2) }));
        let worker = harness.sent_worker().expect("the request is sent");
        counts_by_class_and_worker[class as usize][worker as usize] += usize::from(request >= 100);
        harness.now += 100 * MS;
        if (class, worker) == (1, 0) {
            unanswered.push_back(request);
        } else {
            harness.complete(request, 0, Outcome::Served);
        }
        if unanswered.front().is_some_and(|&first| first + 20 < request) {
            // Its client disconnects, which is no evidence about the worker.
            let first = unanswered.pop_front().expect("a request hangs");
            harness.complete(first, 0, Outcome::Cancelled);
        }
        if request % 10 == 9 {
            harness.handle(Event::TimerExpired(Timer::PeriodicRefresh));
        }
    }
    let [[class_0_at_hung_worker, _], [class_1_at_hung_worker, class_1_at_other_worker]] =
        counts_by_class_and_worker;
    assert!(
        class_1_at_hung_worker * 4 < class_1_at_other_worker && class_0_at_hung_worker * 4 > 100,
        "{counts_by_class_and_worker:?}"
    );
}
