//! Checks the settings of the zones of schedulers and workers, and the settings of the source of the endpoint
//! list. The endpoint list names the workers.
use std::collections::BTreeSet;

use http::uri::Authority;

use super::violations::Violations;
use crate::types::{EndpointSourceConfig, EndpointSourceKind, Worker, ZoneConfig};

pub(super) fn check_zones(zones: &ZoneConfig, violations: &mut Violations) {
    violations
        .require(zones.names.contains(&zones.here), "zones.here", || not_among_zones(&zones.here, zones));
    violations.require(are_distinct(&zones.names), "zones.names", || "a name occurs twice".into());
    let cost = zones.price_of_crossing;
    violations.require(cost.is_finite() && cost >= 0.0, "zones.price_of_crossing", || {
        format!("{cost} is not 0 or more")
    });
}

pub(super) fn check_source(source: &EndpointSourceConfig, zones: &ZoneConfig, violations: &mut Violations) {
    match source.kind {
        EndpointSourceKind::Targets => check_discovery_address(source, violations),
        EndpointSourceKind::Static => check_static_list(source, zones, violations),
    }
}

fn check_discovery_address(source: &EndpointSourceConfig, violations: &mut Violations) {
    match &source.address {
        None => violations.add("source.kind", "\"targets\" needs source.address, a host and a port"),
        Some(address) => {
            violations.require(is_address(address), "source.address", || not_an_address(address));
        }
    }
}

fn check_static_list(source: &EndpointSourceConfig, zones: &ZoneConfig, violations: &mut Violations) {
    if source.address.is_some() {
        violations.add("source.address", "has no effect if source.kind is \"static\"");
    } else {
        violations.require(!source.workers.is_empty(), "source.workers", || {
            "is empty; a static list needs a worker".into()
        });
    }
    let mut ids = BTreeSet::new();
    for (index, worker) in source.workers.iter().enumerate() {
        let is_new = ids.insert(&worker.id);
        check_worker(worker, index, is_new, zones, violations);
    }
}

fn check_worker(
    worker: &Worker,
    index: usize,
    has_new_id: bool,
    zones: &ZoneConfig,
    violations: &mut Violations,
) {
    let key = |name: &str| format!("source.workers[{index}].{name}");
    violations.require(!worker.id.is_empty(), &key("id"), || "is empty".into());
    violations.require(has_new_id, &key("id"), || format!("{:?} occurs twice", worker.id));
    violations.require(is_address(&worker.address), &key("address"), || not_an_address(&worker.address));
    let has_known_zone = worker.zone.is_empty() || zones.names.contains(&worker.zone);
    violations.require(has_known_zone, &key("zone"), || not_among_zones(&worker.zone, zones));
}

fn are_distinct(names: &[String]) -> bool {
    names.iter().collect::<BTreeSet<_>>().len() == names.len()
}

fn is_address(text: &str) -> bool {
    text.parse().is_ok_and(|address: Authority| address.port_u16().is_some() && !address.host().is_empty())
}

fn not_an_address(text: &str) -> String {
    format!("{text:?} is not an address; write a host and a port, such as \"127.0.0.1:9001\"")
}

fn not_among_zones(zone: &str, zones: &ZoneConfig) -> String {
    format!("{zone:?} is not among zones.names: {}", zones.names.join(", "))
}
