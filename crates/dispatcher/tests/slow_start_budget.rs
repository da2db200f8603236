//! The platform's rule on a worker that is warming up, for fleets of any size: what the dispatchers that were
//! notified of its start send within any window, in requests of mean work, stays under N + 2 x root of N + 2
//! (N + 3 x root of N + 3 under 30), N being what the settings allow the worker then. Other tests have
//! dispatchers that hear of the start late, or have learned unlike figures (`slow_start_fleet`).
mod common;
use common::{Harness, endpoint, patient_settings};
use copperspread_dispatcher::{Dispatcher, Endpoint, EndpointUpdateKind, Micros, SECOND, Settings};

const START: Micros = 200 * SECOND;
const WINDOW: Micros = 3 * SECOND;
/// How long a run lasts.
const DURATION: Micros = 3 * WINDOW;
/// All dispatchers are offered requests so many times in a run.
const ROUNDS: u64 = 48;
/// Requests offered to each dispatcher in a round, smallest last: what is left of a part is used up.
const OFFERED_WORK: [f64; 4] = [1.9, 1.0, 0.8, 0.3];
const FLEETS: [u32; 10] = [1, 2, 3, 5, 8, 20, 60, 150, 400, 900];
/// Requests of mean work that a worker bears in its first window.
const BUDGETS: [f64; 9] = [0.8, 2.5, 5.0, 8.0, 12.0, 28.0, 31.0, 90.0, 500.0];

/// How the dispatchers are numbered.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Numbering {
    /// Each has a number of its own, and the settings name as many as run.
    Full,
    /// None has a number.
    Absent,
    /// Each has a number of its own, and the settings name a third of those that run.
    BeyondFleetSize,
}

#[derive(Clone, Copy, Debug)]
struct Plan {
    dispatchers: u32,
    numbering: Numbering,
    /// Requests of mean work that the worker bears in its first window.
    budget: f64,
    /// Capacity at the worker's start.
    initial_capacity: f64,
    /// One in so many dispatchers is restarted, at two random moments.
    restarted: Option<u32>,
    seed: u64,
}

/// What the platform lets a worker that is warming up get in a window in which it bears N.
fn allowed(budget: f64) -> f64 {
    let (per_root, fixed) = if budget < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
    budget + per_root * budget.sqrt() + fixed
}

struct Simulation {
    plan: Plan,
    settings: Settings,
    /// Mean work of a request.
    mean: f64,
    started: Endpoint,
    harnesses: Vec<Harness>,
    /// When work was sent to the worker, and how much.
    sends: Vec<(Micros, f64)>,
    last_request: u64,
}

impl Simulation {
    fn new(plan: Plan) -> Simulation {
        let fleet_size = match plan.numbering {
            Numbering::BeyondFleetSize => plan.dispatchers.div_ceil(3),
            Numbering::Full | Numbering::Absent => plan.dispatchers,
        };
        let settings = Settings {
            slow_start_initial_capacity: plan.initial_capacity,
            overload_window: WINDOW,
            ..patient_settings(fleet_size)
        };
        // A worker has one slot, as nothing else is known of it, and serves a second of work in a second.
        let budget = settings.overload_multiple * plan.initial_capacity * WINDOW as f64 / SECOND as f64;
        let hash_key = fastrand::Rng::with_seed(plan.seed).u64(..);
        let mut simulation = Simulation {
            plan,
            settings,
            mean: budget / plan.budget,
            started: Endpoint { started_at: Some(START), hash_key, ..endpoint(0) },
            harnesses: Vec::new(),
            sends: Vec::new(),
            last_request: 0,
        };
        for number in 0..plan.dispatchers {
            let mut harness = simulation.dispatcher(number, START - 60 * SECOND, 0);
            // It has had requests, for which there was no worker.
            for work in OFFERED_WORK.repeat(2) {
                simulation.offer(&mut harness, work);
            }
            harness.now = START;
            harness.update_endpoints(EndpointUpdateKind::Changes, &[simulation.started]);
            simulation.harnesses.push(harness);
        }
        simulation
    }

    /// A new process of a dispatcher, which has no list yet.
    fn dispatcher(&self, number: u32, now: Micros, life: u64) -> Harness {
        let instance_index = (self.plan.numbering != Numbering::Absent).then_some(number);
        let settings = Settings { instance_index, ..self.settings.clone() };
        let seed = (self.plan.seed * 10_000 + u64::from(number)) * 3 + life;
        let mut harness = Harness::new(settings.clone(), &[]);
        // One that has had no event yet: it starts with its first.
        harness.dispatcher = Dispatcher::new(settings, seed).expect("settings are good");
        harness.now = now;
        harness
    }

    /// Offers a request of so many times the mean work; whether it was sent.
    fn offer(&mut self, harness: &mut Harness, work: f64) -> bool {
        self.last_request += 1;
        let work = work * self.mean;
        let is_sent = harness.offer_patiently(self.last_request, work).is_some();
        if is_sent {
            self.sends.push((harness.now, work));
        }
        is_sent
    }

    fn run(&mut self) {
        let mut rng = fastrand::Rng::with_seed(self.plan.seed);
        let mut restarts = [1, 2].map(|life| (rng.u64(0..ROUNDS), life));
        restarts.sort_unstable();
        for round in 0..ROUNDS {
            let now = START + round * DURATION / ROUNDS;
            for (_, life) in restarts.iter().filter(|&&(at, _)| at == round) {
                self.restart_some(now, *life);
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

    fn restart_some(&mut self, now: Micros, life: u64) {
        let Some(one_in) = self.plan.restarted else { return };
        for number in (0..self.plan.dispatchers).filter(|number| number % one_in == 0) {
            let mut harness = self.dispatcher(number, now, life);
            harness.update_endpoints(EndpointUpdateKind::Full, &[self.started]);
            self.harnesses[number as usize] = harness;
        }
    }

    /// The most in any window, as a fraction of what is allowed.
    fn worst_window(&self) -> f64 {
        let initial = self.plan.initial_capacity;
        let duration = self.settings.slow_start_duration as f64;
        let budget_at = |at: Micros| {
            let elapsed = (at - START) as f64 / duration;
            self.plan.budget * (initial + (1.0 - initial) * elapsed.min(1.0)) / initial
        };
        let in_window_from = |(index, &(first_at, _)): (usize, &(Micros, f64))| {
            let sends = self.sends[index..].iter().take_while(|(at, _)| *at < first_at + WINDOW);
            let work: f64 = sends.map(|(_, work)| work / self.mean).sum();
            work / allowed(budget_at(first_at + WINDOW / 2))
        };
        self.sends.iter().enumerate().map(in_window_from).fold(0.0, f64::max)
    }
}

fn worst_window(plan: Plan) -> f64 {
    let mut simulation = Simulation::new(plan);
    simulation.run();
    simulation.worst_window()
}

fn assert_budget_holds(numbering: Numbering, restarted: Option<u32>) {
    let (mut seed, mut worst) = (0, 0.0_f64);
    for dispatchers in FLEETS {
        for budget in BUDGETS {
            // A large fleet costs time, so it is played on fewer seeds and one start; the others are as cold.
            let initial_capacities = if dispatchers > 60 { &[0.12][..] } else { &[0.02, 0.12, 0.3] };
            for &initial_capacity in initial_capacities {
                seed += 1;
                let plan = Plan { dispatchers, numbering, budget, initial_capacity, restarted, seed };
                let share = worst_window(plan);
                assert!(share <= 1.0, "{plan:?}: {share:.2} of what is allowed");
                worst = worst.max(share);
            }
        }
    }
    println!("{numbering:?}, restarted {restarted:?}: {worst:.2} of what is allowed at the worst");
    assert!(worst > 0.3, "the worker was offered more than it may get");
}

#[test]
fn a_fleet_of_any_size_stays_inside_the_budget() {
    assert_budget_holds(Numbering::Full, None);
}

#[test]
fn a_fleet_of_any_size_whose_processes_restart_within_a_window_stays_inside_the_budget() {
    for one_in in [1, 3] {
        assert_budget_holds(Numbering::Full, Some(one_in));
    }
}

#[test]
fn a_fleet_without_numbers_stays_inside_the_budget() {
    assert_budget_holds(Numbering::Absent, None);
    assert_budget_holds(Numbering::Absent, Some(3));
}

#[test]
fn more_dispatchers_than_the_settings_name_stay_inside_the_budget() {
    assert_budget_holds(Numbering::BeyondFleetSize, None);
    assert_budget_holds(Numbering::BeyondFleetSize, Some(3));
}

/// Where a budget has room for one position only, six of the dispatchers without a number draw it by chance in one
/// of two thousand starts.
#[test]
fn those_that_draw_the_same_position_by_chance_stay_inside_the_budget_together() {
    const FLEET: u32 = 40;
    const STARTS: u64 = 10_000;
    let (budget, mean) = (8.0, 0.1);
    let settings = Settings {
        slow_start_initial_capacity: budget * mean / 2.5 / 3.0,
        overload_window: WINDOW,
        ..patient_settings(FLEET)
    };
    let mut harnesses: Vec<_> =
        (0..FLEET).map(|number| Harness::seeded(settings.clone(), &[], u64::from(number))).collect();
    let (mut worst, mut last_request) = (0.0_f64, 0);
    for start in 0..STARTS {
        let mut sent = 0.0;
        for harness in &mut harnesses {
            harness.now += SECOND;
            // Another key, as of another worker: positions are drawn anew.
            let started = Endpoint { started_at: Some(harness.now), hash_key: start, ..endpoint(0) };
            harness.update_endpoints(EndpointUpdateKind::Changes, &[started]);
            for work in OFFERED_WORK.repeat(2) {
                last_request += 1;
                let is_sent = harness.offer_patiently(last_request, work * mean).is_some();
                sent += if is_sent { work } else { 0.0 };
            }
        }
        worst = worst.max(sent);
    }
    println!("{worst:.1} requests of mean work at the worst, {:.1} are allowed", allowed(budget));
    assert!(worst > budget / 2.0, "the worker was offered more than it may get");
    assert!(worst <= allowed(budget), "{worst:.1} requests of mean work, {:.1} are allowed", allowed(budget));
}
