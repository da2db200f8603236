//! Load shedding: which requests are rejected first while slots are scarce.
mod common;
use common::{Harness, MS, endpoint, incoming_request, settings};
use copperspread_dispatcher::{
    Event, Idempotency, IncomingRequest, LoadReport, Outcome, RequestClass, SECOND, Settings, Tenant,
};

/// Eight requests are queued and no slot is free.
const LOADED: LoadReport =
    LoadReport { queue: Some(8.0), in_flight: None, utilization: None, qps: None, free_slots: Some(0.0) };

/// Settings with two request classes, of priority weight 1 and 5.
fn two_priority_weights() -> Settings {
    let mut settings = Settings {
        over_quota_weight: 0.1,
        priority_weight_per_core_second: true,
        ..settings(Idempotency::NonIdempotent)
    };
    settings.classes[0].latency_objective = 100 * SECOND;
    settings.classes[0].deadline = 200 * SECOND;
    settings.classes.push(RequestClass { priority_weight: 5.0, ..settings.classes[0].clone() });
    settings
}

fn long_deadline_request(request: u64, class: u32) -> IncomingRequest {
    IncomingRequest { class, time_left: 200 * SECOND, ..incoming_request(request, 0.2) }
}

/// The number of rejections in each class while every response carries the same load report.
fn count_rejections(harness: &mut Harness, report: LoadReport, first_request: u64) -> [u32; 2] {
    let mut rejected = [0; 2];
    for i in 0..200 {
        harness.now += 300 * MS;
        let class = (i % 2) as u32;
        harness.handle(Event::Request(long_deadline_request(first_request + i, class)));
        if harness.is_rejected() {
            rejected[class as usize] += 1;
        } else {
            harness.complete_with_report(first_request + i, 0, Outcome::Served, Some(report));
        }
    }
    rejected
}

#[test]
fn requests_of_low_weight_are_shed_first_and_only_while_slots_are_scarce() {
    let mut harness = Harness::new(two_priority_weights(), &[endpoint(0), endpoint(1)]);
    let idle = LoadReport { queue: Some(0.0), free_slots: Some(2.0), ..LOADED };
    assert_eq!(count_rejections(&mut harness, idle, 1), [0, 0], "nothing is shed while slots are free");
    let [low_weight, high_weight] = count_rejections(&mut harness, LOADED, 1000);
    assert!(
        low_weight > 40 && high_weight < low_weight / 4,
        "rejected: {low_weight} of low weight, {high_weight} of high weight"
    );
    count_rejections(&mut harness, idle, 2000);
    assert_eq!(count_rejections(&mut harness, idle, 3000), [0, 0], "shedding ends when slots are free again");
}

#[test]
fn a_tenant_over_its_quota_is_shed_before_the_others() {
    let tenants = vec![Tenant { quota_per_second: 1.0 }, Tenant { quota_per_second: 100.0 }];
    let mut harness =
        Harness::new(Settings { tenants, ..two_priority_weights() }, &[endpoint(0), endpoint(1)]);
    let mut rejected = [0; 2];
    for i in 0..600 {
        harness.now += 100 * MS;
        let tenant = (i % 2) as u32;
        harness.handle(Event::Request(IncomingRequest { tenant, ..long_deadline_request(i, 0) }));
        if harness.is_rejected() {
            rejected[tenant as usize] += 1;
        } else {
            harness.complete_with_report(i, 0, Outcome::Served, Some(LOADED));
        }
    }
    assert!(rejected[0] > 2 * rejected[1].max(5), "{rejected:?}");
}
