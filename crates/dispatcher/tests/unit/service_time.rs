use super::{ServiceTimeEstimator, WorkerOccupancy, WorkerRate};
use crate::policy::remote_slots::RemoteSlots;
use crate::{RequestClass, SECOND};

const NO_REMOTE_SLOTS: RemoteSlots = RemoteSlots { mean: 0.0, variance: 0.0 };
const IDLE: WorkerOccupancy = WorkerOccupancy { slots: 4.0, local_slots: 0.0, remote_slots: NO_REMOTE_SLOTS };

fn estimator() -> ServiceTimeEstimator {
    let mut estimator = ServiceTimeEstimator::new(2);
    estimator.resize(2);
    estimator
}

fn refreshed(estimator: &ServiceTimeEstimator, kind: u32) -> WorkerRate {
    let mut worker = WorkerRate::default();
    estimator.refresh(0, &mut worker, kind, true);
    worker
}

fn seconds(occupancy: WorkerOccupancy) -> (f64, f64) {
    let estimator = estimator();
    let estimate = estimator.estimate(&refreshed(&estimator, 0), 2.0, 1.0, occupancy);
    assert_eq!(estimate.seconds_alone, 2.0);
    (estimate.seconds, estimate.seconds_for_ranking)
}

#[test]
fn a_request_that_fits_into_the_free_slots_takes_its_own_running_time() {
    assert_eq!(seconds(IDLE), (2.0, 2.0));
    assert_eq!(seconds(WorkerOccupancy { local_slots: 3.0, ..IDLE }), (2.0, 2.0));
}

#[test]
fn beyond_the_slots_requests_share_them_and_the_ranking_weighs_the_excess_three_times() {
    assert_eq!(seconds(WorkerOccupancy { local_slots: 7.0, ..IDLE }), (4.0, 8.0));
    let others = RemoteSlots { mean: 4.0, variance: 0.0 };
    assert_eq!(seconds(WorkerOccupancy { local_slots: 3.0, remote_slots: others, ..IDLE }), (4.0, 8.0));
}

#[test]
fn variance_of_the_remote_slots_adds_time_before_all_slots_are_in_use() {
    let uncertain = RemoteSlots { mean: 3.0, variance: 4.0 };
    let (at_full, _) = seconds(WorkerOccupancy { remote_slots: uncertain, ..IDLE });
    // The excess is 0.4 times the standard deviation of 2, divided by the 4 slots.
    assert!((at_full - 2.0 * (1.0 + 0.8 / 4.0)).abs() < 1e-12, "{at_full}");
}

#[test]
fn before_any_report_estimates_assume_two_slots_and_slow_start_assumes_one() {
    let estimator = estimator();
    assert_eq!((estimator.slots_of(0), estimator.fleet_slots(), estimator.min_slots_of(0)), (2.0, 2.0, 1.0));
}

#[test]
fn learned_slots_rise_fast_and_fall_slowly_and_start_at_one_or_more() {
    let mut estimator = estimator();
    estimator.learn_slots(0, 0.0);
    assert!((estimator.slots_of(0) - (1.0 - 0.002)).abs() < 1e-12);
    let mut estimator = self::estimator();
    estimator.learn_slots(0, 4.0);
    estimator.learn_slots(0, 5.0);
    assert!((estimator.slots_of(0) - 4.6).abs() < 1e-12);
    estimator.learn_slots(0, 3.6);
    assert!((estimator.slots_of(0) - 4.598).abs() < 1e-12);
    estimator.learn_fleet_slots(6.0);
    assert_eq!(
        (estimator.slots_of(1), estimator.min_slots_of(1)),
        (6.0, 1.0),
        "a kind without reports uses the mean of the fleet"
    );
}

#[test]
fn the_rate_of_a_worker_is_shrunk_toward_its_kind_and_that_toward_the_fleet() {
    let mut estimator = estimator();
    let mut first = refreshed(&estimator, 0);
    estimator.learn_rate(SECOND, &mut first, 0, false, 2.0, 1.0);
    // The worker, its kind and the fleet all have this one sample.
    assert!((first.service_rate() - 2.0).abs() < 1e-12);
    let mut second = refreshed(&estimator, 1);
    assert!((second.service_rate() - 2.0).abs() < 1e-12, "only the rate of the fleet is known");
    for _ in 0..100 {
        estimator.learn_rate(SECOND, &mut second, 1, false, 1.0, 2.0);
    }
    assert!(second.service_rate() < 0.55, "{}", second.service_rate());
    second.reset();
    estimator.refresh(SECOND, &mut second, 0, true);
    assert!(
        second.service_rate() > 0.55,
        "the samples of the earlier process, of another kind, were discarded: {}",
        second.service_rate()
    );
}

#[test]
fn invalid_rates_are_not_learned() {
    let mut estimator = estimator();
    let mut worker = refreshed(&estimator, 0);
    for (work, seconds) in [(1.0, 1e4), (1e4, 1.0), (1.0, 0.0), (f64::NAN, 1.0), (0.0, 0.0), (-1.0, 1.0)] {
        estimator.learn_rate(SECOND, &mut worker, 0, false, work, seconds);
        assert_eq!(worker.service_rate(), 1.0, "{work} {seconds}");
    }
}

#[test]
fn the_rate_of_an_idle_worker_decays_toward_its_kind_over_mean_response_times() {
    let mut estimator = estimator();
    let mut slow = refreshed(&estimator, 0);
    let mut fast = refreshed(&estimator, 0);
    for _ in 0..10 {
        estimator.learn_rate(0, &mut slow, 0, false, 1.0, 4.0);
        estimator.learn_rate(0, &mut fast, 0, false, 1.0, 1.0);
    }
    estimator.refresh(0, &mut slow, 0, false);
    let busy = slow.service_rate();
    estimator.refresh(1_000 * SECOND, &mut slow, 0, false);
    assert_eq!(slow.service_rate(), busy, "the rate of a busy worker does not decay");
    estimator.refresh(5 * SECOND, &mut slow, 0, true);
    let after_half_life = slow.service_rate();
    estimator.refresh(1_000 * SECOND, &mut slow, 0, true);
    assert!(busy < after_half_life && after_half_life < slow.service_rate());
}

#[test]
fn the_mean_response_time_stays_above_zero() {
    let mut estimator = estimator();
    assert_eq!(estimator.mean_response_seconds(), 1.0);
    for _ in 0..100_000 {
        estimator.learn_response_time(0);
    }
    assert!((estimator.mean_response_seconds() - 0.001).abs() < 1e-9);
}

#[test]
fn requests_without_a_cost_hint_have_the_expected_work_of_their_class() {
    let mut estimator = estimator();
    estimator.learn_class_time(0, 1, 3.0);
    assert_eq!(estimator.expected_work(0), 1.0);
    assert!((estimator.expected_work(1) - 3.0).abs() < 1e-12);
}

#[test]
fn the_objective_grows_with_the_work_at_the_rate_of_the_fleet() {
    let class = RequestClass { latency_objective: SECOND, latency_stretch: 2.0, ..RequestClass::default() };
    let mut estimator = estimator();
    assert_eq!(estimator.objective_seconds(&class, 3.0), 7.0);
    let mut worker = refreshed(&estimator, 0);
    estimator.learn_rate(0, &mut worker, 0, false, 2.0, 1.0);
    assert!((estimator.objective_seconds(&class, 3.0) - 4.0).abs() < 1e-12);
}
