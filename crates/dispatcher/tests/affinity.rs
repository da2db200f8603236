//! Affinity: how it distributes the requests of a large fleet of dispatchers that have nearly equal
//! estimates.
mod common;
use common::{Harness, MS, endpoint, settings};
use copperspread_dispatcher::{EndpointUpdateKind, Idempotency, Outcome, SECOND, Settings};

const WORKERS: u32 = 20;

/// A dispatcher that has served requests at all workers and has learned that worker 0 is twice as fast as the
/// others.
fn dispatcher_with_estimates(dispatcher_count: u32, index: u32) -> Harness {
    let settings = Settings {
        fleet_size: dispatcher_count,
        instance_index: Some(index),
        ..settings(Idempotency::Idempotent)
    };
    let endpoints: Vec<_> = (0..WORKERS).map(endpoint).collect();
    let mut harness = Harness::seeded(settings, &endpoints, u64::from(index) + 1);
    let requests_per_round = u64::from(2 * WORKERS);
    for round in 0..10 {
        let mut in_flight = Vec::new();
        for id in round * requests_per_round..(round + 1) * requests_per_round {
            harness.offer(id, 0.2);
            in_flight.push((harness.sent_worker().expect("the request is sent"), id));
            harness.start_attempt(id, 0);
        }
        in_flight.sort_unstable();
        harness.now += 100 * MS;
        for (position, &(worker, id)) in in_flight.iter().enumerate() {
            if worker != 0 && (position == 0 || in_flight[position - 1].0 == 0) {
                harness.now += 100 * MS;
            }
            harness.complete(id, 0, Outcome::Served);
        }
        harness.now += SECOND;
    }
    harness
}

/// The fraction of the dispatchers whose next request goes to the fast worker.
fn fraction_sent_to_the_fast_worker(dispatcher_count: u32) -> f64 {
    let hits = (0..dispatcher_count)
        .map(|index| dispatcher_with_estimates(dispatcher_count, index))
        .filter_map(|mut harness| {
            harness.offer(1_000, 0.2);
            harness.sent_worker().filter(|&worker| worker == 0)
        });
    hits.count() as f64 / f64::from(dispatcher_count)
}

#[test]
fn a_hundred_dispatchers_with_the_same_estimates_do_not_all_select_the_same_worker() {
    let fraction = fraction_sent_to_the_fast_worker(100);
    // An even split is 0.05; without affinity, nearly all requests go to the fast worker.
    assert!((0.04..0.3).contains(&fraction), "{fraction}");
}

#[test]
fn a_fleet_of_three_selects_by_the_estimate_alone() {
    assert_eq!(fraction_sent_to_the_fast_worker(3), 1.0);
}

/// Affinity selects no worker whose service time is ten times that of another, and rejects no request that
/// another worker can admit.
#[test]
fn affinity_neither_selects_a_far_slower_worker_nor_rejects_what_another_worker_can_admit() {
    for seed in 0..200 {
        let settings =
            Settings { fleet_size: 100, instance_index: Some(7), ..settings(Idempotency::Idempotent) };
        let mut harness = Harness::seeded(settings, &[endpoint(0), endpoint(1)], seed);
        let service_time = |worker| if worker == 0 { 2_000 * MS } else { 200 * MS };
        for id in 0..60 {
            harness.offer(id, 0.2);
            let Some(worker) = harness.sent_worker() else { continue };
            harness.start_attempt(id, 0);
            harness.now += service_time(worker);
            harness.complete(id, 0, Outcome::Served);
        }
        harness.offer(1_000, 0.3);
        assert_eq!(harness.sent_worker(), Some(1), "seed {seed}");
    }
}

/// The number of dispatchers, out of 100, that send their first request to a worker in slow start after
/// `removed` other workers have left the list. The slow-start budget is large enough for all of them.
fn first_attempts_at_the_worker_in_slow_start(removed: u32) -> usize {
    let first = (0..100).filter(|&index| {
        let settings =
            Settings { fleet_size: 100, instance_index: Some(index), ..settings(Idempotency::Idempotent) };
        let settings = Settings { overload_multiple: 1e6, ..settings };
        let all: Vec<_> = (0..WORKERS + removed).map(endpoint).collect();
        let mut harness = Harness::seeded(settings, &all, u64::from(index) + 1);
        let mut remaining = all[..WORKERS as usize].to_vec();
        remaining[0].started_at = Some(harness.now);
        harness.update_endpoints(EndpointUpdateKind::Full, &remaining);
        harness.offer(1, 0.2);
        harness.sent_worker() == Some(0)
    });
    first.count()
}

#[test]
fn removed_workers_do_not_improve_the_rank_of_a_worker_in_slow_start() {
    let (hits_without_removed, hits_with_removed) =
        (first_attempts_at_the_worker_in_slow_start(0), first_attempts_at_the_worker_in_slow_start(2_000));
    assert!(
        (10..80).contains(&hits_without_removed) && hits_with_removed.abs_diff(hits_without_removed) < 20,
        "{hits_without_removed} of 100 without removed workers, {hits_with_removed} with them"
    );
}
