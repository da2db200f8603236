//! Checks the settings of the membership, by which the schedulers of a cluster know of each other.
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::context::CheckContext;
use super::violations::Violations;
use crate::types::{Config, MembershipConfig};
use crate::units::HumanDuration;

const MIN_PROBE_INTERVAL: HumanDuration = HumanDuration(10_000);
const MAX_PROBE_INTERVAL: HumanDuration = HumanDuration(60_000_000);
const INDIRECT_PROBES: RangeInclusive<u32> = 1..=16;
const MAX_SUSPICION: f64 = 1_000.0;
/// Maximum length, in bytes, of a member's name, of its zone and of its region. Within this limit, all three
/// fit into a membership packet.
const MAX_NAME_BYTES: usize = 64;

pub(super) fn check_membership(config: &Config, context: &CheckContext, violations: &mut Violations) {
    let membership = &config.cluster;
    let Some(bind) = membership.bind else {
        check_unused(membership, violations);
        return;
    };
    check_addresses(membership, bind, violations);
    check_key_file(membership, context, violations);
    check_probes(membership, violations);
    check_names(config, violations);
}

/// Rejects keys that have no effect because `cluster.bind` is not set. Without `cluster.bind`, membership is
/// off, but someone who sets these keys expects it to be on.
fn check_unused(membership: &MembershipConfig, violations: &mut Violations) {
    let keys = [
        ("cluster.advertise", membership.advertise.is_some()),
        ("cluster.seeds", !membership.seeds.is_empty()),
        ("cluster.key_file", membership.key_file.is_some()),
    ];
    for (key, is_set) in keys {
        violations.require(!is_set, key, || "has no effect unless cluster.bind is set".into());
    }
}

fn check_addresses(membership: &MembershipConfig, bind: SocketAddr, violations: &mut Violations) {
    let is_reachable = !bind.ip().is_unspecified() || membership.advertise.is_some();
    violations.require(is_reachable, "cluster.bind", || {
        format!("{bind} is not an address that other members can reach; set cluster.advertise to one")
    });
    if let Some(advertise) = membership.advertise {
        check_peer_address("cluster.advertise", advertise, bind, violations);
    }
    for (index, seed) in membership.seeds.iter().enumerate() {
        check_peer_address(&format!("cluster.seeds[{index}]"), *seed, bind, violations);
    }
}

fn check_peer_address(key: &str, address: SocketAddr, bind: SocketAddr, violations: &mut Violations) {
    let is_specified = !address.ip().is_unspecified() && address.port() != 0;
    violations.require(is_specified, key, || format!("{address} is not an address and port to send to"));
    violations.require(address.is_ipv4() == bind.is_ipv4(), key, || {
        format!("{address} and cluster.bind must be both IPv4 or both IPv6")
    });
}

fn check_key_file(membership: &MembershipConfig, context: &CheckContext, violations: &mut Violations) {
    let key = "cluster.key_file";
    let Some(path) = &membership.key_file else {
        violations.add(key, "is missing; membership needs a key file of at least 16 bytes");
        return;
    };
    if let Some(check) = context.check_key_file
        && let Err(error) = check(path)
    {
        violations.add(key, error.to_string());
    }
}

fn check_probes(membership: &MembershipConfig, violations: &mut Violations) {
    let MembershipConfig { probe_interval, probe_timeout, indirect, suspicion, .. } = *membership;
    let has_valid_interval = (MIN_PROBE_INTERVAL..=MAX_PROBE_INTERVAL).contains(&probe_interval);
    violations.require(has_valid_interval, "cluster.probe_interval", || {
        format!("{probe_interval} is not between {MIN_PROBE_INTERVAL} and {MAX_PROBE_INTERVAL}")
    });
    let has_valid_timeout = probe_timeout > HumanDuration(0) && probe_timeout < probe_interval;
    violations.require(has_valid_timeout, "cluster.probe_timeout", || {
        format!(
            "{probe_timeout} is out of range; must be over 0 and under the probe_interval of {probe_interval}"
        )
    });
    violations.require(INDIRECT_PROBES.contains(&indirect), "cluster.indirect", || {
        format!("{indirect} is not between {} and {}", INDIRECT_PROBES.start(), INDIRECT_PROBES.end())
    });
    violations.require(suspicion > 0.0 && suspicion <= MAX_SUSPICION, "cluster.suspicion", || {
        format!("{suspicion} is out of range; must be over 0 and at most {MAX_SUSPICION}")
    });
}

fn check_names(config: &Config, violations: &mut Violations) {
    let names = [
        ("name", &config.name),
        ("zones.here", &config.zones.here),
        ("cluster.region", &config.cluster.region),
    ];
    for (key, name) in names {
        violations.require(name.len() <= MAX_NAME_BYTES, key, || {
            format!("{} bytes exceed the {MAX_NAME_BYTES} that membership allows", name.len())
        });
    }
    violations.require(!config.name.is_empty(), "name", || "is empty; membership needs a name".into());
}
