//! Slow start: all dispatchers of a fleet together stay within a worker's slow-start budget, although they do
//! not communicate. A worker that has ended its slow start is called warm.
mod common;
use common::{Harness, MS, endpoint, settings};
use copperspread_dispatcher::{
    Endpoint, EndpointUpdateKind, Idempotency, LoadReport, Micros, Outcome, SECOND, Settings, WorkerState,
};

/// What happens to the fleet in a simulated run.
#[derive(Clone, Copy, Default)]
struct RunOptions {
    /// The dispatchers have had no request yet, as after a restart.
    without_requests: bool,
    /// Requests are of unequal work, some of many times the mean.
    unequal_work: bool,
    /// Every 0.9 s, all dispatchers receive listed sizes that reflect the worker's load of one second before.
    sizes_listed: bool,
    /// Seven in ten dispatchers lose their state 1.5 s after the worker's start. They count as started before
    /// the worker, since [`Harness::seeded`] hands them their first event earlier.
    seven_in_ten_lose_state: bool,
}

/// The worker's start, long after that of the dispatchers: a dispatcher that started after a worker sends it
/// nothing for one window.
const START: Micros = 200 * SECOND;
const RUN_DURATION: Micros = 6 * SECOND;
const LIST_INTERVAL: Micros = 900 * MS;
/// Slots of the worker in slow start.
const SLOTS: f64 = 2.0;

/// Work sent to the worker in slow start, in seconds.
struct SentWork {
    at: Micros,
    work: f64,
}

/// The work that a fleet sent to the worker in slow start, as fractions of its budget.
struct BudgetUse {
    /// The most work in any window, as a fraction of the budget at the worker's mean capacity in that window.
    worst_window: f64,
    /// All work of the run, as a fraction of one window's budget at the worker's start.
    total: f64,
}

/// A fleet of dispatchers with one worker in slow start.
struct Simulation {
    options: RunOptions,
    seed: u64,
    settings: Settings,
    endpoints: Vec<Endpoint>,
    harnesses: Vec<Harness>,
    sends: Vec<SentWork>,
}

impl Simulation {
    fn new(dispatcher_count: u32, seed: u64, options: RunOptions) -> Simulation {
        let settings = Settings {
            fleet_size: dispatcher_count,
            listed_sizes_reflect_load: options.sizes_listed,
            ..settings(Idempotency::NonIdempotent)
        };
        let warm: Vec<_> = (0..8).map(endpoint).collect();
        let mut endpoints = warm.clone();
        endpoints[0].started_at = Some(START);
        if options.sizes_listed {
            // All other workers are draining, so every admitted request goes to the worker in slow start.
            endpoints.iter_mut().skip(1).for_each(|listed| listed.state = WorkerState::Draining);
        }
        let mut simulation =
            Simulation { options, seed, settings, endpoints, harnesses: Vec::new(), sends: Vec::new() };
        for index in 0..dispatcher_count {
            let harness = simulation.notified_dispatcher(index, &warm);
            simulation.harnesses.push(harness);
        }
        simulation
    }

    fn settings_of(&self, index: u32) -> Settings {
        Settings { instance_index: Some(index), ..self.settings.clone() }
    }

    /// A dispatcher that has just been notified of the worker's start. It has load reports of the warm
    /// workers, unless the dispatchers have had no request.
    fn notified_dispatcher(&self, index: u32, warm: &[Endpoint]) -> Harness {
        let seed = self.seed * 1000 + u64::from(index);
        let mut harness = Harness::seeded(self.settings_of(index), warm, seed);
        harness.now = START - 60 * SECOND;
        if !self.options.without_requests {
            for i in 0..30 {
                // The warm workers have few free slots, so that the worker in slow start is preferred.
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
        let RunOptions { unequal_work, sizes_listed, seven_in_ten_lose_state, .. } = self.options;
        let dispatcher_count = self.settings.fleet_size;
        let mut rng = fastrand::Rng::with_seed(self.seed);
        // With listed sizes, each dispatcher is offered three requests per second. Otherwise the whole fleet
        // is offered about as much as eight workers of two slots can serve.
        let steps = if sizes_listed { 3 * 6 * u64::from(dispatcher_count) } else { 8 * 2 * 2 * 6 };
        let mut next_list = START + LIST_INTERVAL;
        let mut replace_at = seven_in_ten_lose_state.then_some(START + 1500 * MS);
        for step in 0..steps {
            let now = START + step * RUN_DURATION / steps;
            if replace_at.is_some_and(|at| now >= at) {
                replace_at = None;
                self.replace_seven_in_ten(now);
            }
            if sizes_listed && now >= next_list {
                next_list += LIST_INTERVAL;
                self.publish_sizes(now);
            }
            let harness = &mut self.harnesses[rng.usize(0..dispatcher_count as usize)];
            harness.now = now;
            let work = if unequal_work { 0.1 - rng.f64().max(1e-6).ln() * 0.4 } else { 0.5 };
            harness.offer(step, work);
            if harness.sent_worker() == Some(0) {
                self.sends.push(SentWork { at: now, work });
            }
        }
    }

    fn replace_seven_in_ten(&mut self, now: Micros) {
        for index in (0..self.settings.fleet_size).filter(|index| index % 10 < 7) {
            let seed = self.seed * 1000 + 500 + u64::from(index);
            let mut harness = Harness::seeded(self.settings_of(index), &[], seed);
            harness.now = now;
            harness.update_endpoints(EndpointUpdateKind::Full, &self.endpoints);
            self.harnesses[index as usize] = harness;
        }
    }

    /// Work that the worker held one second before `now`, if it serves at its initial capacity; in seconds.
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
        // A draining worker holds no work, so its size is that of an idle worker.
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
            let elapsed = (at - START) as f64 / self.settings.slow_start_duration as f64;
            (initial + (1.0 - initial) * elapsed) / initial
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

/// Simulates a fleet of dispatchers for [`RUN_DURATION`] after a worker's start.
fn simulate(dispatcher_count: u32, seed: u64, options: RunOptions) -> BudgetUse {
    let mut simulation = Simulation::new(dispatcher_count, seed, options);
    simulation.run();
    simulation.budget_use()
}

fn worst_window(dispatcher_count: u32, seed: u64, options: RunOptions) -> f64 {
    simulate(dispatcher_count, seed, options).worst_window
}

/// In a large fleet, one dispatcher's part of the budget may be smaller than any request, and dispatchers
/// that each send a few requests at random may exceed the budget together.
#[test]
fn a_large_fleet_uses_a_lone_worker_in_slow_start_within_its_budget() {
    for dispatcher_count in [40, 100, 200] {
        let mut used = 0.0;
        for unequal_work in [false, true] {
            for seed in 0..10 {
                let options = RunOptions { unequal_work, sizes_listed: true, ..RunOptions::default() };
                let BudgetUse { worst_window: worst, total } = simulate(dispatcher_count, seed, options);
                assert!(
                    worst < 1.0,
                    "{dispatcher_count} dispatchers, unequal work {unequal_work}, seed {seed}: {worst}"
                );
                used += total / 20.0;
            }
        }
        assert!(
            used > 0.2,
            "{dispatcher_count} dispatchers sent only {used} of one window's budget in two windows (mean)"
        );
    }
}

#[test]
fn a_fleet_of_any_size_stays_within_the_budget() {
    for dispatcher_count in [1, 2, 7, 40, 200] {
        for unequal_work in [false, true] {
            for seed in 0..10 {
                let worst = worst_window(
                    dispatcher_count,
                    seed,
                    RunOptions { unequal_work, ..RunOptions::default() },
                );
                assert!(
                    worst < 1.0,
                    "{dispatcher_count} dispatchers, unequal work {unequal_work}, seed {seed}: {worst}"
                );
            }
        }
    }
}

#[test]
fn dispatchers_without_requests_stay_within_the_budget() {
    for dispatcher_count in [1, 7, 200] {
        for seed in 0..10 {
            let worst = worst_window(
                dispatcher_count,
                seed,
                RunOptions { without_requests: true, unequal_work: true, ..RunOptions::default() },
            );
            assert!(worst < 1.0, "{dispatcher_count} dispatchers, seed {seed}: {worst}");
        }
    }
}

/// Dispatchers that lose their state within a window have no record of what they sent in it.
#[test]
fn seven_in_ten_dispatchers_that_lose_their_state_within_a_window_do_not_use_the_budget_twice() {
    for dispatcher_count in [40, 100, 300] {
        for seed in 0..10 {
            let options =
                RunOptions { sizes_listed: true, seven_in_ten_lose_state: true, ..RunOptions::default() };
            let worst = worst_window(dispatcher_count, seed, options);
            assert!(worst < 1.0, "{dispatcher_count} dispatchers, seed {seed}: {worst}");
        }
    }
}

/// Guards against counting sent work for longer than the window: at a steady load, half of the budget then
/// stays unused while requests queue at warm workers.
#[test]
fn a_worker_in_slow_start_gets_most_of_its_budget_in_each_window() {
    let settings = settings(Idempotency::NonIdempotent);
    let mut harness = Harness::new(settings.clone(), &[]);
    let start = harness.now;
    harness
        .update_endpoints(EndpointUpdateKind::Full, &[Endpoint { started_at: Some(start), ..endpoint(0) }]);
    let (mut sent, mut budget) = (0.0, 0.0);
    for step in 0..900 {
        harness.now = start + step * 10 * MS;
        if step == 300 {
            // Leaves out the first burst, which is not part of the steady load of later windows.
            (sent, budget) = (0.0, 0.0);
        }
        let elapsed_fraction = step as f64 * 0.01 / (settings.slow_start_duration as f64 / SECOND as f64);
        budget += settings.overload_multiple
            * (settings.slow_start_initial_capacity
                + (1.0 - settings.slow_start_initial_capacity) * elapsed_fraction)
            * 0.01;
        harness.offer(step, 0.05);
        if harness.sent_worker().is_some() {
            sent += 0.05;
            harness.complete(step, 0, Outcome::Served);
        }
    }
    assert!((0.75..1.0).contains(&(sent / budget)), "{sent} s of work sent, of a budget of {budget} s");
}

#[test]
fn a_worker_in_slow_start_gets_work() {
    let total: f64 = (0..10).map(|seed| worst_window(7, seed, RunOptions::default())).sum();
    assert!(total > 0.3, "the worst windows of ten runs add up to only {total} of the budget");
}

#[test]
fn a_request_larger_than_the_budget_is_never_sent_to_a_worker_in_slow_start() {
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

/// The worker to which one dispatcher of a fleet of 100 sends its next request. The dispatcher knows the warm
/// workers 0 to 7 as loaded, and worker 8 as new and listed with `size`.
fn sent_beside_loaded_workers(size: Option<f64>, seed: u64) -> Option<u32> {
    let settings = Settings {
        fleet_size: 100,
        instance_index: None,
        listed_sizes_reflect_load: true,
        ..settings(Idempotency::NonIdempotent)
    };
    // The budget is large enough for all dispatchers, so that only worker selection matters.
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

/// Guards against new workers that stay idle because they are assumed to be as loaded as the warm ones.
#[test]
fn a_worker_in_slow_start_is_preferred_where_listed_as_idle_and_not_where_listed_as_full() {
    let count_sent_to_it =
        |size| (0..40).filter(|&seed| sent_beside_loaded_workers(size, seed) == Some(8)).count();
    let (idle, full, unlisted) =
        (count_sent_to_it(Some(4.0)), count_sent_to_it(Some(0.8)), count_sent_to_it(None));
    assert!(idle >= 30, "{idle} of 40 requests are sent to the worker if listed as idle");
    assert!(
        full <= 2 && unlisted < idle / 2,
        "of 40 requests, {full} are sent to the worker if listed as full, {unlisted} if it has no listed size"
    );
}

#[test]
fn invalid_sizes_neither_cause_a_panic_nor_exclude_a_kind() {
    for invalid_size in [f64::NAN, f64::INFINITY, 0.0, -3.0, 1e-300, 9_999.0, 1e300] {
        // The budget is large enough for all 100 dispatchers, so that only the listed sizes matter.
        let settings = Settings {
            fleet_size: 100,
            overload_multiple: 1000.0,
            listed_sizes_reflect_load: true,
            ..settings(Idempotency::NonIdempotent)
        };
        let mut endpoints: Vec<_> = (0..4).map(|i| Endpoint { size: Some(4.0), ..endpoint(i) }).collect();
        endpoints[0].size = Some(invalid_size);
        endpoints[1].started_at = Some(100 * SECOND);
        let mut harness = Harness::new(settings, &endpoints[..0]);
        harness.update_endpoints(EndpointUpdateKind::Full, &endpoints);
        // Only the worker in slow start is left; its listed size is that of an idle worker.
        for worker in [0, 2, 3] {
            endpoints[worker].state = WorkerState::Draining;
        }
        harness.update_endpoints(EndpointUpdateKind::Changes, &endpoints);
        harness.now += 5 * SECOND;
        harness.offer(1, 0.2);
        assert_eq!(harness.sent_worker(), Some(1), "where worker 0 is listed with size {invalid_size}");
    }
}

#[test]
fn endpoint_lists_and_fleets_of_any_size_are_handled() {
    for dispatcher_count in [1, 100, 10_000] {
        for count in [0, 1, 5_000] {
            let settings = Settings {
                fleet_size: dispatcher_count,
                instance_index: Some(dispatcher_count - 1),
                listed_sizes_reflect_load: true,
                ..settings(Idempotency::NonIdempotent)
            };
            let started_at = Some(100 * SECOND);
            let in_slow_start: Vec<_> =
                (0..count).map(|i| Endpoint { started_at, size: Some(4.0), ..endpoint(i) }).collect();
            let mut harness = Harness::new(settings, &[]);
            harness.update_endpoints(EndpointUpdateKind::Full, &in_slow_start);
            harness.now += SECOND;
            harness.offer(1, 0.1);
            assert!(count > 0 || harness.is_rejected(), "no worker is listed");
            assert!(
                harness.is_rejected() != harness.sent_worker().is_some(),
                "{dispatcher_count} dispatchers, {count} endpoints"
            );
        }
    }
}
