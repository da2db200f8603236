use super::{INITIAL_UTILIZATION, LoadReports, ReportFigures, ReportedLoad, WorkerLoad};
use crate::{LoadReport, SECOND};

const LOAD: WorkerLoad = WorkerLoad { kind: 0, zone: 0, slots: 4.0, local_slots: 0.0 };

fn figures(report: LoadReport) -> ReportFigures {
    ReportFigures::new(&report)
}

fn reports(fleet_size: u32) -> LoadReports {
    let mut reports = LoadReports::new(fleet_size);
    reports.resize(2, 2);
    reports
}

#[test]
fn the_slots_of_a_worker_are_its_free_ones_and_those_that_run_a_request() {
    let known =
        LoadReport { free_slots: Some(3.0), in_flight: Some(7.0), queue: Some(2.0), ..LoadReport::default() };
    assert_eq!(figures(known).slots(), Some(8.0));
    assert_eq!(figures(LoadReport { queue: None, ..known }).slots(), Some(3.0));
    assert_eq!(figures(LoadReport { in_flight: Some(1.0), ..known }).slots(), Some(3.0));
    assert_eq!(figures(LoadReport { free_slots: None, ..known }).slots(), None);
}

#[test]
fn slots_in_use_come_from_free_slots_or_from_utilization_and_the_queue() {
    let in_use = |report| figures(report).slots_in_use(4.0, 2.0);
    let free = LoadReport { free_slots: Some(1.0), ..LoadReport::default() };
    assert_eq!(in_use(free), 3.0);
    assert_eq!(in_use(LoadReport { queue: Some(5.0), ..free }), 13.0);
    assert_eq!(in_use(LoadReport { in_flight: Some(6.0), ..free }), 12.0);
    assert_eq!(in_use(LoadReport { in_flight: Some(6.0), queue: Some(0.0), ..free }), 3.0);
    assert_eq!(in_use(LoadReport { free_slots: Some(9.0), ..free }), 0.0, "more free than known");
    let utilized = LoadReport { utilization: Some(0.25), queue: Some(1.0), ..LoadReport::default() };
    assert_eq!(in_use(utilized), 3.0);
    assert_eq!(in_use(LoadReport::default()), INITIAL_UTILIZATION * 4.0);
}

#[test]
fn absurd_figures_count_as_absent() {
    for absurd in [f64::NAN, -1.0, f64::INFINITY, 1.1e4] {
        let report = LoadReport {
            queue: Some(absurd),
            in_flight: Some(absurd),
            utilization: Some(absurd),
            qps: Some(absurd),
            free_slots: Some(absurd),
        };
        assert_eq!(figures(report).slots_in_use(4.0, 1.0), INITIAL_UTILIZATION * 4.0, "{absurd}");
        assert_eq!(figures(report).slots(), None, "{absurd}");
    }
}

#[test]
fn a_report_moves_the_fleet_s_utilization_by_a_tenth_and_by_no_more_than_two() {
    let mut worker = ReportedLoad::default();
    let mut reports = reports(1);
    assert_eq!(reports.fleet_utilization(), 0.5);
    let full = figures(LoadReport { utilization: Some(1.0), ..LoadReport::default() });
    reports.record(SECOND, &mut worker, LOAD, full, false, 1.0);
    assert!((reports.fleet_utilization() - 0.55).abs() < 1e-12);
    let sick = figures(LoadReport { utilization: Some(1.0), queue: Some(9_000.0), ..LoadReport::default() });
    reports.record(SECOND, &mut worker, LOAD, sick, false, 1.0);
    assert!((reports.fleet_utilization() - (0.55 + 0.145)).abs() < 1e-12);
}

#[test]
fn a_worker_that_rejects_is_full_whatever_it_reports() {
    let mut worker = ReportedLoad::default();
    let mut reports = reports(1);
    let idle = figures(LoadReport { utilization: Some(0.0), ..LoadReport::default() });
    reports.record(SECOND, &mut worker, LOAD, idle, true, 1.0);
    assert!((reports.fleet_utilization() - 0.6).abs() < 1e-12);
}

#[test]
fn a_single_dispatcher_expects_no_others_but_those_reported() {
    let mut worker = ReportedLoad::default();
    let mut reports = reports(1);
    let before = reports.remote_slots(SECOND, &worker, LOAD, 1.0);
    assert_eq!((before.mean, before.variance), (0.0, 0.0));
    let full = figures(LoadReport { utilization: Some(1.0), ..LoadReport::default() });
    reports.record(SECOND, &mut worker, WorkerLoad { local_slots: 1.0, ..LOAD }, full, false, 1.0);
    let fresh = reports.remote_slots(SECOND, &worker, LOAD, 1e9).mean;
    assert!((fresh - 3.0).abs() < 1e-6, "{fresh}");
    let old = reports.remote_slots(1_000 * SECOND, &worker, LOAD, 1.0).mean;
    assert!(old < 1e-4, "{old}");
    worker.reset();
    assert_eq!(reports.remote_slots(SECOND, &worker, LOAD, 1.0).mean, 0.0, "another process");
}

#[test]
fn the_more_a_dispatcher_has_at_a_worker_the_more_it_expects_of_its_peers() {
    let worker = ReportedLoad::default();
    let reports = reports(3);
    let usual = reports.remote_slots(SECOND, &worker, LOAD, 1.0).mean;
    let crowded = reports.remote_slots(SECOND, &worker, WorkerLoad { local_slots: 3.0, ..LOAD }, 1.0).mean;
    assert!(crowded > 2.0 * usual, "{usual} {crowded}");
}

#[test]
fn kinds_and_zones_are_learned_apart() {
    let mut worker = ReportedLoad::default();
    let mut reports = reports(3);
    let full = figures(LoadReport { utilization: Some(1.0), ..LoadReport::default() });
    let idle = figures(LoadReport { utilization: Some(0.0), ..LoadReport::default() });
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
