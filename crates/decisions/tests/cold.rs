//! Cold workers: all dispatchers together stay inside the budget, though none knows of the others.
mod common;
use common::*;
use copperspread_decisions::*;

/// Plays a fleet of dispatchers for some seconds after a worker's start and returns the largest
/// work sent to it within any window, as a share of the budget of its first moment.
fn worst_window(fleet: u32, seed: u64, restarted_dispatchers: bool, heavy: bool) -> f64 {
    let settings = Settings { fleet_size: fleet, ..settings(Effect::Unsafe) };
    let warm: Vec<_> = (0..8).map(entry).collect();
    let idle = Some(Report { queue: Some(0.0), free_slots: Some(2.0), ..Report::default() });
    let start = 100 * SECOND;
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut all = warm.clone();
    all[0].started_at = Some(start);
    let mut nodes: Vec<_> = (0..fleet)
        .map(|me| {
            let mut node = Node::seeded(settings.clone(), &warm, seed * 1000 + u64::from(me));
            node.now = start - 60 * SECOND;
            if !restarted_dispatchers {
                for i in 0..30 {
                    node.run(1_000_000 + i, 0.5, 0.5, idle);
                    node.now += SECOND;
                }
            }
            node.now = start;
            node.roster(RosterKind::Full, &all);
            node
        })
        .collect();
    let window = settings.fall_window;
    let mut sends: Vec<(Micros, f64)> = Vec::new();
    // About as much as eight workers of two slots can do, over all dispatchers.
    let steps = 8 * 2 * 2 * 6;
    for step in 0..steps {
        let now = start + step * 6 * SECOND / steps;
        let node = &mut nodes[rng.usize(0..fleet as usize)];
        node.now = now;
        let work = if heavy { 0.1 - rng.f64().max(1e-6).ln() * 0.4 } else { 0.5 };
        node.job(step, work);
        if node.sent() == Some(0) {
            sends.push((now, work));
        }
    }
    let capacity = settings.cold_from * 2.0;
    let budget = settings.fall_multiple * capacity * window as f64 / SECOND as f64;
    (0..sends.len())
        .map(|i| {
            let within = sends[i..].iter().take_while(|s| s.0 < sends[i].0 + window);
            within.map(|s| s.1).sum::<f64>() / budget
        })
        .fold(0.0, f64::max)
}

#[test]
fn the_fleet_stays_inside_the_budget_at_every_size() {
    for fleet in [1, 2, 7, 40, 200] {
        for heavy in [false, true] {
            for seed in 0..10 {
                let worst = worst_window(fleet, seed, false, heavy);
                assert!(worst < 1.0, "{fleet} dispatchers, heavy {heavy}, seed {seed}: {worst}");
            }
        }
    }
}

#[test]
fn restarted_dispatchers_stay_inside_the_budget_too() {
    for fleet in [1, 7, 200] {
        for seed in 0..10 {
            let worst = worst_window(fleet, seed, true, true);
            assert!(worst < 1.0, "{fleet} dispatchers, seed {seed}: {worst}");
        }
    }
}

#[test]
fn a_cold_worker_does_get_work() {
    let total: f64 = (0..10).map(|seed| worst_window(7, seed, false, false)).sum();
    assert!(total > 0.3, "thinned, not shut out: {total} over ten plays");
}

#[test]
fn a_job_too_heavy_for_the_budget_never_goes_to_a_cold_worker() {
    let mut sent = 0;
    for seed in 0..200 {
        let mut node = Node::seeded(settings(Effect::Unsafe), &[], seed);
        node.roster(RosterKind::Full, &[WorkerEntry { started_at: Some(node.now), ..entry(0) }]);
        node.now += SECOND;
        node.job(1, 5.0);
        sent += u32::from(node.sent().is_some());
    }
    assert_eq!(sent, 0);
}

#[test]
fn a_worker_is_warm_after_the_stated_time() {
    let mut node = Node::new(settings(Effect::Unsafe), &[]);
    node.roster(RosterKind::Full, &[WorkerEntry { started_at: Some(node.now), ..entry(0) }]);
    node.now += 11 * SECOND;
    node.job(1, 0.5);
    assert_eq!(node.sent(), Some(0));
}
