use super::{SLOW_START_WINDOW_STEPS, SlowStartBudgets, WorkerCapacity, WorkerSlowStart};
use crate::{Micros, SECOND, Settings};

const START: Micros = 100 * SECOND;
const WINDOW: Micros = 3 * SECOND;
const CAPACITY: WorkerCapacity = WorkerCapacity { slots: 4.0, service_rate: 1.0 };
/// Load of a request so small that the allowance for random variation is negligible and all dispatchers of a
/// small fleet share a budget.
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

/// A dispatcher that started long ago, and a worker that starts at [`START`].
struct DispatcherAndWorker {
    budgets: SlowStartBudgets,
    worker: WorkerSlowStart,
}

impl DispatcherAndWorker {
    fn new(settings: &Settings) -> DispatcherAndWorker {
        let mut budgets = SlowStartBudgets::new(settings);
        budgets.start(0);
        let mut worker = WorkerSlowStart::default();
        worker.set_started_at(Some(START));
        worker.set_hash_key(77);
        DispatcherAndWorker { budgets, worker }
    }

    fn is_warming_up(&self, now: Micros) -> bool {
        self.budgets.is_warming_up(now, &self.worker)
    }

    fn record_sent(&mut self, now: Micros, load: f64) {
        self.budgets.record_sent(now, &mut self.worker, load);
    }

    fn admits(&mut self, now: Micros, load: f64) -> bool {
        self.admits_with_rng(now, load, SMALL_REQUEST, &mut fastrand::Rng::with_seed(1))
    }

    fn admits_with_rng(&mut self, now: Micros, load: f64, mean_load: f64, rng: &mut fastrand::Rng) -> bool {
        self.budgets.admits(now, &mut self.worker, load, CAPACITY, mean_load, rng)
    }
}

#[test]
fn a_worker_is_warming_up_from_its_start_for_the_slow_start_duration() {
    let subject = DispatcherAndWorker::new(&settings(1, None));
    assert!(subject.is_warming_up(START));
    assert!(subject.is_warming_up(START + 10 * SECOND - 1));
    assert!(!subject.is_warming_up(START + 10 * SECOND));
}

#[test]
fn a_changed_start_time_is_a_new_process_unless_it_is_zero_or_none() {
    let mut subject = DispatcherAndWorker::new(&settings(1, None));
    assert!(!subject.worker.set_started_at(Some(START)), "the same process");
    assert!(subject.worker.set_started_at(Some(START + 1)));
    for long_ago in [Some(0), None] {
        assert!(!subject.worker.set_started_at(long_ago));
        assert!(!subject.is_warming_up(1));
    }
}

#[test]
fn the_budget_follows_the_capacity_half_a_window_earlier() {
    // At the start the capacity is 0.5 of 4 slots. Over 3 s, the budget is twice that. Of the budget, 0.9 may
    // be used, or 1 / 1.5 of the budget plus the allowance for random variation; the latter is less here.
    let at_start = 2.0 * 0.5 * 4.0 * 3.0 / 1.5;
    let mut single_dispatcher = DispatcherAndWorker::new(&settings(1, None));
    assert!(single_dispatcher.admits(START, at_start));
    assert!(!single_dispatcher.admits(START, at_start * 1.01));
    // At 6.5 s, the capacity half a window (1.5 s) earlier counts: 0.75 of the full one, after 5 of 10 s.
    let later = at_start * 1.5;
    assert!(single_dispatcher.admits(START + 6 * SECOND + SECOND / 2, later));
    assert!(!single_dispatcher.admits(START + 6 * SECOND + SECOND / 2, later * 1.01));
}

#[test]
fn sent_work_counts_for_a_window_and_at_most_one_step_longer() {
    let mut single_dispatcher = DispatcherAndWorker::new(&settings(1, None));
    single_dispatcher.record_sent(START + 1, 7.9);
    assert!(!single_dispatcher.admits(START + 1, 1.0));
    assert!(!single_dispatcher.admits(START + WINDOW, 7.9));
    let step = WINDOW / SLOW_START_WINDOW_STEPS;
    assert!(single_dispatcher.admits(START + WINDOW + step + 1, 7.9));
}

#[test]
fn work_sent_to_an_earlier_process_does_not_count() {
    let mut single_dispatcher = DispatcherAndWorker::new(&settings(1, None));
    single_dispatcher.record_sent(START - WINDOW / 2, 7.9);
    assert!(single_dispatcher.admits(START, 7.9));
}

#[test]
fn a_dispatcher_that_started_after_the_worker_sends_nothing_for_one_window() {
    let mut single_dispatcher = DispatcherAndWorker::new(&settings(1, None));
    single_dispatcher.budgets.start(START + 1);
    assert!(!single_dispatcher.admits(START + 1, SMALL_REQUEST));
    assert!(!single_dispatcher.admits(START + WINDOW, SMALL_REQUEST));
    assert!(single_dispatcher.admits(START + 1 + WINDOW, SMALL_REQUEST));
}

#[test]
fn dispatchers_with_an_index_hold_each_position_once() {
    let positions = |index| {
        let mut subject = DispatcherAndWorker::new(&settings(20, Some(index)));
        subject.admits(START, SMALL_REQUEST);
        subject.worker.position.expect("the position was computed by `admits`")
    };
    let mut held: Vec<_> = (0..20).map(positions).collect();
    held.sort_unstable();
    assert_eq!(held, (0..20).collect::<Vec<_>>());
    assert_eq!(positions(20), 20, "a dispatcher beyond the configured fleet has no position within it");
}

#[test]
fn a_dispatcher_without_a_position_among_the_sharers_sends_nothing() {
    let mut beyond_fleet = DispatcherAndWorker::new(&settings(20, Some(20)));
    assert!(!beyond_fleet.admits(START, SMALL_REQUEST));
    // With requests as large as the budget, one dispatcher gets the whole budget.
    let mut rng = fastrand::Rng::with_seed(1);
    let admitted = (0..20).filter(|&index| {
        let mut subject = DispatcherAndWorker::new(&settings(20, Some(index)));
        subject.admits_with_rng(START, 0.1, 10.0, &mut rng)
    });
    assert_eq!(admitted.count(), 1);
}

#[test]
fn a_random_position_is_drawn_once_and_again_after_the_hash_key_changes() {
    let mut subject = DispatcherAndWorker::new(&settings(20, None));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut admit = |subject: &mut DispatcherAndWorker| {
        subject.admits_with_rng(START, SMALL_REQUEST, SMALL_REQUEST, &mut rng);
        rng.clone()
    };
    let after_first = admit(&mut subject);
    assert_eq!(admit(&mut subject), after_first);
    assert!(!subject.worker.set_hash_key(77));
    assert_eq!(admit(&mut subject), after_first);
    assert!(subject.worker.set_hash_key(78));
    assert_ne!(admit(&mut subject), after_first);
}
