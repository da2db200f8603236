//! The settings of a `provision` message.
use copperspread::*;
use serde::Deserialize;

use crate::wire::micros;

#[derive(Deserialize)]
struct Params {
    fleet_size: u32,
    #[serde(default)]
    zone: u32,
    classes: Vec<WireClass>,
    #[serde(default)]
    tenants: Vec<WireTenant>,
    over_share_worth: Option<f64>,
    discovery: String,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    penalties: Penalties,
    permissions: Permissions,
    safety: Safety,
    #[serde(default)]
    worth_by: String,
}

#[derive(Deserialize)]
struct WireClass {
    aim_s: f64,
    aim_stretch: Option<f64>,
    deadline_s: f64,
    importance: f64,
    semantics: String,
    #[serde(default)]
    key_scope: String,
    #[serde(default)]
    window_s: f64,
}

#[derive(Deserialize)]
struct WireTenant {
    #[serde(default)]
    allowance_per_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyInfo {
    class_kind: Vec<i64>,
    class_stretch: Vec<f64>,
    tells_start: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Penalties {
    cross_zone: f64,
}

#[derive(Deserialize)]
struct Permissions {
    send_cap: u32,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    may_cancel: bool,
}

#[derive(Deserialize)]
struct Safety {
    ask_within_s: Option<f64>,
    cold_from: f64,
    cold_s: f64,
    fall_multiple: f64,
    fall_s: f64,
}

/// Reads the settings; the error says in words what is wrong with them.
pub fn parse(text: &str) -> Result<Settings, String> {
    let params: Params = serde_json::from_str(text).map_err(|e| format!("provision: params: {e}"))?;
    let family = &params.family_info;
    let mut classes = Vec::with_capacity(params.classes.len());
    for (index, class) in params.classes.iter().enumerate() {
        let scope = match class.key_scope.as_str() {
            "zone" => KeyScope::Zone,
            "cell" => KeyScope::Cell,
            _ => KeyScope::All,
        };
        classes.push(Class {
            aim: micros(class.aim_s),
            stretch: class.aim_stretch.or(family.class_stretch.get(index).copied()).unwrap_or(0.0),
            deadline: micros(class.deadline_s),
            worth: class.importance,
            effect: match class.semantics.as_str() {
                "pure" => Effect::Safe,
                "token" => Effect::Keyed { scope, window: micros(class.window_s) },
                "side_effect" => Effect::Unsafe,
                other => return Err(format!("provision: unknown semantics {other:?}")),
            },
            worker_kind: family.class_kind.get(index).and_then(|&kind| u32::try_from(kind).ok()),
        });
    }
    Ok(Settings {
        fleet_size: params.fleet_size,
        zone: params.zone,
        classes,
        tenants: params
            .tenants
            .iter()
            .map(|tenant| Tenant { allowance_per_s: tenant.allowance_per_s })
            .collect(),
        over_share_worth: params.over_share_worth.unwrap_or(1.0),
        worth_by_work: params.worth_by == "work",
        discovery: match params.discovery.as_str() {
            "pushed" => Discovery::Pushed,
            "on_request" => Discovery::OnRequest,
            other => return Err(format!("provision: unknown discovery {other:?}")),
        },
        ask_within: micros(params.safety.ask_within_s.unwrap_or(10.0)),
        cold_from: params.safety.cold_from,
        cold_for: micros(params.safety.cold_s),
        fall_multiple: params.safety.fall_multiple,
        fall_window: micros(params.safety.fall_s),
        max_attempts: params.permissions.send_cap,
        second_copies: params.permissions.second_copies,
        may_cancel: params.permissions.may_cancel,
        tells_start: family.tells_start,
        price_cross_zone: params.penalties.cross_zone,
    })
}
