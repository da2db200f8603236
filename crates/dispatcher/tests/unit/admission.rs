use super::{AdmissionController, FleetLoad};
use crate::policy::request::Request;
use crate::{Micros, RequestClass, SECOND, Settings, Tenant};

const NOT_OVERLOADED: FleetLoad = FleetLoad { utilization: 0.5, slots: 4.0, mean_request_load: 1.0 };
const OVERLOADED: FleetLoad = FleetLoad { utilization: 2.0, ..NOT_OVERLOADED };

fn settings(weights: &[f64]) -> Settings {
    let class = |&priority_weight| RequestClass { priority_weight, ..RequestClass::default() };
    Settings { classes: weights.iter().map(class).collect(), ..Settings::default() }
}

fn request(class: usize) -> Request {
    Request { class, work: 1.0, slots: 1.0, ..Request::default() }
}

/// Offers 1,000 requests for each entry of `tenants` and counts how many are shed for each entry. All
/// requests of an entry have the same class: the index of the entry modulo the number of classes.
fn shed_counts(fleet: FleetLoad, settings: &Settings, tenants: &[usize]) -> Vec<u32> {
    let mut controller = AdmissionController::new(settings.tenants.len());
    let mut rng = fastrand::Rng::with_seed(1);
    let mut counts = vec![0; tenants.len()];
    for step in 0..1_000 {
        let now = step * SECOND / 100;
        for (index, &tenant) in tenants.iter().enumerate() {
            let class = index % settings.classes.len();
            let is_shed = controller.should_shed(now, &request(class), tenant, fleet, settings, &mut rng);
            counts[index] += u32::from(is_shed);
        }
    }
    counts
}

#[test]
fn nothing_is_shed_up_to_the_threshold_which_is_higher_for_workers_with_few_slots() {
    let settings = settings(&[1.0, 9.0]);
    let at_threshold = FleetLoad { utilization: 0.9 + 0.25, ..NOT_OVERLOADED };
    assert_eq!(shed_counts(at_threshold, &settings, &[0, 0]), [0, 0]);
    let beyond = FleetLoad { utilization: 1.3, ..NOT_OVERLOADED };
    assert!(shed_counts(beyond, &settings, &[0, 0])[0] > 0);
    let few_slots = FleetLoad { slots: 1.0, ..beyond };
    assert_eq!(shed_counts(few_slots, &settings, &[0, 0]), [0, 0]);
}

#[test]
fn requests_with_the_least_weight_are_shed_first() {
    let mild_overload = FleetLoad { utilization: 0.9 + 0.25 + 0.3, ..NOT_OVERLOADED };
    let counts = shed_counts(mild_overload, &settings(&[1.0, 9.0]), &[0, 0]);
    assert!(counts[0] > 500 && counts[1] < 100, "{counts:?}");
}

#[test]
fn at_most_the_maximum_fraction_of_the_work_is_shed() {
    let extreme_overload = FleetLoad { utilization: 1e6, ..NOT_OVERLOADED };
    let counts = shed_counts(extreme_overload, &settings(&[1.0, 9.0]), &[0, 0]);
    let all: u32 = counts.iter().sum();
    assert!((1_300..=1_500).contains(&all), "{counts:?}");
}

#[test]
fn requests_of_a_tenant_over_its_quota_are_shed_first() {
    let tenants = vec![Tenant { quota_per_second: 10.0 }, Tenant { quota_per_second: 1_000.0 }];
    let settings = Settings { tenants, over_quota_weight: 0.1, ..settings(&[1.0]) };
    let mild_overload = FleetLoad { utilization: 0.9 + 0.25 + 0.3, ..NOT_OVERLOADED };
    let counts = shed_counts(mild_overload, &settings, &[0, 1]);
    assert!(counts[0] > 2 * counts[1], "{counts:?}");
    let unknown_tenant = shed_counts(NOT_OVERLOADED, &settings, &[7]);
    assert_eq!(unknown_tenant, [0], "a tenant that is not in the settings has no quota");
}

#[test]
fn the_first_request_is_not_shed() {
    let settings = settings(&[1.0]);
    let mut controller = AdmissionController::new(0);
    let mut rng = fastrand::Rng::with_seed(1);
    assert!(!controller.should_shed(0, &request(0), 0, OVERLOADED, &settings, &mut rng));
}

#[test]
fn an_attempt_must_follow_seven_rejections_over_two_seconds() {
    let mut controller = AdmissionController::new(0);
    let reject = |controller: &mut AdmissionController, times: &[Micros]| {
        times.iter().for_each(|&at| controller.record_rejection(at));
    };
    reject(&mut controller, &[SECOND; 6]);
    assert!(!controller.must_attempt(100 * SECOND), "six rejections are too few");
    reject(&mut controller, &[SECOND]);
    assert!(!controller.must_attempt(3 * SECOND - 1), "the streak has not lasted long enough");
    assert!(controller.must_attempt(3 * SECOND));
    controller.record_attempt();
    assert!(!controller.must_attempt(3 * SECOND));
    reject(&mut controller, &[50 * SECOND; 7]);
    assert!(
        !controller.must_attempt(51 * SECOND),
        "the duration is measured from the first rejection of the new streak"
    );
}
