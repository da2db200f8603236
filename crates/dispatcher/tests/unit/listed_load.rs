use super::{ListedLoads, MAX_LISTED_LOAD};
use crate::{Micros, SECOND};

const SLOTS: f64 = 4.0;

/// Listed loads of workers of kind 0 after one list with these sizes.
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

/// Mean slots of all dispatchers, long after the last list, when its own value has decayed.
fn mean_slots_of(loads: &ListedLoads, worker: usize) -> f64 {
    loads.remote_slots(1_000 * SECOND, worker, 0.0).expect("the worker was listed").mean
}

#[test]
fn the_largest_size_of_a_kind_means_an_idle_worker() {
    let loads = listed(&[Some(8.0), Some(4.0), Some(2.0)]);
    assert_eq!([0, 1, 2].map(|worker| mean_slots_of(&loads, worker)), [0.0, SLOTS, 3.0 * SLOTS]);
}

#[test]
fn an_implausibly_large_size_does_not_make_other_workers_look_loaded() {
    let loads = listed(&[Some(9_000.0), Some(8.0), Some(8.0), Some(8.0)]);
    assert_eq!(mean_slots_of(&loads, 1), 0.0);
    assert_eq!(mean_slots_of(&loads, 0), 0.0);
}

#[test]
fn the_listed_load_is_bounded() {
    let loads = listed(&[Some(10.0), Some(10.0), Some(0.001)]);
    assert_eq!(mean_slots_of(&loads, 2), MAX_LISTED_LOAD * SLOTS);
}

#[test]
fn an_absent_or_invalid_size_gives_no_listed_load() {
    let loads = listed(&[None, Some(f64::NAN), Some(0.0), Some(-1.0), Some(1e5)]);
    for worker in 0..5 {
        assert!(loads.remote_slots(SECOND, worker, 0.0).is_none());
    }
}

#[test]
fn the_size_of_an_unknown_worker_is_ignored() {
    let mut loads = listed(&[Some(1.0)]);
    loads.set_size(7, Some(100.0));
    loads.learn_max_sizes([0].into_iter());
    assert_eq!(mean_slots_of(&loads, 0), 0.0);
}

#[test]
fn a_list_has_the_weight_of_its_gain_in_the_mean_and_its_own_value_decays() {
    let mut loads = listed(&[Some(8.0), Some(8.0)]);
    list(&mut loads, 2 * SECOND, &[Some(8.0), Some(4.0)]);
    assert_eq!(mean_slots_of(&loads, 1), 0.35 * SLOTS);
    let at_once = loads.remote_slots(2 * SECOND, 1, 0.0).expect("the worker was listed");
    let fresh = (-0.9_f64).exp();
    assert!((at_once.mean - (0.35 + 0.65 * fresh) * SLOTS).abs() < 1e-12, "{}", at_once.mean);
    assert!((at_once.variance - at_once.mean * (1.0 - fresh * fresh)).abs() < 1e-12);
    loads.reset(1);
    assert!(loads.remote_slots(2 * SECOND, 1, 0.0).is_none(), "the load of an earlier process is discarded");
}

#[test]
fn the_share_of_this_dispatcher_is_subtracted() {
    let loads = listed(&[Some(8.0), Some(4.0)]);
    let remote = loads.remote_slots(1_000 * SECOND, 1, 0.25).expect("the worker was listed");
    assert_eq!(remote.mean, 0.75 * SLOTS);
}
