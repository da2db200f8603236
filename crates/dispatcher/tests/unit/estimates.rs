use super::{EstimatedWorker, TimeLimits, WorkerEstimates};
use crate::policy::listed_load::ListedLoads;
use crate::policy::load_reports::LoadReports;
use crate::policy::request::Request;
use crate::policy::service_time::ServiceTimeEstimator;
use crate::policy::worker::Worker;
use crate::{RequestClass, SECOND};

fn request() -> Request {
    Request { work: 1.0, slots: 1.0, objective_at: 12 * SECOND, deadline: 20 * SECOND, ..Request::default() }
}

#[test]
fn the_objective_grows_with_the_running_time_of_the_request_up_to_the_deadline() {
    let class = RequestClass { latency_stretch: 2.0, ..RequestClass::default() };
    let limits = TimeLimits::new(10 * SECOND, &request(), &class);
    assert_eq!([0.0, 3.0, 4.0, 5.0].map(|alone| limits.seconds_left(alone)), [2.0, 8.0, 10.0, 10.0]);
    let late = TimeLimits::new(25 * SECOND, &request(), &class);
    assert_eq!(late.seconds_left(100.0), -5.0);
}

#[test]
fn the_listed_load_is_used_only_for_workers_that_are_warming_up() {
    let mut service_times = ServiceTimeEstimator::new(1);
    service_times.resize(1);
    let mut worker = Worker::default();
    service_times.refresh(0, &mut worker.rate, 0, true);
    let mut load_reports = LoadReports::new(3);
    load_reports.resize(1, 1);
    let mut listed_loads = ListedLoads::default();
    listed_loads.resize(2, 1);
    listed_loads.set_size(0, Some(8.0));
    listed_loads.set_size(1, Some(1.0));
    listed_loads.learn_max_sizes([0, 0].into_iter());
    listed_loads.record(SECOND, 1, 0, 2.0, 1.0);
    let estimates = WorkerEstimates {
        service_times: &service_times,
        load_reports: &load_reports,
        listed_loads: &listed_loads,
    };
    let seconds = |index, is_warming_up| {
        let target = EstimatedWorker { index, worker: &worker, is_warming_up };
        estimates.estimate(SECOND, target, &request()).seconds
    };
    // By its listed size, 7 times its 2 slots are in use.
    assert!(seconds(1, true) > 4.0 * seconds(1, false));
    assert_eq!(seconds(0, true), seconds(0, false), "no listed load was recorded for this worker");
}
