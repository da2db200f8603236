//! What all dispatchers of a large fleet do together who know nearly the same.
mod common;
use common::{Harness, MS, endpoint, settings};
use copperspread_dispatcher::{EndpointUpdateKind, Idempotency, Outcome, SECOND, Settings};

const WORKERS: u32 = 20;

/// A dispatcher of a fleet that has had requests at all workers, where worker 0 has shown itself twice as
/// fast as the others.
fn experienced(fleet: u32, number: u32) -> Harness {
    let settings =
        Settings { fleet_size: fleet, instance_index: Some(number), ..settings(Idempotency::Idempotent) };
    let endpoints: Vec<_> = (0..WORKERS).map(endpoint).collect();
    let mut harness = Harness::seeded(settings, &endpoints, u64::from(number) + 1);
    let per_round = u64::from(2 * WORKERS);
    for round in 0..10 {
        let mut out = Vec::new();
        for id in round * per_round..(round + 1) * per_round {
            harness.offer(id, 0.2);
            out.push((harness.sent_worker().expect("it is sent"), id));
            harness.start_attempt(id, 0);
        }
        out.sort_unstable();
        harness.now += 100 * MS;
        for (at, &(worker, id)) in out.iter().enumerate() {
            if worker != 0 && (at == 0 || out[at - 1].0 == 0) {
                harness.now += 100 * MS;
            }
            harness.complete(id, 0, Outcome::Served);
        }
        harness.now += SECOND;
    }
    harness
}

/// The fraction of the fleet's next requests, one each, that goes to the fast worker.
fn fraction_at_the_fast_worker(fleet: u32) -> f64 {
    let met = (0..fleet).map(|number| experienced(fleet, number)).filter_map(|mut harness| {
        harness.offer(1_000, 0.2);
        harness.sent_worker().filter(|&worker| worker == 0)
    });
    met.count() as f64 / f64::from(fleet)
}

#[test]
fn a_hundred_dispatchers_that_know_the_same_fast_worker_do_not_all_choose_it() {
    let share = fraction_at_the_fast_worker(100);
    // An even split is 0.05; with no affinity all but a few are sent there.
    assert!((0.04..0.3).contains(&share), "{share}");
}

#[test]
fn a_fleet_of_three_chooses_by_the_estimate_alone() {
    assert_eq!(fraction_at_the_fast_worker(3), 1.0);
}

/// Ten times as slow outweighs any affinity, and so does admission.
#[test]
fn affinity_neither_selects_a_far_slower_worker_nor_rejects_what_is_admitted_elsewhere() {
    for seed in 0..200 {
        let settings =
            Settings { fleet_size: 100, instance_index: Some(7), ..settings(Idempotency::Idempotent) };
        let mut harness = Harness::seeded(settings, &[endpoint(0), endpoint(1)], seed);
        let took = |worker| if worker == 0 { 2_000 * MS } else { 200 * MS };
        for id in 0..60 {
            harness.offer(id, 0.2);
            let Some(worker) = harness.sent_worker() else { continue };
            harness.start_attempt(id, 0);
            harness.now += took(worker);
            harness.complete(id, 0, Outcome::Served);
        }
        harness.offer(1_000, 0.3);
        assert_eq!(harness.sent_worker(), Some(1), "seed {seed}");
    }
}

/// Of a hundred dispatchers, how many send their first request to a warming worker, with a budget that holds them
/// all, after so many workers have come and gone.
fn first_attempts_at_the_warming_worker(gone: u32) -> usize {
    let first = (0..100).filter(|&number| {
        let settings =
            Settings { fleet_size: 100, instance_index: Some(number), ..settings(Idempotency::Idempotent) };
        let settings = Settings { overload_multiple: 1e6, ..settings };
        let all: Vec<_> = (0..WORKERS + gone).map(endpoint).collect();
        let mut harness = Harness::seeded(settings, &all, u64::from(number) + 1);
        let mut left = all[..WORKERS as usize].to_vec();
        left[0].started_at = Some(harness.now);
        harness.update_endpoints(EndpointUpdateKind::Full, &left);
        harness.offer(1, 0.2);
        harness.sent_worker() == Some(0)
    });
    first.count()
}

#[test]
fn workers_that_were_removed_do_not_make_warming_ones_rank_better() {
    let (fresh, aged) =
        (first_attempts_at_the_warming_worker(0), first_attempts_at_the_warming_worker(2_000));
    assert!((10..80).contains(&fresh) && aged.abs_diff(fresh) < 20, "{fresh}, {aged}");
}
