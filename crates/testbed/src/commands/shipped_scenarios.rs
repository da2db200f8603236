//! Looks up scenarios by the name of a built-in scenario or by the path of a scenario file.
use std::path::Path;

use copperspread_testbed::scenario::Scenario;

/// The name and the TOML text of a scenario that is built into the program.
pub(super) type ShippedScenario = (&'static str, &'static str);

macro_rules! shipped {
    ($($name:literal),*) => {
        /// The scenarios that are built into the program.
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

/// The name of a built-in scenario that is too large for a `compare` command without scenario names. The
/// `compare` command simulates this scenario only if the command line names it.
pub(super) const LARGE: &str = "large";

/// Returns the TOML text of a built-in scenario; `None` if no built-in scenario has this name.
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
