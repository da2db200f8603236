//! The slow-start budget of a worker holds for the sum over a fleet, also where its dispatchers have unequal
//! estimates, restart, or are notified late of the worker's start. See docs/slow-start.md.
mod common;
use common::{Harness, MS, endpoint, long_deadline_settings};
use copperspread_dispatcher::{
    Dispatcher, Endpoint, EndpointUpdateKind, LoadReport, Micros, Outcome, SECOND, Settings, WorkerState,
};

/// Slots of a worker, and the seconds of work that it serves per second after slow start.
const SLOTS: f64 = 4.0;
const START: Micros = 200 * SECOND;
/// Two windows.
const RUN_DURATION: Micros = 6 * SECOND;

/// What happens to the fleet in a simulated run.
#[derive(Clone, Copy, Debug)]
struct RunOptions {
    dispatcher_count: u32,
    /// The worker's budget in its first window, in requests of mean work.
    budget_requests: f64,
    /// The dispatchers have learned unequal rates and are offered requests of unequal work.
    unequal: bool,
    /// This fraction of the dispatchers restarts without state at one moment.
    restarted: f64,
    /// This fraction of the dispatchers is notified of the start late, and until then treats the worker as
    /// warm, as if its slow start had ended.
    notified_late: f64,
    /// No dispatcher has an instance index.
    without_index: bool,
}

impl RunOptions {
    const fn of_size(dispatcher_count: u32, budget_requests: f64) -> RunOptions {
        RunOptions {
            dispatcher_count,
            budget_requests,
            unequal: false,
            restarted: 0.0,
            notified_late: 0.0,
            without_index: false,
        }
    }
}

/// What a fleet sent to the worker in slow start. The limit of a window is N + 2 sqrt(N) + 2 requests of mean
/// work, where N is the worker's budget in that window.
#[derive(Clone, Copy, Debug, Default)]
struct BudgetUse {
    /// The most work in any window, as a fraction of the limit. A window counts as far as more than two
    /// thirds of its work came from notified dispatchers.
    worst_work: f64,
    /// The most requests in any such window, whatever their work, as a fraction of the limit.
    worst_requests: f64,
    /// All work of the run, as a fraction of the budget of its two windows.
    total_work: f64,
}

/// How one dispatcher differs from the others.
struct DispatcherProfile {
    /// Its part of the offered requests, added to the parts of the dispatchers before it.
    cumulative_part: f64,
    /// Mean work of its requests, as a multiple of the mean over the fleet.
    relative_work: f64,
    /// When it is notified of the worker's start.
    notified_at: Micros,
}

/// Work sent to the worker in slow start, in seconds.
struct SentWork {
    at: Micros,
    work: f64,
    /// Whether the dispatcher had been notified of the start.
    was_notified: bool,
}

/// A fleet whose only worker is in slow start, so that every admitted request is sent to it.
struct Simulation {
    options: RunOptions,
    seed: u64,
    rng: fastrand::Rng,
    settings: Settings,
    /// Mean work of a request, in seconds.
    mean_work: f64,
    /// The worker as listed after its start.
    started_worker: Endpoint,
    profiles: Vec<DispatcherProfile>,
    harnesses: Vec<Harness>,
    sends: Vec<SentWork>,
}

fn report_of_an_idle_worker() -> Option<LoadReport> {
    Some(LoadReport { free_slots: Some(SLOTS), queue: Some(0.0), ..LoadReport::default() })
}

impl Simulation {
    fn new(options: RunOptions, seed: u64) -> Simulation {
        let settings = long_deadline_settings(options.dispatcher_count);
        let window = settings.overload_window as f64 / SECOND as f64;
        let budget = settings.overload_multiple * settings.slow_start_initial_capacity * SLOTS * window;
        let mut rng = fastrand::Rng::with_seed(seed);
        let started_worker = Endpoint { started_at: Some(START), hash_key: rng.u64(..), ..endpoint(0) };
        let mut simulation = Simulation {
            options,
            seed,
            rng,
            settings,
            mean_work: budget / options.budget_requests,
            started_worker,
            profiles: Vec::new(),
            harnesses: Vec::new(),
            sends: Vec::new(),
        };
        for index in 0..options.dispatcher_count {
            simulation.add_dispatcher(index);
        }
        simulation
    }

    fn settings_of(&self, index: u32) -> Settings {
        let instance_index = (!self.options.without_index).then_some(index);
        Settings { instance_index, ..self.settings.clone() }
    }

    /// Adds a dispatcher that has served requests at warm workers, all of which are removed now.
    fn add_dispatcher(&mut self, index: u32) {
        let RunOptions { unequal, notified_late, .. } = self.options;
        let rng = &mut self.rng;
        // One dispatcher in ten is offered five times as many requests as the others.
        let part = if rng.f64() < 0.1 { 5.0 } else { 1.0 };
        let cumulative_part = self.profiles.last().map_or(0.0, |last| last.cumulative_part) + part;
        let relative_work = if unequal { [0.5, 1.5][rng.usize(0..2)] } else { 1.0 };
        let rate = if unequal { [0.85, 1.0, 1.15][rng.usize(0..3)] } else { 1.0 };
        let notified_at = START + if rng.f64() < notified_late { rng.u64(0..2 * SECOND) } else { 0 };
        self.profiles.push(DispatcherProfile { cumulative_part, relative_work, notified_at });
        let warm: Vec<_> = (1..4).map(endpoint).collect();
        let seed = self.seed * 1000 + u64::from(index);
        let mut harness = Harness::seeded(self.settings_of(index), &warm, seed);
        harness.now = START - 100 * SECOND;
        for id in 1_000_000..1_000_030 {
            let work = relative_work * self.mean_work * -self.rng.f64().max(1e-6).ln();
            assert!(harness.offer_with_long_deadline(id, work).is_some(), "a warm worker gets the request");
            harness.start_attempt(id, 0);
            harness.now += (work / rate * SECOND as f64) as Micros;
            harness.complete_with_report(id, 0, Outcome::Served, report_of_an_idle_worker());
        }
        harness.now = START;
        let mut endpoints = warm;
        endpoints.iter_mut().for_each(|listed| listed.state = WorkerState::Removed);
        let started_at = self.started_worker.started_at.filter(|&at| notified_at <= at);
        endpoints.push(Endpoint { started_at, ..self.started_worker });
        harness.update_endpoints(EndpointUpdateKind::Changes, &endpoints);
        self.harnesses.push(harness);
    }

    fn run(&mut self) {
        let RunOptions { dispatcher_count, budget_requests, restarted, .. } = self.options;
        // Enough requests for each dispatcher to use up its part of the budget several times per window, even
        // if few dispatchers share it.
        let requests = ((budget_requests * 10.0).max(f64::from(dispatcher_count) * 10.0)) as u64
            * RUN_DURATION
            / self.settings.overload_window;
        let at = START + self.rng.u64(0..RUN_DURATION * 3 / 4);
        let mut restart_at = (restarted > 0.0).then_some(at);
        for id in 0..requests {
            let now = START + id * RUN_DURATION / requests;
            if restart_at.is_some_and(|at| now >= at) {
                restart_at = None;
                self.restart_some(now);
            }
            self.offer_request(now, id);
        }
    }

    fn restart_some(&mut self, now: Micros) {
        for index in 0..self.options.dispatcher_count {
            if self.rng.f64() >= self.options.restarted {
                continue;
            }
            let settings = self.settings_of(index);
            let seed = self.seed * 1000 + 500 + u64::from(index);
            let harness = &mut self.harnesses[index as usize];
            harness.dispatcher = Dispatcher::new(settings, seed).expect("the settings are valid");
            harness.now = now;
            harness.update_endpoints(EndpointUpdateKind::Full, &[self.started_worker]);
            let profile = &mut self.profiles[index as usize];
            profile.notified_at = now.min(profile.notified_at);
        }
    }

    fn offer_request(&mut self, now: Micros, id: u64) {
        let all_parts = self.profiles.last().map_or(0.0, |last| last.cumulative_part);
        let at = self.rng.f64() * all_parts;
        let index = self
            .profiles
            .partition_point(|candidate| candidate.cumulative_part <= at)
            .min(self.profiles.len() - 1);
        let (harness, profile) = (&mut self.harnesses[index], &mut self.profiles[index]);
        harness.now = now;
        if profile.notified_at > START && now >= profile.notified_at {
            harness.update_endpoints(EndpointUpdateKind::Changes, &[self.started_worker]);
            profile.notified_at = START;
        }
        let work = profile.relative_work * self.mean_work * -self.rng.f64().max(1e-6).ln();
        if harness.offer_with_long_deadline(id, work) == Some(0) {
            self.sends.push(SentWork { at: now, work, was_notified: profile.notified_at <= now });
            // Served at once with a load report, from which a restarted dispatcher soon learns the slots of
            // the kind.
            harness.complete_with_report(id, 0, Outcome::Served, report_of_an_idle_worker());
        }
    }

    /// The worker's capacity at a time, as a multiple of its initial capacity; it grows linearly.
    fn capacity_growth(&self, at: Micros) -> f64 {
        let initial = self.settings.slow_start_initial_capacity;
        let elapsed = (at - START) as f64 / self.settings.slow_start_duration as f64;
        (initial + (1.0 - initial) * elapsed) / initial
    }

    fn budget_use(&self) -> BudgetUse {
        let (budget_requests, window) = (self.options.budget_requests, self.settings.overload_window);
        let mut budget_use = BudgetUse::default();
        for (i, first) in self.sends.iter().enumerate() {
            let allowed = budget_requests * self.capacity_growth(first.at + window / 2);
            let allowed = allowed + 2.0 * allowed.sqrt() + 2.0;
            let (mut window_work, mut window_requests, mut notified_work) = (0.0, 0.0, 0.0);
            for sent in self.sends[i..].iter().take_while(|sent| sent.at < first.at + window) {
                window_work += sent.work / self.mean_work;
                window_requests += 1.0;
                notified_work += if sent.was_notified { sent.work / self.mean_work } else { 0.0 };
                if notified_work > window_work * 2.0 / 3.0 {
                    budget_use.worst_work = budget_use.worst_work.max(window_work / allowed);
                    budget_use.worst_requests = budget_use.worst_requests.max(window_requests / allowed);
                }
            }
        }
        // The mean capacity of the run is the capacity in its middle.
        let growth = self.capacity_growth(START + RUN_DURATION / 2);
        let budget = budget_requests * growth * RUN_DURATION as f64 / window as f64;
        budget_use.total_work =
            self.sends.iter().map(|sent| sent.work / self.mean_work).sum::<f64>() / budget;
        budget_use
    }
}

/// Simulates a fleet for two windows after a worker's start.
fn simulate(options: RunOptions, seed: u64) -> BudgetUse {
    let mut simulation = Simulation::new(options, seed);
    simulation.run();
    simulation.budget_use()
}

const FLEET_SIZES: [u32; 5] = [1, 3, 20, 30, 300];
/// The worker's budgets in its first window, in requests of mean work.
const BUDGETS: [f64; 4] = [5.0, 15.0, 50.0, 150.0];

/// Simulates all fleet sizes and budgets on some seeds, with options changed by `change`, and asserts that at
/// most the fraction `max_over` of the runs exceeds the limit. For each size and budget, prints the largest
/// [`BudgetUse::worst_work`], the largest [`BudgetUse::worst_requests`] and the mean
/// [`BudgetUse::total_work`].
fn assert_budget_holds(change: impl Fn(RunOptions) -> RunOptions, max_over: f64) {
    let (mut over, mut runs, mut worst) = (0, 0, 0.0_f64);
    for dispatcher_count in FLEET_SIZES {
        for budget_requests in BUDGETS {
            let options = change(RunOptions::of_size(dispatcher_count, budget_requests));
            let seeds = if dispatcher_count > 100 { 8 } else { 25 };
            let all: Vec<_> = (0..seeds).map(|seed| simulate(options, seed)).collect();
            let max_of = |value: fn(&BudgetUse) -> f64| all.iter().map(value).fold(0.0, f64::max);
            let mean_total =
                all.iter().map(|result| result.total_work).sum::<f64>() / f64::from(seeds as u32);
            println!(
                "{options:?}: {:.2}, {:.2}, {mean_total:.2}",
                max_of(|result| result.worst_work),
                max_of(|result| result.worst_requests)
            );
            over += all.iter().filter(|result| result.worst_work > 1.0).count();
            runs += all.len();
            worst = worst.max(max_of(|result| result.worst_work));
        }
    }
    assert!(
        over as f64 <= max_over * runs as f64,
        "{over} of {runs} runs exceed the limit, the worst by a factor of {worst:.2}"
    );
}

#[test]
fn a_fleet_with_equal_estimates_stays_within_the_budget() {
    assert_budget_holds(|options| options, 0.0);
}

#[test]
fn a_fleet_with_unequal_requests_and_rates_stays_within_the_budget() {
    assert_budget_holds(|options| RunOptions { unequal: true, ..options }, 0.0);
}

#[test]
fn a_tenth_of_the_fleet_restarted_during_slow_start_does_not_use_its_budget_twice() {
    assert_budget_holds(|options| RunOptions { unequal: true, restarted: 0.1, ..options }, 0.0);
}

#[test]
fn seven_in_ten_dispatchers_restarted_during_slow_start_do_not_use_their_budget_twice() {
    assert_budget_holds(|options| RunOptions { unequal: true, restarted: 0.7, ..options }, 0.0);
}

#[test]
fn dispatchers_notified_late_do_not_make_the_notified_ones_exceed_the_budget() {
    for notified_late in [0.1, 0.3] {
        assert_budget_holds(|options| RunOptions { notified_late, ..options }, 0.0);
        // With unequal requests as well, a few runs exceed the limit: in a larger set of 6,720 runs, 16 did,
        // the worst by a factor of 1.11.
        assert_budget_holds(|options| RunOptions { unequal: true, notified_late, ..options }, 0.01);
    }
}

#[test]
fn dispatchers_without_an_instance_index_stay_within_the_budget() {
    assert_budget_holds(|options| RunOptions { unequal: true, without_index: true, ..options }, 0.0);
}

/// The only dispatcher of its fleet, which has served some requests at worker 0.
fn lone_dispatcher() -> Harness {
    let mut harness = Harness::new(long_deadline_settings(1), &[endpoint(0)]);
    for i in 0..30 {
        harness.serve(1_000_000 + i, 0.1, 0.1, None);
    }
    harness
}

/// The work that a dispatcher sends, out of requests offered at one moment, before it rejects the first; in
/// seconds.
fn work_accepted(harness: &mut Harness) -> f64 {
    (0..1_000).take_while(|&i| harness.offer_with_long_deadline(1_000 + i, 0.1).is_some()).count() as f64
        * 0.1
}

#[test]
fn a_dispatcher_that_started_after_a_worker_in_slow_start_sends_it_nothing_for_one_window() {
    let mut harness = Harness::new(long_deadline_settings(1), &[]);
    let own_start = harness.now;
    for (at, worker_start, is_sent) in [
        (0, own_start - SECOND, false),
        (2_999 * MS, own_start - SECOND, false),
        (3_000 * MS, own_start - SECOND, true),
        // The dispatcher cannot have sent anything to a worker that started after it.
        (3_001 * MS, own_start + 1, true),
    ] {
        harness.now = own_start + at;
        harness.update_endpoints(
            EndpointUpdateKind::Full,
            &[Endpoint { started_at: Some(worker_start), ..endpoint(0) }],
        );
        assert_eq!(
            harness.offer_with_long_deadline(at, 0.01).is_some(),
            is_sent,
            "{at} us after the dispatcher's start at {own_start} us, worker started at {worker_start} us"
        );
    }
}

#[test]
fn a_dispatcher_notified_late_of_a_start_counts_what_it_has_sent_since() {
    let work_accepted_after_start = |ago: Micros| {
        let mut harness = lone_dispatcher();
        harness.now += 10 * SECOND;
        for i in 0..20 {
            assert!(harness.offer_with_long_deadline(i, 0.1).is_some(), "a warm worker gets the request");
        }
        harness.now += SECOND;
        let started_at = Some(harness.now - ago);
        harness.update_endpoints(EndpointUpdateKind::Changes, &[Endpoint { started_at, ..endpoint(0) }]);
        work_accepted(&mut harness)
    };
    let (before, since) = (work_accepted_after_start(800 * MS), work_accepted_after_start(1_200 * MS));
    assert!(before > 1.5, "work sent to the earlier process does not count: {before} s of work accepted");
    assert!(
        since < before - 1.5,
        "{since} s of work accepted where the new process was sent 2.0 s, {before} s where it was sent none"
    );
}

/// Guards against a mean of the offered work that still rests on the value assumed before the first request,
/// from which a dispatcher would conclude that it has the budget to itself.
#[test]
fn a_few_short_requests_show_a_new_dispatcher_how_many_share_a_budget() {
    let mut sharing = 0;
    for dispatcher_index in 0..30 {
        let mut harness = Harness::new(
            Settings { instance_index: Some(dispatcher_index), ..long_deadline_settings(30) },
            &[endpoint(1)],
        );
        for i in 0..5 {
            harness.serve(1_000_000 + i, 0.01, 0.01, None);
        }
        harness.now += 5 * SECOND;
        let started = Endpoint { started_at: Some(harness.now), ..endpoint(0) };
        let removed = Endpoint { state: WorkerState::Removed, ..endpoint(1) };
        harness.update_endpoints(EndpointUpdateKind::Changes, &[started, removed]);
        sharing += u32::from(harness.offer_with_long_deadline(1, 0.01).is_some());
    }
    // The budget, 2.5 times 0.3 of one slot for 3 s, is 225 requests of 0.01 s. Of it the dispatchers use
    // about 171 requests, or 42 parts of four, so that all 30 dispatchers share it.
    assert!(sharing >= 25, "{sharing} of 30 dispatchers share the budget");
}

/// Guards against an overload by dispatchers that are notified late. For a budget of many requests the limit
/// leaves little room for chance: the notified dispatchers would send nine tenths of the budget, the late
/// ones another third. A window over the limit counts only if notified dispatchers sent more than two thirds
/// of its work.
#[test]
fn with_a_large_budget_and_late_notification_no_counted_window_exceeds_the_limit() {
    let mut over = Vec::new();
    for dispatcher_count in [20, 30] {
        for seed in 0..25 {
            let budget_use = simulate(
                RunOptions { notified_late: 0.2, ..RunOptions::of_size(dispatcher_count, 500.0) },
                seed,
            );
            if budget_use.worst_work > 1.0 {
                over.push((dispatcher_count, seed, budget_use.worst_work));
            }
        }
    }
    assert!(over.is_empty(), "{over:?}");
}
