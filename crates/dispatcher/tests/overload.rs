//! What is shed while slots are scarce.
mod common;
use common::*;
use copperspread_dispatcher::*;

const CROWDED: LoadReport =
    LoadReport { queue: Some(8.0), in_flight: None, utilization: None, qps: None, free_slots: Some(0.0) };

/// Settings of a cheap class, a dear one, and one tenant of 1 request a second.
fn two_worths() -> Settings {
    let mut settings =
        Settings { over_quota_weight: 0.1, weight_by_work: true, ..settings(Idempotency::NonIdempotent) };
    settings.classes[0].latency_objective = 100 * SECOND;
    settings.classes[0].deadline = 200 * SECOND;
    settings.classes.push(RequestClass { priority_weight: 5.0, ..settings.classes[0].clone() });
    settings
}

fn long(request: u64, class: u32) -> IncomingRequest {
    IncomingRequest { class, time_left: 200 * SECOND, ..job(request, 0.2) }
}

/// Refusals per class over a stretch in which every answer reports the same load.
fn refusals(node: &mut Node, report: LoadReport, first: u64) -> [u32; 2] {
    let mut refused = [0; 2];
    for i in 0..200 {
        node.now += 300 * MS;
        let class = (i % 2) as u32;
        node.handle(Event::Request(long(first + i, class)));
        if node.refused() {
            refused[class as usize] += 1;
        } else {
            node.report(first + i, 0, Outcome::Served, Some(report));
        }
    }
    refused
}

#[test]
fn the_cheaper_work_goes_first_and_only_while_slots_are_scarce() {
    let mut node = Node::new(two_worths(), &[entry(0), entry(1)]);
    let idle = LoadReport { queue: Some(0.0), free_slots: Some(2.0), ..CROWDED };
    assert_eq!(refusals(&mut node, idle, 1), [0, 0], "nothing is shed while there is room");
    let [cheap, dear] = refusals(&mut node, CROWDED, 1000);
    assert!(cheap > 40 && dear < cheap / 4, "cheap {cheap}, dear {dear}");
    refusals(&mut node, idle, 2000);
    assert_eq!(refusals(&mut node, idle, 3000), [0, 0], "and no longer than that");
}

#[test]
fn a_tenant_beyond_its_share_is_shed_before_the_others() {
    let tenants = vec![Tenant { quota_per_second: 1.0 }, Tenant { quota_per_second: 100.0 }];
    let mut node = Node::new(Settings { tenants, ..two_worths() }, &[entry(0), entry(1)]);
    let mut refused = [0; 2];
    for i in 0..600 {
        node.now += 100 * MS;
        let tenant = (i % 2) as u32;
        node.handle(Event::Request(IncomingRequest { tenant, ..long(i, 0) }));
        if node.refused() {
            refused[tenant as usize] += 1;
        } else {
            node.report(i, 0, Outcome::Served, Some(CROWDED));
        }
    }
    assert!(refused[0] > 2 * refused[1].max(5), "{refused:?}");
}
