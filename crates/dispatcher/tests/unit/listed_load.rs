use super::{ListedLoads, MAX_LISTED_LOAD};
use crate::{Micros, SECOND};

const SLOTS: f64 = 4.0;

/// Workers of kind 0 whose sizes are listed at once.
fn listed(sizes: &[Option<f64>]) -> ListedLoads {
    let mut loads = ListedLoads::default();
    loads.resize(sizes.len(), 2);
    list(&mut loads, SECOND, sizes);
    loads
}

fn list(loads: &mut ListedLoads, now: Micros, sizes: &[Option<f64>]) {
    sizes.iter().enumerate().for_each(|(worker, &size)| loads.set_size(worker, size));
    loads.learn_max_sizes(sizes.iter().map(|_| 0));
    (0..sizes.len()).for_each(|worker| loads.record(now, worker, 0, SLOTS, 1.0));
}

/// Slots of all dispatchers, a long time after the list.
fn usual_slots(loads: &ListedLoads, worker: usize) -> f64 {
    loads.remote_slots(1_000 * SECOND, worker, 0.0).expect("it was listed").mean
}

#[test]
fn the_largest_size_is_that_of_an_idle_worker() {
    let loads = listed(&[Some(8.0), Some(4.0), Some(2.0)]);
    assert_eq!([0, 1, 2].map(|worker| usual_slots(&loads, worker)), [0.0, SLOTS, 3.0 * SLOTS]);
}

#[test]
fn an_absurd_size_makes_no_other_look_loaded() {
    let loads = listed(&[Some(9_000.0), Some(8.0), Some(8.0), Some(8.0)]);
    assert_eq!(usual_slots(&loads, 1), 0.0);
    assert_eq!(usual_slots(&loads, 0), 0.0);
}

#[test]
fn the_load_shown_is_bounded() {
    let loads = listed(&[Some(10.0), Some(10.0), Some(0.001)]);
    assert_eq!(usual_slots(&loads, 2), MAX_LISTED_LOAD * SLOTS);
}

#[test]
fn a_size_that_is_absent_or_no_figure_shows_nothing() {
    let loads = listed(&[None, Some(f64::NAN), Some(0.0), Some(-1.0), Some(1e5)]);
    for worker in 0..5 {
        assert!(loads.remote_slots(SECOND, worker, 0.0).is_none());
    }
}

#[test]
fn an_unknown_worker_s_size_is_ignored() {
    let mut loads = listed(&[Some(1.0)]);
    loads.set_size(7, Some(100.0));
    loads.learn_max_sizes([0].into_iter());
    assert_eq!(usual_slots(&loads, 0), 0.0);
}

#[test]
fn a_list_moves_the_mean_by_its_gain_and_its_own_figure_fades() {
    let mut loads = listed(&[Some(8.0), Some(8.0)]);
    list(&mut loads, 2 * SECOND, &[Some(8.0), Some(4.0)]);
    assert_eq!(usual_slots(&loads, 1), 0.35 * SLOTS);
    let at_once = loads.remote_slots(2 * SECOND, 1, 0.0).expect("it was listed");
    let fresh = (-0.9_f64).exp();
    assert!((at_once.mean - (0.35 + 0.65 * fresh) * SLOTS).abs() < 1e-12, "{}", at_once.mean);
    assert!((at_once.variance - at_once.mean * (1.0 - fresh * fresh)).abs() < 1e-12);
    loads.reset(1);
    assert!(loads.remote_slots(2 * SECOND, 1, 0.0).is_none(), "another process");
}

#[test]
fn this_dispatcher_s_part_is_not_the_others() {
    let loads = listed(&[Some(8.0), Some(4.0)]);
    let remote = loads.remote_slots(1_000 * SECOND, 1, 0.25).expect("it was listed");
    assert_eq!(remote.mean, 0.75 * SLOTS);
}
