//! The settings object, which a real scheduler finds in its configuration and an instance of the
//! simulator in its first message. This is its one reader; unknown keys are ignored.
use tinyjson::JsonValue;

use crate::interface::*;
use crate::json::{field, flag, list, micros, need, number, seconds, text, whole};

/// The settings, parted by who uses them.
#[derive(Clone, Debug, PartialEq)]
pub struct Given {
    /// For the decision module.
    pub decisions: Settings,
    /// For the node round it.
    pub node: NodeSettings,
}

/// What the settings tell the node that the decision module has no use for.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The classes' names, by index.
    pub classes: Vec<String>,
    /// What may be repeated of the classes' jobs, by index.
    pub effects: Vec<Effect>,
    /// The tenants' names, by index.
    pub tenants: Vec<String>,
    /// The zones' names, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of worker, by index.
    pub kinds: Vec<String>,
    /// A connection that is not up by then has failed.
    pub connect_within: Micros,
    /// Workers close a connection that has stood idle for this long.
    pub keepalive: Micros,
    /// The simulator's clients are told when to come back.
    pub tells_when: bool,
    /// The longest time for which clients heed a refusal's word to stay away.
    pub max_retry_after: Micros,
}

/// Reads the settings; the error says in words what is wrong with them.
pub fn read(params: &JsonValue) -> Result<Given, String> {
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
        classes.push(Class {
            aim: need(seconds(class, "aim_s"), "aim_s")?,
            stretch: own.or(stretches.get(index).and_then(at_number)).unwrap_or(0.0),
            deadline: need(seconds(class, "deadline_s"), "deadline_s")?,
            worth: need(number(class, "importance"), "importance")?,
            effect: effect(class)?,
            worker_kind: kinds.get(index).and_then(at_number).filter(|&k| k >= 0.0).map(|k| k as u32),
        });
    }
    let mut tenants = Vec::new();
    for tenant in list(params, "tenants")? {
        tenants.push(Tenant { allowance_per_s: number(tenant, "allowance_per_s")?.unwrap_or(0.0) });
    }
    let effects = classes.iter().map(|class| class.effect).collect();
    let decisions = Settings {
        fleet_size: need(whole(params, "fleet_size"), "fleet_size")?,
        zone: whole(params, "zone")?.unwrap_or(0),
        classes,
        tenants,
        over_share_worth: number(params, "over_share_worth")?.unwrap_or(1.0),
        worth_by_work: text(params, "worth_by")? == Some("work"),
        discovery: match need(text(params, "discovery"), "discovery")? {
            "pushed" => Discovery::Pushed,
            "on_request" => Discovery::OnRequest,
            other => return Err(format!("unknown discovery {other:?}")),
        },
        ask_within: seconds(safety, "ask_within_s")?.unwrap_or(micros(10.0)),
        cold_from: need(number(safety, "cold_from"), "cold_from")?,
        cold_for: need(seconds(safety, "cold_s"), "cold_s")?,
        fall_multiple: need(number(safety, "fall_multiple"), "fall_multiple")?,
        fall_window: need(seconds(safety, "fall_s"), "fall_s")?,
        max_attempts: need(whole(permissions, "send_cap"), "send_cap")?,
        second_copies: flag(permissions, "second_copies")?.unwrap_or(false),
        may_cancel: flag(permissions, "may_cancel")?.unwrap_or(false),
        tells_start: flag(family, "tells_start")?.unwrap_or(false),
        price_cross_zone: number(part("penalties"), "cross_zone")?.unwrap_or(0.0),
    };
    let node = NodeSettings {
        classes: names(list(params, "classes")?),
        effects,
        tenants: names(list(params, "tenants")?),
        zones: names(list(params, "zones")?),
        kinds: names(list(params, "kinds")?),
        connect_within: seconds(permissions, "connect_timeout_s")?.unwrap_or(micros(0.25)),
        keepalive: seconds(permissions, "keepalive_s")?.unwrap_or(micros(5.0)),
        tells_when: flag(permissions, "retry_after")?.unwrap_or(false),
        max_retry_after: seconds(permissions, "max_retry_after_s")?.unwrap_or(micros(1.0)),
    };
    Ok(Given { decisions, node })
}

fn effect(class: &JsonValue) -> Result<Effect, String> {
    let scope = match text(class, "key_scope")? {
        Some("zone") => KeyScope::Zone,
        Some("cell") => KeyScope::Cell,
        _ => KeyScope::All,
    };
    match need(text(class, "semantics"), "semantics")? {
        "pure" => Ok(Effect::Safe),
        "token" => Ok(Effect::Keyed { scope, window: seconds(class, "window_s")?.unwrap_or(0) }),
        "side_effect" => Ok(Effect::Unsafe),
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
