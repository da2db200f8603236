//! Slow start: all dispatchers together stay inside the budget, though none knows of the others.
mod common;
use common::{Harness, MS, endpoint, settings};
use copperspread_dispatcher::{
    Endpoint, EndpointUpdateKind, Idempotency, LoadReport, Micros, Outcome, SECOND, Settings, WorkerState,
};

/// What happens to the fleet in a run.
#[derive(Clone, Copy, Default)]
struct Plan {
    /// No dispatcher has records a request before.
    restarted: bool,
    /// Requests are of unequal work, some many times the usual.
    heavy: bool,
    /// All read what the worker held a second before, renewed every 0.9 s.
    listed: bool,
    /// Seven in ten dispatchers come back with nothing 1.5 s after the worker's start.
    killed: bool,
}

/// When the worker starts: long after the dispatchers, as what is offered a second counts from there.
const START: Micros = 200 * SECOND;
const DURATION: Micros = 6 * SECOND;
const LIST_INTERVAL: Micros = 900 * MS;
/// Slots of the worker that is warming up.
const SLOTS: f64 = 2.0;

/// Work sent to the worker that is warming up.
struct SentWork {
    at: Micros,
    work: f64,
}

/// What a fleet sent to the worker that is warming up, as fractions of its budget.
struct BudgetUse {
    /// The largest work within any window, of the multiple of the worker's mean capacity there.
    worst_window: f64,
    /// All work, of the budget at its start.
    total: f64,
}

/// A fleet of dispatchers with one worker that is warming up.
struct Simulation {
    plan: Plan,
    seed: u64,
    settings: Settings,
    endpoints: Vec<Endpoint>,
    harnesses: Vec<Harness>,
    sends: Vec<SentWork>,
}

impl Simulation {
    fn new(fleet: u32, seed: u64, plan: Plan) -> Simulation {
        let settings = Settings {
            fleet_size: fleet,
            sizes_reflect_load: plan.listed,
            ..settings(Idempotency::NonIdempotent)
        };
        let warm: Vec<_> = (0..8).map(endpoint).collect();
        let mut endpoints = warm.clone();
        endpoints[0].started_at = Some(START);
        if plan.listed {
            // Nobody else takes work: whatever is let through goes to the warming one.
            endpoints.iter_mut().skip(1).for_each(|of| of.state = WorkerState::Draining);
        }
        let mut simulation =
            Simulation { plan, seed, settings, endpoints, harnesses: Vec::new(), sends: Vec::new() };
        for index in 0..fleet {
            let harness = simulation.experienced_dispatcher(index, &warm);
            simulation.harnesses.push(harness);
        }
        simulation
    }

    fn settings_of(&self, index: u32) -> Settings {
        Settings { instance_index: Some(index), ..self.settings.clone() }
    }

    /// A dispatcher that knows loaded workers and has just been notified of the start.
    fn experienced_dispatcher(&self, index: u32, warm: &[Endpoint]) -> Harness {
        let seed = self.seed * 1000 + u64::from(index);
        let mut harness = Harness::seeded(self.settings_of(index), warm, seed);
        harness.now = START - 60 * SECOND;
        if !self.plan.restarted {
            for i in 0..30 {
                // The warm ones have queues, so that a warming one is preferred.
                let free_slots = Some(if i == 0 { 2.0 } else { 0.5 });
                let report = LoadReport { queue: Some(0.0), free_slots, ..LoadReport::default() };
                harness.serve(1_000_000 + i, 0.5, 0.5, Some(report));
                harness.now += SECOND;
            }
        }
        harness.now = START;
        harness.update_endpoints(EndpointUpdateKind::Full, &self.endpoints);
        harness
    }

    fn run(&mut self) {
        let Plan { heavy, listed, killed, .. } = self.plan;
        let fleet = self.settings.fleet_size;
        let mut rng = fastrand::Rng::with_seed(self.seed);
        // About as much as eight workers of two slots can do, over all dispatchers.
        // In the large fleet each gets three requests a second.
        let steps = if listed { 3 * 6 * u64::from(fleet) } else { 8 * 2 * 2 * 6 };
        let mut next_list = START + LIST_INTERVAL;
        let mut kill_at = killed.then_some(START + 1500 * MS);
        for step in 0..steps {
            let now = START + step * DURATION / steps;
            if kill_at.is_some_and(|at| now >= at) {
                kill_at = None;
                self.restart_seven_in_ten(now);
            }
            if listed && now >= next_list {
                next_list += LIST_INTERVAL;
                self.publish_sizes(now);
            }
            let harness = &mut self.harnesses[rng.usize(0..fleet as usize)];
            harness.now = now;
            let work = if heavy { 0.1 - rng.f64().max(1e-6).ln() * 0.4 } else { 0.5 };
            harness.offer(step, work);
            if harness.sent_worker() == Some(0) {
                self.sends.push(SentWork { at: now, work });
            }
        }
    }

    fn restart_seven_in_ten(&mut self, now: Micros) {
        for index in (0..self.settings.fleet_size).filter(|index| index % 10 < 7) {
            let seed = self.seed * 1000 + 500 + u64::from(index);
            let mut harness = Harness::seeded(self.settings_of(index), &[], seed);
            harness.now = now;
            harness.update_endpoints(EndpointUpdateKind::Full, &self.endpoints);
            self.harnesses[index as usize] = harness;
        }
    }

    /// Work that the worker held a second ago, if it serves at the capacity of its first moment.
    fn work_held_a_second_before(&self, now: Micros) -> f64 {
        let rate = self.settings.slow_start_initial_capacity * SLOTS;
        let (mut held, mut at): (f64, _) = (0.0, START);
        for sent in self.sends.iter().filter(|sent| sent.at + SECOND < now) {
            held = (held - rate * (sent.at - at) as f64 / SECOND as f64).max(0.0) + sent.work;
            at = sent.at;
        }
        held
    }

    fn publish_sizes(&mut self, now: Micros) {
        let held = self.work_held_a_second_before(now);
        let mut endpoints = self.endpoints.clone();
        endpoints[0].size = Some(4.0 / (1.0 + held / 0.5 / SLOTS));
        // One that drains holds nothing any more: so large is an idle one.
        endpoints[1].size = Some(4.0);
        for harness in &mut self.harnesses {
            harness.now = now;
            harness.update_endpoints(EndpointUpdateKind::Changes, &endpoints);
        }
    }

    fn budget_use(&self) -> BudgetUse {
        let Settings { slow_start_initial_capacity: initial, overload_window: window, .. } = self.settings;
        let budget = self.settings.overload_multiple * (initial * SLOTS) * window as f64 / SECOND as f64;
        let capacity_growth = |at: Micros| {
            let warm = (at - START) as f64 / self.settings.slow_start_duration as f64;
            (initial + (1.0 - initial) * warm) / initial
        };
        let in_window_from = |(i, first): (usize, &SentWork)| {
            let sends = self.sends[i..].iter().take_while(|sent| sent.at < first.at + window);
            let work: f64 = sends.map(|sent| sent.work).sum();
            work / (budget * capacity_growth(first.at + window / 2))
        };
        let worst_window = self.sends.iter().enumerate().map(in_window_from).fold(0.0, f64::max);
        let total = self.sends.iter().map(|sent| sent.work).sum::<f64>() / budget;
        BudgetUse { worst_window, total }
    }
}

/// Simulates a fleet of dispatchers for some seconds after a worker's start.
fn simulate(fleet: u32, seed: u64, plan: Plan) -> BudgetUse {
    let mut simulation = Simulation::new(fleet, seed, plan);
    simulation.run();
    simulation.budget_use()
}

fn worst_window(fleet: u32, seed: u64, plan: Plan) -> f64 {
    simulate(fleet, seed, plan).worst_window
}

/// A part of the budget may be smaller than any request, and many that each send a little at random go
/// beyond any budget together.
#[test]
fn a_large_fleet_keeps_a_lone_warming_worker_at_work_inside_its_budget() {
    for fleet in [40, 100, 200] {
        let mut used = 0.0;
        for heavy in [false, true] {
            for seed in 0..10 {
                let plan = Plan { heavy, listed: true, ..Plan::default() };
                let BudgetUse { worst_window: worst, total } = simulate(fleet, seed, plan);
                assert!(worst < 1.0, "{fleet} dispatchers, heavy {heavy}, seed {seed}: {worst}");
                used += total / 20.0;
            }
        }
        assert!(used > 0.2, "{fleet} dispatchers: {used} of the budget in two windows");
    }
}

#[test]
fn the_fleet_stays_inside_the_budget_at_every_size() {
    for fleet in [1, 2, 7, 40, 200] {
        for heavy in [false, true] {
            for seed in 0..10 {
                let worst = worst_window(fleet, seed, Plan { heavy, ..Plan::default() });
                assert!(worst < 1.0, "{fleet} dispatchers, heavy {heavy}, seed {seed}: {worst}");
            }
        }
    }
}

#[test]
fn restarted_dispatchers_stay_inside_the_budget_too() {
    for fleet in [1, 7, 200] {
        for seed in 0..10 {
            let worst = worst_window(fleet, seed, Plan { restarted: true, heavy: true, ..Plan::default() });
            assert!(worst < 1.0, "{fleet} dispatchers, seed {seed}: {worst}");
        }
    }
}

/// Dispatchers that restart in the middle of a window have forgotten what they sent.
#[test]
fn seven_in_ten_dispatchers_killed_within_a_window_do_not_spend_the_budget_twice() {
    for fleet in [40, 100, 300] {
        for seed in 0..10 {
            let plan = Plan { listed: true, killed: true, ..Plan::default() };
            let worst = worst_window(fleet, seed, plan);
            assert!(worst < 1.0, "{fleet} dispatchers, seed {seed}: {worst}");
        }
    }
}

/// What was sent must not count for longer than the window: at a steady load half of the budget
/// then stays unused while warm workers queue.
#[test]
fn a_warming_worker_with_room_gets_most_of_its_budget_window_after_window() {
    let settings = settings(Idempotency::NonIdempotent);
    let mut harness = Harness::new(settings.clone(), &[]);
    let start = harness.now;
    harness
        .update_endpoints(EndpointUpdateKind::Full, &[Endpoint { started_at: Some(start), ..endpoint(0) }]);
    let (mut sent, mut budget) = (0.0, 0.0);
    for step in 0..900 {
        harness.now = start + step * 10 * MS;
        if step == 300 {
            // What a first burst spends is not what comes window after window.
            (sent, budget) = (0.0, 0.0);
        }
        let warm = step as f64 * 0.01 / (settings.slow_start_duration as f64 / SECOND as f64);
        budget += settings.overload_multiple
            * (settings.slow_start_initial_capacity + (1.0 - settings.slow_start_initial_capacity) * warm)
            * 0.01;
        harness.offer(step, 0.05);
        if harness.sent_worker().is_some() {
            sent += 0.05;
            harness.complete(step, 0, Outcome::Served);
        }
    }
    assert!((0.75..1.0).contains(&(sent / budget)), "{sent} of {budget}");
}

#[test]
fn a_warming_worker_does_get_work() {
    let total: f64 = (0..10).map(|seed| worst_window(7, seed, Plan::default())).sum();
    assert!(total > 0.3, "thinned, not shut out: {total} over ten runs");
}

#[test]
fn a_request_too_heavy_for_the_budget_is_never_sent_to_a_warming_worker() {
    let mut sent = 0;
    for seed in 0..200 {
        let mut harness = Harness::seeded(settings(Idempotency::NonIdempotent), &[], seed);
        harness.update_endpoints(
            EndpointUpdateKind::Full,
            &[Endpoint { started_at: Some(harness.now), ..endpoint(0) }],
        );
        harness.now += SECOND;
        harness.offer(1, 5.0);
        sent += u32::from(harness.sent_worker().is_some());
    }
    assert_eq!(sent, 0);
}

#[test]
fn a_worker_is_warm_after_the_slow_start_duration() {
    let mut harness = Harness::new(settings(Idempotency::NonIdempotent), &[]);
    harness.update_endpoints(
        EndpointUpdateKind::Full,
        &[Endpoint { started_at: Some(harness.now), ..endpoint(0) }],
    );
    harness.now += 11 * SECOND;
    harness.offer(1, 0.5);
    assert_eq!(harness.sent_worker(), Some(0));
}

/// A dispatcher of a hundred that has heard of crowded warm workers, and of one that is new.
fn sent_beside_loaded_workers(size: Option<f64>, seed: u64) -> Option<u32> {
    let settings = Settings {
        fleet_size: 100,
        instance_index: None,
        sizes_reflect_load: true,
        ..settings(Idempotency::NonIdempotent)
    };
    // Of a budget so large that all may share it: here the choice counts.
    let settings = Settings { overload_multiple: 1000.0, ..settings };
    let warm: Vec<_> = (0..8).map(|i| Endpoint { size: Some(4.0), ..endpoint(i) }).collect();
    let mut harness = Harness::seeded(settings, &warm, seed);
    for i in 0..30 {
        let free = if i == 0 { 2.0 } else { 0.3 };
        harness.serve(
            1_000 + i,
            0.5,
            0.5,
            Some(LoadReport { free_slots: Some(free), ..LoadReport::default() }),
        );
        harness.now += SECOND;
    }
    let mut all = warm;
    all.push(Endpoint { started_at: Some(harness.now), size, ..endpoint(8) });
    harness.update_endpoints(EndpointUpdateKind::Full, &all);
    harness.now += 100 * MS;
    harness.offer(1, 0.5);
    harness.sent_worker()
}

/// New workers once passed for as loaded as the old ones and stood idle.
#[test]
fn a_warming_worker_listed_as_idle_is_preferred_to_loaded_ones_and_one_listed_as_full_is_not() {
    let count_sent_there =
        |size| (0..40).filter(|&seed| sent_beside_loaded_workers(size, seed) == Some(8)).count();
    let (idle, full, unlisted) =
        (count_sent_there(Some(4.0)), count_sent_there(Some(0.8)), count_sent_there(None));
    assert!(idle >= 30, "{idle} of 40 to the idle one");
    assert!(
        full <= 2 && unlisted < idle / 2,
        "{full} to the full one, {unlisted} to one with no listed size"
    );
}

#[test]
fn absurd_sizes_neither_panic_nor_exclude_a_kind() {
    for odd in [f64::NAN, f64::INFINITY, 0.0, -3.0, 1e-300, 9_999.0, 1e300] {
        // A budget that all hundred may share, so that only what the list shows counts.
        let settings = Settings {
            fleet_size: 100,
            overload_multiple: 1000.0,
            sizes_reflect_load: true,
            ..settings(Idempotency::NonIdempotent)
        };
        let mut endpoints: Vec<_> = (0..4).map(|i| Endpoint { size: Some(4.0), ..endpoint(i) }).collect();
        endpoints[0].size = Some(odd);
        endpoints[1].started_at = Some(100 * SECOND);
        let mut harness = Harness::new(settings, &endpoints[..0]);
        harness.update_endpoints(EndpointUpdateKind::Full, &endpoints);
        // Only the warming one is left, idle by the list.
        for of in [0, 2, 3] {
            endpoints[of].state = WorkerState::Draining;
        }
        harness.update_endpoints(EndpointUpdateKind::Changes, &endpoints);
        harness.now += 5 * SECOND;
        harness.offer(1, 0.2);
        assert_eq!(harness.sent_worker(), Some(1), "beside a size of {odd}");
    }
}

#[test]
fn endpoint_lists_and_fleets_of_any_size_are_handled() {
    for fleet in [1, 100, 10_000] {
        for count in [0, 1, 5_000] {
            let settings = Settings {
                fleet_size: fleet,
                instance_index: Some(fleet - 1),
                sizes_reflect_load: true,
                ..settings(Idempotency::NonIdempotent)
            };
            let started_at = Some(100 * SECOND);
            let warming: Vec<_> =
                (0..count).map(|i| Endpoint { started_at, size: Some(4.0), ..endpoint(i) }).collect();
            let mut harness = Harness::new(settings, &[]);
            harness.update_endpoints(EndpointUpdateKind::Full, &warming);
            harness.now += SECOND;
            harness.offer(1, 0.1);
            assert!(count > 0 || harness.is_rejected(), "no worker is listed");
            assert!(
                harness.is_rejected() != harness.sent_worker().is_some(),
                "{fleet} dispatchers, {count} endpoints"
            );
        }
    }
}
