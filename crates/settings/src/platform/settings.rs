//! Reads the settings of a scheduler from the JSON of the hosting platform.
use copperspread_dispatcher::{DiscoveryMode, Idempotency, KeyScope, RequestClass, Settings, Tenant};
use tinyjson::JsonValue;

use crate::error::ReadError;
use crate::json::{
    array, boolean, integer, micros_from_seconds, number, object_or_null, required, seconds_as_micros, text,
};
use crate::startup::{ProxySettings, SchedulerSettings};

const DEFAULT_POLL_WITHIN_SECONDS: f64 = 10.0;
const DEFAULT_CONNECT_TIMEOUT_SECONDS: f64 = 0.25;
const DEFAULT_KEEP_ALIVE_TIMEOUT_SECONDS: f64 = 5.0;
const DEFAULT_MAX_RETRY_AFTER_SECONDS: f64 = 1.0;

/// Reads the settings of a scheduler from a JSON settings object. The object comes from the startup
/// configuration or from the simulator.
///
/// # Errors
/// Returns [`ReadError::Missing`] if a required field is absent or null, and another variant of [`ReadError`]
/// if a field has an invalid value.
///
/// Some invalid values are no error. `class_stretch` and `class_kind` list the latency stretch and the
/// required worker kind of each request class; an invalid item counts as absent. An invalid name of a class,
/// tenant, zone or worker kind counts as an empty name.
pub fn read_settings(settings: &JsonValue) -> Result<SchedulerSettings, ReadError> {
    let classes = read_classes(settings)?;
    let tenants = read_tenants(settings)?;
    let dispatch = read_dispatch_settings(settings, classes, tenants)?;
    let proxy = read_proxy_settings(settings, &dispatch)?;
    Ok(SchedulerSettings { dispatch, proxy })
}

fn read_classes(settings: &JsonValue) -> Result<Vec<RequestClass>, ReadError> {
    let family = object_or_null(settings, "family_info");
    let stretches = array(family, "class_stretch")?.unwrap_or_default();
    let kinds = array(family, "class_kind")?.unwrap_or_default();
    let classes = array(settings, "classes")?.unwrap_or_default();
    let read = |(index, class)| read_class(class, stretches.get(index), kinds.get(index));
    classes.iter().enumerate().map(read).collect()
}

/// Reads a request class. The latency stretch of a class is the multiple of a request's running time that is
/// added to the latency objective. It is read from the field `aim_stretch` of the class. If that field is
/// absent, it is `family_stretch`, the class's item in the list `family_info.class_stretch` of the settings
/// object, or 0 without such an item.
fn read_class(
    class: &JsonValue,
    family_stretch: Option<&JsonValue>,
    kind: Option<&JsonValue>,
) -> Result<RequestClass, ReadError> {
    let own_stretch = number(class, "aim_stretch")?;
    Ok(RequestClass {
        latency_objective: required(class, "aim_s", seconds_as_micros)?,
        latency_stretch: own_stretch.or(family_stretch.and_then(as_number)).unwrap_or(0.0),
        deadline: required(class, "deadline_s", seconds_as_micros)?,
        priority_weight: required(class, "importance", number)?,
        idempotency: read_idempotency(class)?,
        worker_kind: kind.and_then(as_number).filter(|&kind| kind >= 0.0).map(|kind| kind as u32),
    })
}

fn read_idempotency(class: &JsonValue) -> Result<Idempotency, ReadError> {
    let scope = match text(class, "key_scope")? {
        Some("zone") => KeyScope::Zone,
        Some("cell") => KeyScope::Cell,
        _ => KeyScope::All,
    };
    match required(class, "semantics", text)? {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => {
            let window = seconds_as_micros(class, "window_s")?.unwrap_or(0);
            Ok(Idempotency::IdempotentWithKey { scope, window })
        }
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(ReadError::UnknownValue { field: "semantics", value: other.to_owned() }),
    }
}

fn read_tenants(settings: &JsonValue) -> Result<Vec<Tenant>, ReadError> {
    let tenants = array(settings, "tenants")?.unwrap_or_default();
    let read = |tenant| {
        let quota_per_second = number(tenant, "allowance_per_s")?.unwrap_or(0.0);
        Ok(Tenant { quota_per_second })
    };
    tenants.iter().map(read).collect()
}

fn read_dispatch_settings(
    settings: &JsonValue,
    classes: Vec<RequestClass>,
    tenants: Vec<Tenant>,
) -> Result<Settings, ReadError> {
    let family = object_or_null(settings, "family_info");
    let permissions = object_or_null(settings, "permissions");
    let safety = object_or_null(settings, "safety");
    let load_info = object_or_null(settings, "load_info");
    let penalties = object_or_null(settings, "penalties");
    Ok(Settings {
        fleet_size: required(settings, "fleet_size", integer)?,
        instance_index: integer(settings, "me")?,
        zone: integer(settings, "zone")?.unwrap_or(0),
        classes,
        tenants,
        over_quota_weight: number(settings, "over_share_worth")?.unwrap_or(1.0),
        priority_weight_per_core_second: text(settings, "worth_by")? == Some("work"),
        discovery: read_discovery(settings)?,
        max_poll_interval: seconds_as_micros(safety, "ask_within_s")?
            .unwrap_or(micros_from_seconds(DEFAULT_POLL_WITHIN_SECONDS)),
        slow_start_initial_capacity: required(safety, "cold_from", number)?,
        slow_start_duration: required(safety, "cold_s", seconds_as_micros)?,
        overload_multiple: required(safety, "fall_multiple", number)?,
        overload_window: required(safety, "fall_s", seconds_as_micros)?,
        connect_timeout: seconds_as_micros(permissions, "connect_timeout_s")?
            .unwrap_or(micros_from_seconds(DEFAULT_CONNECT_TIMEOUT_SECONDS)),
        max_attempts: required(permissions, "send_cap", integer)?,
        hedging_allowed: boolean(permissions, "second_copies")?.unwrap_or(false),
        cancellation_allowed: boolean(permissions, "may_cancel")?.unwrap_or(false),
        workers_report_request_start: boolean(family, "tells_start")?.unwrap_or(false),
        workers_report_load_only_on_query: boolean(permissions, "probes")?.unwrap_or(false)
            && text(load_info, "how")? == Some("pull"),
        load_query_cost: number(penalties, "probe")?.unwrap_or(0.0),
        cross_zone_cost: number(penalties, "cross_zone")?.unwrap_or(0.0),
        listed_sizes_reflect_load: text(settings, "weights")? == Some("live"),
    })
}

fn read_discovery(settings: &JsonValue) -> Result<DiscoveryMode, ReadError> {
    match required(settings, "discovery", text)? {
        "pushed" => Ok(DiscoveryMode::Pushed),
        "on_request" => Ok(DiscoveryMode::Polled),
        other => Err(ReadError::UnknownValue { field: "discovery", value: other.to_owned() }),
    }
}

fn read_proxy_settings(settings: &JsonValue, dispatch: &Settings) -> Result<ProxySettings, ReadError> {
    let permissions = object_or_null(settings, "permissions");
    Ok(ProxySettings {
        classes: read_names(settings, "classes")?,
        idempotency: dispatch.classes.iter().map(|class| class.idempotency).collect(),
        tenants: read_names(settings, "tenants")?,
        zones: read_names(settings, "zones")?,
        worker_kinds: read_names(settings, "kinds")?,
        connect_timeout: dispatch.connect_timeout,
        keep_alive_timeout: seconds_as_micros(permissions, "keepalive_s")?
            .unwrap_or(micros_from_seconds(DEFAULT_KEEP_ALIVE_TIMEOUT_SECONDS)),
        sends_retry_after: boolean(permissions, "retry_after")?.unwrap_or(false),
        max_retry_after: seconds_as_micros(permissions, "max_retry_after_s")?
            .unwrap_or(micros_from_seconds(DEFAULT_MAX_RETRY_AFTER_SECONDS)),
    })
}

/// Reads the names in an array field. Each item of the array is a string or an object with a field `name`;
/// any other item counts as an empty name.
fn read_names(settings: &JsonValue, name: &'static str) -> Result<Vec<String>, ReadError> {
    let items = array(settings, name)?.unwrap_or_default();
    Ok(items.iter().map(name_of).collect())
}

fn name_of(item: &JsonValue) -> String {
    match item {
        JsonValue::String(name) => name.clone(),
        object => text(object, "name").ok().flatten().unwrap_or_default().to_owned(),
    }
}

fn as_number(value: &JsonValue) -> Option<f64> {
    value.get().copied()
}
