//! The platform's JSON: the configuration that it lays down for each start, the settings object in
//! it, which an instance of the simulator finds in its first message, and discovery's lists. This is
//! their one reader; unknown keys are ignored.
use copperspread_dispatcher::*;
use http::uri::Authority;
use tinyjson::JsonValue;

use crate::json::{self, field, flag, list, micros, need, number, seconds, text, whole};
use crate::members::{EndpointList, EndpointPhase, EndpointRecord};
use crate::start::{DiscoveryConfig, ProxySettings, SchedulerSettings, StartupConfig};

/// Reads the configuration; the error says in words what is wrong with it.
pub fn read_startup_config(content: &str) -> Result<StartupConfig, String> {
    let config = json::parse(content)?;
    let nothing = JsonValue::Null;
    let listen = need(text(&config, "listen"), "listen")?;
    let discovery = need(text(&config, "discovery"), "discovery")?;
    let seed = need(text(&config, "seed"), "seed")?;
    let limits = field(&config, "limits").unwrap_or(&nothing);
    let settings = field(&config, "settings").ok_or("settings is missing")?;
    Ok(StartupConfig {
        name: text(&config, "name")?.unwrap_or_default().to_owned(),
        listen: listen.parse().map_err(|_| format!("listen: {listen:?} is no address"))?,
        discovery: DiscoveryConfig::Platform(
            discovery.parse().map_err(|_| format!("discovery: {discovery:?} is no address"))?,
        ),
        seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed: {seed:?} is no hex number"))?,
        descriptor_limit: whole(limits, "sockets").map_err(|e| format!("limits: {e}"))?.unwrap_or(1024),
        memory_limit_mb: number(limits, "memory_mb").map_err(|e| format!("limits: {e}"))?.unwrap_or(192.0),
        cached_endpoints: field(&config, "known")
            .map(read_endpoint_list)
            .transpose()
            .map_err(|e| format!("known: {e}"))?,
        settings: read_settings(settings).map_err(|e| format!("settings: {e}"))?,
    })
}

/// Reads an answer of discovery; a list with one bad line is bad as a whole.
pub fn read_endpoint_list(value: &JsonValue) -> Result<EndpointList, String> {
    let members = json::field(value, "members").ok_or("members is missing")?;
    let JsonValue::Array(members) = members else { return Err("members is no list".into()) };
    Ok(EndpointList {
        revision: need(whole(value, "revision"), "revision")?,
        complete: need(flag(value, "complete"), "complete")?,
        endpoints: members.iter().map(read_endpoint).collect::<Result<_, _>>()?,
    })
}

fn read_endpoint(value: &JsonValue) -> Result<EndpointRecord, String> {
    let address = need(text(value, "host_port"), "host_port")?;
    let parsed: Authority = address.parse().map_err(|_| format!("{address:?} is no address"))?;
    if parsed.port().is_none() {
        return Err(format!("{address:?} names no port"));
    }
    Ok(EndpointRecord {
        id: need(text(value, "id"), "id")?.to_owned(),
        address: parsed,
        zone: text(value, "locality")?.unwrap_or_default().to_owned(),
        kind: text(value, "flavor")?.unwrap_or_default().to_owned(),
        cell: whole(value, "cell")?.unwrap_or(0),
        phase: match need(text(value, "phase"), "phase")? {
            "SERVING" => EndpointPhase::Serving,
            "DRAINING" => EndpointPhase::Draining,
            "DELETED" => EndpointPhase::Deleted,
            other => return Err(format!("unknown phase {other:?}")),
        },
        started_at: whole::<u64>(value, "up_since_ms")?.filter(|&at| at > 0).map(|ms| ms * 1_000),
        // An odd one is no reason to do without the list.
        size: number(value, "size").unwrap_or_default(),
    })
}

/// Reads the settings; the error says in words what is wrong with them.
pub fn read_settings(params: &JsonValue) -> Result<SchedulerSettings, String> {
    let nothing = JsonValue::Null;
    let part = |name| field(params, name).unwrap_or(&nothing);
    let family = part("family_info");
    let permissions = part("permissions");
    let safety = part("safety");
    let stretches = list(family, "class_stretch")?;
    let kinds = list(family, "class_kind")?;
    let mut classes = Vec::new();
    for (index, class) in list(params, "classes")?.iter().enumerate() {
        let own = number(class, "aim_stretch")?;
        classes.push(RequestClass {
            latency_objective: need(seconds(class, "aim_s"), "aim_s")?,
            latency_stretch: own.or(stretches.get(index).and_then(at_number)).unwrap_or(0.0),
            deadline: need(seconds(class, "deadline_s"), "deadline_s")?,
            priority_weight: need(number(class, "importance"), "importance")?,
            idempotency: effect(class)?,
            worker_kind: kinds.get(index).and_then(at_number).filter(|&k| k >= 0.0).map(|k| k as u32),
        });
    }
    let mut tenants = Vec::new();
    for tenant in list(params, "tenants")? {
        tenants.push(Tenant { quota_per_second: number(tenant, "allowance_per_s")?.unwrap_or(0.0) });
    }
    let effects = classes.iter().map(|class| class.idempotency).collect();
    let decisions = Settings {
        fleet_size: need(whole(params, "fleet_size"), "fleet_size")?,
        instance_index: whole(params, "me")?,
        zone: whole(params, "zone")?.unwrap_or(0),
        classes,
        tenants,
        over_quota_weight: number(params, "over_share_worth")?.unwrap_or(1.0),
        weight_by_work: text(params, "worth_by")? == Some("work"),
        discovery: match need(text(params, "discovery"), "discovery")? {
            "pushed" => Discovery::Pushed,
            "on_request" => Discovery::Polled,
            other => return Err(format!("unknown discovery {other:?}")),
        },
        poll_within: seconds(safety, "ask_within_s")?.unwrap_or(micros(10.0)),
        slow_start_initial_capacity: need(number(safety, "cold_from"), "cold_from")?,
        slow_start_duration: need(seconds(safety, "cold_s"), "cold_s")?,
        overload_multiple: need(number(safety, "fall_multiple"), "fall_multiple")?,
        overload_window: need(seconds(safety, "fall_s"), "fall_s")?,
        connect_timeout: seconds(permissions, "connect_timeout_s")?.unwrap_or(micros(0.25)),
        max_attempts: need(whole(permissions, "send_cap"), "send_cap")?,
        hedging_allowed: flag(permissions, "second_copies")?.unwrap_or(false),
        cancellation_allowed: flag(permissions, "may_cancel")?.unwrap_or(false),
        reports_job_start: flag(family, "tells_start")?.unwrap_or(false),
        load_by_query: flag(permissions, "probes")?.unwrap_or(false)
            && text(part("load_info"), "how")? == Some("pull"),
        load_query_cost: number(part("penalties"), "probe")?.unwrap_or(0.0),
        cross_zone_cost: number(part("penalties"), "cross_zone")?.unwrap_or(0.0),
        sizes_reflect_load: text(params, "weights")? == Some("live"),
    };
    let node = ProxySettings {
        classes: names(list(params, "classes")?),
        idempotency: effects,
        tenants: names(list(params, "tenants")?),
        zones: names(list(params, "zones")?),
        kinds: names(list(params, "kinds")?),
        connect_timeout: decisions.connect_timeout,
        keep_alive_timeout: seconds(permissions, "keepalive_s")?.unwrap_or(micros(5.0)),
        sends_retry_after: flag(permissions, "retry_after")?.unwrap_or(false),
        max_retry_after: seconds(permissions, "max_retry_after_s")?.unwrap_or(micros(1.0)),
    };
    Ok(SchedulerSettings { dispatch: decisions, proxy: node })
}

fn effect(class: &JsonValue) -> Result<Idempotency, String> {
    let scope = match text(class, "key_scope")? {
        Some("zone") => KeyScope::Zone,
        Some("cell") => KeyScope::Cell,
        _ => KeyScope::All,
    };
    match need(text(class, "semantics"), "semantics")? {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => {
            Ok(Idempotency::IdempotentWithKey { scope, window: seconds(class, "window_s")?.unwrap_or(0) })
        }
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(format!("unknown semantics {other:?}")),
    }
}

fn at_number(value: &JsonValue) -> Option<f64> {
    value.get().copied()
}

/// Names from a list of texts, or of objects that have a `name`.
fn names(list: &[JsonValue]) -> Vec<String> {
    let name = |value: &JsonValue| match value {
        JsonValue::String(name) => name.clone(),
        value => text(value, "name").ok().flatten().unwrap_or_default().to_owned(),
    };
    list.iter().map(name).collect()
}
