use super::{SLOW_START_WINDOW_STEPS, SlowStartBudgets, WorkerCapacity};
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

/// A dispatcher that has long run, and one worker that starts at [`START`].
fn budgets(settings: &Settings) -> SlowStartBudgets {
    let mut budgets = SlowStartBudgets::new(settings);
    budgets.start(0);
    budgets.resize(1);
    budgets.set_started_at(0, Some(START));
    budgets.set_hash_key(0, 77);
    budgets
}

fn admits(budgets: &mut SlowStartBudgets, now: Micros, work: f64) -> bool {
    let mut rng = fastrand::Rng::with_seed(1);
    budgets.admits(now, 0, work, CAPACITY, SMALL_REQUEST, &mut rng)
}

#[test]
fn a_worker_warms_up_from_its_start_for_the_duration() {
    let budgets = budgets(&settings(1, None));
    assert!(budgets.is_warming_up(START, 0));
    assert!(budgets.is_warming_up(START + 10 * SECOND - 1, 0));
    assert!(!budgets.is_warming_up(START + 10 * SECOND, 0));
}

#[test]
fn a_new_start_is_a_new_process_and_zero_or_none_is_long_ago() {
    let mut budgets = budgets(&settings(1, None));
    assert!(!budgets.set_started_at(0, Some(START)), "the same process");
    assert!(budgets.set_started_at(0, Some(START + 1)));
    for long_ago in [Some(0), None] {
        assert!(!budgets.set_started_at(0, long_ago));
        assert!(!budgets.is_warming_up(1, 0));
    }
}

#[test]
fn the_budget_is_that_of_the_capacity_half_a_window_before() {
    // At the start: 0.5 of 4 slots for 3 s, twice that, of which 0.9 or, with chance, 1 / 1.5 may be used.
    let at_start = 2.0 * 0.5 * 4.0 * 3.0 / 1.5;
    let mut one = budgets(&settings(1, None));
    assert!(admits(&mut one, START, at_start));
    assert!(!admits(&mut one, START, at_start * 1.01));
    // 6.5 s later, half a window before which 5 s had passed, it has 0.75 of its capacity.
    let later = at_start * 1.5;
    assert!(admits(&mut one, START + 6 * SECOND + SECOND / 2, later));
    assert!(!admits(&mut one, START + 6 * SECOND + SECOND / 2, later * 1.01));
}

#[test]
fn what_was_sent_counts_for_a_window_and_at_most_a_step_longer() {
    let mut one = budgets(&settings(1, None));
    one.record_sent(START + 1, 0, 7.9);
    assert!(!admits(&mut one, START + 1, 1.0));
    assert!(!admits(&mut one, START + WINDOW, 7.9));
    let step = WINDOW / SLOW_START_WINDOW_STEPS;
    assert!(admits(&mut one, START + WINDOW + step + 1, 7.9));
}

#[test]
fn what_an_earlier_process_got_does_not_count() {
    let mut one = budgets(&settings(1, None));
    one.record_sent(START - WINDOW / 2, 0, 7.9);
    assert!(admits(&mut one, START, 7.9));
}

#[test]
fn a_dispatcher_that_started_after_the_worker_sends_nothing_for_one_window() {
    let mut one = budgets(&settings(1, None));
    one.start(START + 1);
    assert!(!admits(&mut one, START + 1, SMALL_REQUEST));
    assert!(!admits(&mut one, START + WINDOW, SMALL_REQUEST));
    assert!(admits(&mut one, START + 1 + WINDOW, SMALL_REQUEST));
}

#[test]
fn numbered_dispatchers_hold_each_position_once() {
    let positions = |index| {
        let mut budgets = budgets(&settings(20, Some(index)));
        admits(&mut budgets, START, SMALL_REQUEST);
        budgets.workers[0].position.expect("it was needed")
    };
    let mut held: Vec<_> = (0..20).map(positions).collect();
    held.sort_unstable();
    assert_eq!(held, (0..20).collect::<Vec<_>>());
    assert_eq!(positions(20), 20, "one that the settings do not name holds none");
}

#[test]
fn a_dispatcher_without_a_position_among_the_sharers_sends_nothing() {
    let mut unnamed = budgets(&settings(20, Some(20)));
    assert!(!admits(&mut unnamed, START, SMALL_REQUEST));
    // Requests as large as the budget leave one sharer.
    let mut rng = fastrand::Rng::with_seed(1);
    let admitted = (0..20).filter(|&index| {
        let mut budgets = budgets(&settings(20, Some(index)));
        budgets.admits(START, 0, 0.1, CAPACITY, 10.0, &mut rng)
    });
    assert_eq!(admitted.count(), 1);
}

#[test]
fn a_position_is_drawn_once_and_again_for_another_hash_key() {
    let mut budgets = budgets(&settings(20, None));
    let mut rng = fastrand::Rng::with_seed(1);
    let mut admit = |budgets: &mut SlowStartBudgets| {
        budgets.admits(START, 0, SMALL_REQUEST, CAPACITY, SMALL_REQUEST, &mut rng);
        rng.clone()
    };
    let after_first = admit(&mut budgets);
    assert_eq!(admit(&mut budgets), after_first);
    assert!(!budgets.set_hash_key(0, 77));
    assert_eq!(admit(&mut budgets), after_first);
    assert!(budgets.set_hash_key(0, 78));
    assert_ne!(admit(&mut budgets), after_first);
}
