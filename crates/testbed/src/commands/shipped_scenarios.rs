//! Finds scenarios by name among those that come with the program, or in files.
use std::path::Path;

use copperspread_testbed::scenario::Scenario;

/// The name of a scenario and its text.
pub(super) type ShippedScenario = (&'static str, &'static str);

macro_rules! shipped {
    ($($name:literal),*) => {
        /// The scenarios that come with the program.
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

/// The scenario that is too large to be played where none is named.
pub(super) const LARGE: &str = "large";

/// The text of a scenario that comes with the program.
pub(super) fn find_shipped(name: &str) -> Option<&'static str> {
    SHIPPED.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}

/// Reads a scenario by its name or its file's path.
///
/// # Errors
/// An unknown name, a file that cannot be read, or a scenario that is wrong.
pub(super) fn read_scenario(name: &str) -> Result<Scenario, String> {
    let parse = |text: &str| Scenario::parse(text).map_err(|error| format!("{name}: {error}"));
    if let Some(text) = find_shipped(name) {
        return parse(text);
    }
    if !Path::new(name).exists() {
        let names: Vec<_> = SHIPPED.iter().map(|(name, _)| *name).collect();
        let names = names.join(", ");
        return Err(format!("{name}: no such file, and no scenario of that name; one of {names}"));
    }
    parse(&std::fs::read_to_string(name).map_err(|error| format!("{name}: {error}"))?)
}
