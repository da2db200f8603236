use super::{SLOW_START_WINDOW_STEPS, SlowStartBudgets, WorkerCapacity, WorkerSlowStart};
use crate::{Micros, SECOND, Settings};

const START: Micros = 100 * SECOND;
const WINDOW: Micros = 3 * SECOND;
const CAPACITY: WorkerCapacity = WorkerCapacity { slots: 4.0, service_rate: 1.0 };
/// Small enough that chance adds little and all of a small fleet share a budget.
const SMALL_REQUEST: f64 = 1e-6;

fn settings(fleet_size: u32, instance_index: Option<u32>) -> Settings {
    Settings {
        fleet_size,
        instance_index,
        slow_start_initial_capacity: 0.5,
        slow_start_duration: 10 * SECOND,
        overload_multiple: 2.0,
        overload_window: WINDOW,
        ..Settings::default()
    }
}

/// A dispatcher that has long run, and a worker that starts at [`START`].
struct Pair {
    budgets: SlowStartBudgets,
    worker: WorkerSlowStart,
}

impl Pair {
    fn new(settings: &Settings) -> Pair {
        let mut budgets = SlowStartBudgets::new(settings);
        budgets.start(0);
        let mut worker = WorkerSlowStart::default();
        worker.set_started_at(Some(START));
        worker.set_hash_key(77);
        Pair { budgets, worker }
    }

    fn is_warming_up(&self, now: Micros) -> bool {
        self.budgets.is_warming_up(now, &self.worker)
    }

    fn record_sent(&mut self, now: Micros, work: f64) {
        self.budgets.record_sent(now, &mut self.worker, work);
    }

    fn admits(&mut self, now: Micros, work: f64) -> bool {
        self.draws(now, work, SMALL_REQUEST, &mut fastrand::Rng::with_seed(1))
    }

    fn draws(&mut self, now: Micros, work: f64, mean_load: f64, rng: &mut fastrand::Rng) -> bool {
        self.budgets.admits(now, &mut self.worker, work, CAPACITY, mean_load, rng)
    }
}

#[test]
fn a_worker_warms_up_from_its_start_for_the_duration() {
    let pair = Pair::new(&settings(1, None));
    assert!(pair.is_warming_up(START));
    assert!(pair.is_warming_up(START + 10 * SECOND - 1));
    assert!(!pair.is_warming_up(START + 10 * SECOND));
}

#[test]
fn a_new_start_is_a_new_process_and_zero_or_none_is_long_ago() {
    let mut pair = Pair::new(&settings(1, None));
    assert!(!pair.worker.set_started_at(Some(START)), "the same process");
    assert!(pair.worker.set_started_at(Some(START + 1)));
    for long_ago in [Some(0), None] {
        assert!(!pair.worker.set_started_at(long_ago));
        assert!(!pair.is_warming_up(1));
    }
}

#[test]
fn the_budget_is_that_of_the_capacity_half_a_window_before() {
    // At the start: 0.5 of 4 slots for 3 s, twice that, of which 0.9 or, with chance, 1 / 1.5 may be used.
    let at_start = 2.0 * 0.5 * 4.0 * 3.0 / 1.5;
    let mut one = Pair::new(&settings(1, None));
    assert!(one.admits(START, at_start));
    assert!(!one.admits(START, at_start * 1.01));
    // 6.5 s later, half a window before which 5 s had passed, it has 0.75 of its capacity.
    let later = at_start * 1.5;
    assert!(one.admits(START + 6 * SECOND + SECOND / 2, later));
    assert!(!one.admits(START + 6 * SECOND + SECOND / 2, later * 1.01));
}

#[test]
fn what_was_sent_counts_for_a_window_and_at_most_a_step_longer() {
    let mut one = Pair::new(&settings(1, None));
    one.record_sent(START + 1, 7.9);
    assert!(!one.admits(START + 1, 1.0));
    assert!(!one.admits(START + WINDOW, 7.9));
    let step = WINDOW / SLOW_START_WINDOW_STEPS;
    assert!(one.admits(START + WINDOW + step + 1, 7.9));
}

#[test]
fn what_an_earlier_process_got_does_not_count() {
    let mut one = Pair::new(&settings(1, None));
    one.record_sent(START - WINDOW / 2, 7.9);
    assert!(one.admits(START, 7.9));
}

#[test]
fn a_dispatcher_that_started_after_the_worker_sends_nothing_for_one_window() {
    let mut one = Pair::new(&settings(1, None));
    one.budgets.start(START + 1);
    assert!(!one.admits(START + 1, SMALL_REQUEST));
    assert!(!one.admits(START + WINDOW, SMALL_REQUEST));
    assert!(one.admits(START + 1 + WINDOW, SMALL_REQUEST));
}

#[test]
fn numbered_dispatchers_hold_each_position_once() {
    let positions = |index| {
        let mut pair = Pair::new(&settings(20, Some(index)));
        pair.admits(START, SMALL_REQUEST);
        pair.worker.position.expect("it was needed")
    };
    let mut held: Vec<_> = (0..20).map(positions).collect();
    held.sort_unstable();
    assert_eq!(held, (0..20).collect::<Vec<_>>());
    assert_eq!(positions(20), 20, "one that the settings do not name holds none");
}

#[test]
fn a_dispatcher_without_a_position_among_the_sharers_sends_nothing() {
    let mut unnamed = Pair::new(&settings(20, Some(20)));
    assert!(!unnamed.admits(START, SMALL_REQUEST));
    // Requests as large as the budget leave one sharer.
    let mut rng = fastrand::Rng::with_seed(1);
    let admitted = (0..20).filter(|&index| {
        let mut pair = Pair::new(&settings(20, Some(index)));
        pair.draws(START, 0.1, 10.0, &mut rng)
    });
    assert_eq!(admitted.count(), 1);
}

#[test]
fn a_position_is_drawn_once_and_again_for_another_hash_key() {
    let mut pair = Pair::new(&settings(20, None));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut admit = |pair: &mut Pair| {
        pair.draws(START, SMALL_REQUEST, SMALL_REQUEST, &mut rng);
        rng.clone()
    };
    let after_first = admit(&mut pair);
    assert_eq!(admit(&mut pair), after_first);
    assert!(!pair.worker.set_hash_key(77));
    assert_eq!(admit(&mut pair), after_first);
    assert!(pair.worker.set_hash_key(78));
    assert_ne!(admit(&mut pair), after_first);
}
