//! The platform's limit on the work sent to a worker in slow start, for fleets of any size. What the
//! dispatchers that were notified of its start send it in any window must not exceed N + 2 sqrt(N) + 2
//! requests of mean work, or N + 3 sqrt(N) + 3 if N is less than 30, where N is the budget that the settings
//! give the worker in that window. `slow_start_fleet` tests dispatchers that are notified late or have
//! unequal estimates.
mod common;
use common::{Harness, endpoint, long_deadline_settings};
use copperspread_dispatcher::{Dispatcher, Endpoint, EndpointUpdateKind, Micros, SECOND, Settings};

const START: Micros = 200 * SECOND;
const WINDOW: Micros = 3 * SECOND;
const RUN_DURATION: Micros = 3 * WINDOW;
/// Times in a run at which all dispatchers are offered requests.
const ROUNDS: u64 = 48;
/// Work of the requests offered to each dispatcher in a round, in multiples of the mean. The smallest comes
/// last, to use up the rest of the dispatcher's part of the budget.
const OFFERED_WORK: [f64; 4] = [1.9, 1.0, 0.8, 0.3];
const FLEET_SIZES: [u32; 10] = [1, 2, 3, 5, 8, 20, 60, 150, 400, 900];
/// The worker's budgets in its first window, in requests of mean work.
const BUDGETS: [f64; 9] = [0.8, 2.5, 5.0, 8.0, 12.0, 28.0, 31.0, 90.0, 500.0];

/// Which instance indexes the dispatchers have.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InstanceIndexes {
    /// Each dispatcher has its own, and `fleet_size` is the number of dispatchers.
    WithinFleetSize,
    /// No dispatcher has one.
    Absent,
    /// Each dispatcher has its own, and `fleet_size` is a third of the number of dispatchers.
    BeyondFleetSize,
}

/// The parameters of a simulated run.
#[derive(Clone, Copy, Debug)]
struct RunOptions {
    dispatchers: u32,
    indexes: InstanceIndexes,
    /// The worker's budget in its first window, in requests of mean work.
    budget: f64,
    /// The worker's capacity at its start, as a fraction of its full capacity.
    initial_capacity: f64,
    /// If set, one in this many dispatchers restarts, at two random moments.
    restarting_one_in: Option<u32>,
    seed: u64,
}

/// The work that the platform allows a worker in slow start in a window with this budget. Both are in
/// requests of mean work.
fn allowed_work(budget: f64) -> f64 {
    let (per_root, fixed) = if budget < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    budget + per_root * budget.sqrt() + fixed
}

/// A fleet of dispatchers whose only worker is in slow start.
struct Simulation {
    options: RunOptions,
    settings: Settings,
    /// Mean work of a request, in seconds.
    mean_work: f64,
    /// The worker as listed after its start.
    started_worker: Endpoint,
    harnesses: Vec<Harness>,
    /// The times at which work was sent to the worker, and the work in seconds.
    sends: Vec<(Micros, f64)>,
    last_request: u64,
}

impl Simulation {
    fn new(options: RunOptions) -> Simulation {
        let fleet_size = match options.indexes {
            InstanceIndexes::BeyondFleetSize => options.dispatchers.div_ceil(3),
            InstanceIndexes::WithinFleetSize | InstanceIndexes::Absent => options.dispatchers,
        };
        let settings = Settings {
            slow_start_initial_capacity: options.initial_capacity,
            overload_window: WINDOW,
            ..long_deadline_settings(fleet_size)
        };
        // For the slow-start budget, a worker without reports has one slot and serves one second of work per
        // second.
        let budget = settings.overload_multiple * options.initial_capacity * WINDOW as f64 / SECOND as f64;
        let hash_key = fastrand::Rng::with_seed(options.seed).u64(..);
        let mut simulation = Simulation {
            options,
            settings,
            mean_work: budget / options.budget,
            started_worker: Endpoint { started_at: Some(START), hash_key, ..endpoint(0) },
            harnesses: Vec::new(),
            sends: Vec::new(),
            last_request: 0,
        };
        for index in 0..options.dispatchers {
            let mut harness = simulation.new_dispatcher(index, START - 60 * SECOND, 0);
            // The dispatcher has had requests, but no worker to send them to.
            for work in OFFERED_WORK.repeat(2) {
                simulation.offer(&mut harness, work);
            }
            harness.now = START;
            harness.update_endpoints(EndpointUpdateKind::Changes, &[simulation.started_worker]);
            simulation.harnesses.push(harness);
        }
        simulation
    }

    /// A dispatcher that has just started and has no endpoint list yet; `restart` is 0 for its first start
    /// and the number of the restart otherwise, which gives each start its own seed.
    fn new_dispatcher(&self, index: u32, now: Micros, restart: u64) -> Harness {
        let instance_index = (self.options.indexes != InstanceIndexes::Absent).then_some(index);
        let settings = Settings { instance_index, ..self.settings.clone() };
        let seed = (self.options.seed * 10_000 + u64::from(index)) * 3 + restart;
        let mut harness = Harness::new(settings.clone(), &[]);
        // Replaces the harness's dispatcher with one that has had no event, since a dispatcher takes the time
        // of its first event for its start.
        harness.dispatcher = Dispatcher::new(settings, seed).expect("the settings are valid");
        harness.now = now;
        harness
    }

    /// Offers a request of `work` times the mean work; returns whether it was sent.
    fn offer(&mut self, harness: &mut Harness, work: f64) -> bool {
        self.last_request += 1;
        let work = work * self.mean_work;
        let is_sent = harness.offer_with_long_deadline(self.last_request, work).is_some();
        if is_sent {
            self.sends.push((harness.now, work));
        }
        is_sent
    }

    fn run(&mut self) {
        let mut rng = fastrand::Rng::with_seed(self.options.seed);
        let mut restarts = [1, 2].map(|restart| (rng.u64(0..ROUNDS), restart));
        restarts.sort_unstable();
        for round in 0..ROUNDS {
            let now = START + round * RUN_DURATION / ROUNDS;
            for (_, restart) in restarts.iter().filter(|&&(at, _)| at == round) {
                self.restart_some(now, *restart);
            }
            let mut harnesses = std::mem::take(&mut self.harnesses);
            for harness in &mut harnesses {
                harness.now = now;
                for work in OFFERED_WORK {
                    self.offer(harness, work);
                }
            }
            self.harnesses = harnesses;
        }
    }

    fn restart_some(&mut self, now: Micros, restart: u64) {
        let Some(one_in) = self.options.restarting_one_in else { return };
        for index in (0..self.options.dispatchers).filter(|index| index % one_in == 0) {
            let mut harness = self.new_dispatcher(index, now, restart);
            harness.update_endpoints(EndpointUpdateKind::Full, &[self.started_worker]);
            self.harnesses[index as usize] = harness;
        }
    }

    /// The most work in any window, as a fraction of the allowed work.
    fn worst_window(&self) -> f64 {
        let initial = self.options.initial_capacity;
        let duration = self.settings.slow_start_duration as f64;
        let budget_at = |at: Micros| {
            let elapsed = (at - START) as f64 / duration;
            self.options.budget * (initial + (1.0 - initial) * elapsed.min(1.0)) / initial
        };
        let in_window_from = |(first, &(first_at, _)): (usize, &(Micros, f64))| {
            let sends = self.sends[first..].iter().take_while(|(at, _)| *at < first_at + WINDOW);
            let work: f64 = sends.map(|(_, work)| work / self.mean_work).sum();
            work / allowed_work(budget_at(first_at + WINDOW / 2))
        };
        self.sends.iter().enumerate().map(in_window_from).fold(0.0, f64::max)
    }
}

fn worst_window(options: RunOptions) -> f64 {
    let mut simulation = Simulation::new(options);
    simulation.run();
    simulation.worst_window()
}

fn assert_budget_holds(indexes: InstanceIndexes, restarting_one_in: Option<u32>) {
    let (mut seed, mut worst) = (0, 0.0_f64);
    for dispatchers in FLEET_SIZES {
        for budget in BUDGETS {
            // Large fleets take long to simulate, so they run with one initial capacity and fewer seeds in
            // all; smaller fleets run with a lower and a higher capacity too.
            let initial_capacities = if dispatchers > 60 { &[0.12][..] } else { &[0.02, 0.12, 0.3] };
            for &initial_capacity in initial_capacities {
                seed += 1;
                let options =
                    RunOptions { dispatchers, indexes, budget, initial_capacity, restarting_one_in, seed };
                let used = worst_window(options);
                assert!(used <= 1.0, "{options:?}: {used:.2} of the allowed work");
                worst = worst.max(used);
            }
        }
    }
    println!("{indexes:?}, restarting_one_in {restarting_one_in:?}: at most {worst:.2} of the allowed work");
    assert!(worst > 0.3, "too little work was sent to test the limit: {worst:.2} of the allowed work");
}

#[test]
fn a_fleet_of_any_size_stays_within_the_limit() {
    assert_budget_holds(InstanceIndexes::WithinFleetSize, None);
}

#[test]
fn a_fleet_of_any_size_with_restarts_within_a_window_stays_within_the_limit() {
    for one_in in [1, 3] {
        assert_budget_holds(InstanceIndexes::WithinFleetSize, Some(one_in));
    }
}

#[test]
fn a_fleet_without_instance_indexes_stays_within_the_limit() {
    assert_budget_holds(InstanceIndexes::Absent, None);
    assert_budget_holds(InstanceIndexes::Absent, Some(3));
}

#[test]
fn more_dispatchers_than_the_fleet_size_stay_within_the_limit() {
    assert_budget_holds(InstanceIndexes::BeyondFleetSize, None);
    assert_budget_holds(InstanceIndexes::BeyondFleetSize, Some(3));
}

/// Where a budget has room for one slow-start position only, six of the dispatchers without an instance index
/// draw that position by chance in one of 2,000 starts of a worker.
#[test]
fn dispatchers_that_draw_the_same_position_by_chance_stay_within_the_limit() {
    const FLEET_SIZE: u32 = 40;
    const STARTS: u64 = 10_000;
    let (budget, mean_work) = (8.0, 0.1);
    let settings = Settings {
        slow_start_initial_capacity: budget * mean_work / 2.5 / 3.0,
        overload_window: WINDOW,
        ..long_deadline_settings(FLEET_SIZE)
    };
    let mut harnesses: Vec<_> =
        (0..FLEET_SIZE).map(|index| Harness::seeded(settings.clone(), &[], u64::from(index))).collect();
    let (mut worst, mut last_request) = (0.0_f64, 0);
    for start in 0..STARTS {
        let mut sent = 0.0;
        for harness in &mut harnesses {
            harness.now += SECOND;
            // A new hash key, as of another worker, so that the dispatchers draw new positions.
            let started = Endpoint { started_at: Some(harness.now), hash_key: start, ..endpoint(0) };
            harness.update_endpoints(EndpointUpdateKind::Changes, &[started]);
            for work in OFFERED_WORK.repeat(2) {
                last_request += 1;
                let is_sent = harness.offer_with_long_deadline(last_request, work * mean_work).is_some();
                sent += if is_sent { work } else { 0.0 };
            }
        }
        worst = worst.max(sent);
    }
    println!("at most {worst:.1} requests of mean work in a window, {:.1} are allowed", allowed_work(budget));
    assert!(worst > budget / 2.0, "too little work was sent to test the limit: {worst:.1}");
    assert!(
        worst <= allowed_work(budget),
        "{worst:.1} requests of mean work, {:.1} are allowed",
        allowed_work(budget)
    );
}
