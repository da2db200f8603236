use super::{INITIAL_UTILIZATION, LoadReports, ReportedLoad, ReportedValues, WorkerLoad};
use crate::{LoadReport, SECOND};

const LOAD: WorkerLoad = WorkerLoad { kind: 0, zone: 0, slots: 4.0, local_slots: 0.0 };

fn values(report: LoadReport) -> ReportedValues {
    ReportedValues::new(&report)
}

fn reports(fleet_size: u32) -> LoadReports {
    let mut reports = LoadReports::new(fleet_size);
    reports.resize(2, 2);
    reports
}

#[test]
fn the_slots_of_a_worker_are_its_free_slots_and_those_that_run_a_request() {
    let known =
        LoadReport { free_slots: Some(3.0), in_flight: Some(7.0), queue: Some(2.0), ..LoadReport::default() };
    assert_eq!(values(known).slots(), Some(8.0));
    assert_eq!(values(LoadReport { queue: None, ..known }).slots(), Some(3.0));
    assert_eq!(values(LoadReport { in_flight: Some(1.0), ..known }).slots(), Some(3.0));
    assert_eq!(values(LoadReport { free_slots: None, ..known }).slots(), None);
}

#[test]
fn slots_in_use_are_computed_from_free_slots_or_else_from_utilization_and_queue() {
    let in_use = |report| values(report).slots_in_use(4.0, 2.0);
    let free = LoadReport { free_slots: Some(1.0), ..LoadReport::default() };
    assert_eq!(in_use(free), 3.0);
    assert_eq!(in_use(LoadReport { queue: Some(5.0), ..free }), 13.0);
    assert_eq!(in_use(LoadReport { in_flight: Some(6.0), ..free }), 12.0);
    assert_eq!(in_use(LoadReport { in_flight: Some(6.0), queue: Some(0.0), ..free }), 3.0);
    assert_eq!(
        in_use(LoadReport { free_slots: Some(9.0), ..free }),
        0.0,
        "more slots are free than the worker is known to have"
    );
    let utilized = LoadReport { utilization: Some(0.25), queue: Some(1.0), ..LoadReport::default() };
    assert_eq!(in_use(utilized), 3.0);
    assert_eq!(in_use(LoadReport::default()), INITIAL_UTILIZATION * 4.0);
}

#[test]
fn invalid_values_count_as_absent() {
    for invalid in [f64::NAN, -1.0, f64::INFINITY, 1.1e4] {
        let report = LoadReport {
            queue: Some(invalid),
            in_flight: Some(invalid),
            utilization: Some(invalid),
            qps: Some(invalid),
            free_slots: Some(invalid),
        };
        assert_eq!(values(report).slots_in_use(4.0, 1.0), INITIAL_UTILIZATION * 4.0, "{invalid}");
        assert_eq!(values(report).slots(), None, "{invalid}");
    }
}

#[test]
fn a_report_has_a_weight_of_one_tenth_in_the_fleet_utilization_and_is_capped_at_two() {
    let mut worker = ReportedLoad::default();
    let mut reports = reports(1);
    assert_eq!(reports.fleet_utilization(), 0.5);
    let full = values(LoadReport { utilization: Some(1.0), ..LoadReport::default() });
    reports.record(SECOND, &mut worker, LOAD, full, false, 1.0);
    assert!((reports.fleet_utilization() - 0.55).abs() < 1e-12);
    let faulty = values(LoadReport { utilization: Some(1.0), queue: Some(9_000.0), ..LoadReport::default() });
    reports.record(SECOND, &mut worker, LOAD, faulty, false, 1.0);
    assert!((reports.fleet_utilization() - (0.55 + 0.145)).abs() < 1e-12);
}

#[test]
fn a_worker_that_rejects_counts_as_full_whatever_it_reports() {
    let mut worker = ReportedLoad::default();
    let mut reports = reports(1);
    let idle = values(LoadReport { utilization: Some(0.0), ..LoadReport::default() });
    reports.record(SECOND, &mut worker, LOAD, idle, true, 1.0);
    assert!((reports.fleet_utilization() - 0.6).abs() < 1e-12);
}

#[test]
fn a_single_dispatcher_expects_only_the_remote_slots_that_are_reported() {
    let mut worker = ReportedLoad::default();
    let mut reports = reports(1);
    let before = reports.remote_slots(SECOND, &worker, LOAD, 1.0);
    assert_eq!((before.mean, before.variance), (0.0, 0.0));
    let full = values(LoadReport { utilization: Some(1.0), ..LoadReport::default() });
    reports.record(SECOND, &mut worker, WorkerLoad { local_slots: 1.0, ..LOAD }, full, false, 1.0);
    let fresh = reports.remote_slots(SECOND, &worker, LOAD, 1e9).mean;
    assert!((fresh - 3.0).abs() < 1e-6, "{fresh}");
    let old = reports.remote_slots(1_000 * SECOND, &worker, LOAD, 1.0).mean;
    assert!(old < 1e-4, "{old}");
    worker.reset();
    assert_eq!(
        reports.remote_slots(SECOND, &worker, LOAD, 1.0).mean,
        0.0,
        "the report of an earlier process is discarded"
    );
}

#[test]
fn expected_remote_slots_grow_with_the_local_slots_at_a_worker() {
    let worker = ReportedLoad::default();
    let reports = reports(3);
    let without_local = reports.remote_slots(SECOND, &worker, LOAD, 1.0).mean;
    let with_local = reports.remote_slots(SECOND, &worker, WorkerLoad { local_slots: 3.0, ..LOAD }, 1.0).mean;
    assert!(with_local > 2.0 * without_local, "{without_local} {with_local}");
}

#[test]
fn load_ratios_of_kinds_and_zones_are_learned_independently() {
    let mut worker = ReportedLoad::default();
    let mut reports = reports(3);
    let full = values(LoadReport { utilization: Some(1.0), ..LoadReport::default() });
    let idle = values(LoadReport { utilization: Some(0.0), ..LoadReport::default() });
    for _ in 0..200 {
        reports.record(SECOND, &mut worker, WorkerLoad { kind: 1, ..LOAD }, full, false, 1.0);
        reports.record(SECOND, &mut worker, LOAD, idle, false, 1.0);
    }
    worker.reset();
    let remote = |load| reports.remote_slots(SECOND, &worker, load, 1.0).mean;
    assert!(remote(WorkerLoad { kind: 1, ..LOAD }) > 1.5 * remote(LOAD));
    let (one, other) = (remote(LOAD), remote(WorkerLoad { zone: 1, ..LOAD }));
    assert!((one / other - 1.0).abs() < 0.5, "{one} {other}");
}
