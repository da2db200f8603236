//! What all dispatchers of a large fleet do together who know nearly the same.
mod common;
use common::*;
use copperspread_dispatcher::*;

const WORKERS: u32 = 20;

/// A dispatcher of a fleet that has had jobs at all workers, where worker 0 has shown itself twice as
/// quick as the others.
fn seasoned(fleet: u32, number: u32) -> Node {
    let settings =
        Settings { fleet_size: fleet, instance_index: Some(number), ..settings(Idempotency::Idempotent) };
    let entries: Vec<_> = (0..WORKERS).map(entry).collect();
    let mut node = Node::seeded(settings, &entries, u64::from(number) + 1);
    let per_round = u64::from(2 * WORKERS);
    for round in 0..10 {
        let mut out = Vec::new();
        for id in round * per_round..(round + 1) * per_round {
            node.job(id, 0.2);
            out.push((node.sent().expect("it is sent"), id));
            let progress = Progress::Started;
            node.handle(Event::AttemptProgress { request: RequestId(id), attempt: 0, progress });
        }
        out.sort_unstable();
        node.now += 100 * MS;
        for (at, &(worker, id)) in out.iter().enumerate() {
            if worker != 0 && (at == 0 || out[at - 1].0 == 0) {
                node.now += 100 * MS;
            }
            node.outcome(id, 0, Outcome::Served);
        }
        node.now += SECOND;
    }
    node
}

/// The share of the fleet's next jobs, one each, that goes to the quick worker.
fn share_at_the_quick_one(fleet: u32) -> f64 {
    let met = (0..fleet).map(|number| seasoned(fleet, number)).filter_map(|mut node| {
        node.job(1_000, 0.2);
        node.sent().filter(|&worker| worker == 0)
    });
    met.count() as f64 / f64::from(fleet)
}

#[test]
fn a_hundred_dispatchers_who_know_the_same_quick_worker_do_not_all_meet_there() {
    let share = share_at_the_quick_one(100);
    // Its even share is 0.05; with no taste all but a few meet there.
    assert!((0.04..0.3).contains(&share), "{share}");
}

#[test]
fn a_fleet_of_three_goes_by_what_it_knows() {
    assert_eq!(share_at_the_quick_one(3), 1.0);
}

/// Ten times as slow is beyond any taste; and past the gate comes before any taste.
#[test]
fn taste_neither_sends_to_a_far_slower_worker_nor_refuses_what_passes_the_gate_elsewhere() {
    for seed in 0..200 {
        let settings =
            Settings { fleet_size: 100, instance_index: Some(7), ..settings(Idempotency::Idempotent) };
        let mut node = Node::seeded(settings, &[entry(0), entry(1)], seed);
        let took = |worker| if worker == 0 { 2_000 * MS } else { 200 * MS };
        for id in 0..60 {
            node.job(id, 0.2);
            let Some(worker) = node.sent() else { continue };
            let progress = Progress::Started;
            node.handle(Event::AttemptProgress { request: RequestId(id), attempt: 0, progress });
            node.now += took(worker);
            node.outcome(id, 0, Outcome::Served);
        }
        node.job(1_000, 0.3);
        assert_eq!(node.sent(), Some(1), "seed {seed}");
    }
}

/// Of a hundred dispatchers, how many send their first job to a cold worker, with a budget that holds them
/// all, after so many workers have come and gone.
fn first_at_the_cold_one(gone: u32) -> usize {
    let first = (0..100).filter(|&number| {
        let settings =
            Settings { fleet_size: 100, instance_index: Some(number), ..settings(Idempotency::Idempotent) };
        let settings = Settings { overload_multiple: 1e6, ..settings };
        let all: Vec<_> = (0..WORKERS + gone).map(entry).collect();
        let mut node = Node::seeded(settings, &all, u64::from(number) + 1);
        let mut left = all[..WORKERS as usize].to_vec();
        left[0].started_at = Some(node.now);
        node.roster(EndpointUpdateKind::Full, &left);
        node.job(1, 0.2);
        node.sent() == Some(0)
    });
    first.count()
}

#[test]
fn workers_that_came_and_went_do_not_make_cold_ones_look_better() {
    let (fresh, aged) = (first_at_the_cold_one(0), first_at_the_cold_one(2_000));
    assert!((10..80).contains(&fresh) && aged.abs_diff(fresh) < 20, "{fresh}, {aged}");
}
