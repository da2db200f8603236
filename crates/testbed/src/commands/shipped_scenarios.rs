//! Looks up scenarios, either by name among those that the program contains or by the path of a file.
use std::path::Path;

use copperspread_testbed::scenario::Scenario;

/// The name of a scenario in the program, and its TOML text.
pub(super) type ShippedScenario = (&'static str, &'static str);

macro_rules! shipped {
    ($($name:literal),*) => {
        /// The scenarios that the program contains.
        pub(super) const SHIPPED: &[ShippedScenario] =
            &[$(($name, include_str!(concat!("../../scenarios/", $name, ".toml")))),*];
    };
}
shipped!(
    "calm",
    "calc",
    "calc-cold",
    "slow-tenth",
    "burst",
    "heavy-tail",
    "zone-lost",
    "discovery-late",
    "rolling-drain",
    "cold-wave",
    "retry-storm",
    "large",
    "vast-release",
    "vast-replaced",
    "vast-roll",
    "vast-zone"
);

/// The name of the scenario that `compare` omits unless it is asked for, because the scenario is too large.
pub(super) const LARGE: &str = "large";

/// The TOML text of a scenario that the program contains; `None` if the name is unknown.
pub(super) fn find_shipped(name: &str) -> Option<&'static str> {
    SHIPPED.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}

/// Reads a scenario, given its name or the path of its file.
///
/// # Errors
/// Fails if the name is unknown, the file cannot be read or the scenario is invalid.
pub(super) fn read_scenario(name: &str) -> Result<Scenario, String> {
    let parse = |text: &str| Scenario::parse(text).map_err(|error| format!("{name}: {error}"));
    if let Some(text) = find_shipped(name) {
        return parse(text);
    }
    if !Path::new(name).exists() {
        let names: Vec<_> = SHIPPED.iter().map(|(name, _)| *name).collect();
        let names = names.join(", ");
        return Err(format!(
            "{name}: neither a file nor a built-in scenario; the built-in scenarios are {names}"
        ));
    }
    parse(&std::fs::read_to_string(name).map_err(|error| format!("{name}: {error}"))?)
}
