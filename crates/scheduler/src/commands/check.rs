//! The `check` command, which checks a configuration and prints its effective values or a one-line summary.
use std::path::Path;

use super::error::CommandError;
use super::output::print;
use crate::configuration::{layers, platform};

/// Checks a configuration and prints the result to standard output. For a TOML configuration, each effective
/// value is printed with its origin. For the hosting platform's JSON file, only a one-line summary is
/// printed.
///
/// # Errors
/// Fails if the configuration is not valid or the output cannot be written. If several values of a TOML
/// configuration are not valid, the message lists them, one per line. For a JSON file, the message names only
/// the first fault.
pub(super) fn check(file: Option<&Path>, overrides: &[String]) -> Result<(), CommandError> {
    match file.filter(|path| path.extension().is_some_and(|extension| extension == "json")) {
        Some(path) if overrides.is_empty() => check_platform_config(path),
        Some(_) => Err(CommandError::OverridesOfPlatformConfig),
        None => check_layers(file, overrides),
    }
}

fn check_platform_config(path: &Path) -> Result<(), CommandError> {
    let startup = platform::read_startup_config(path)?;
    let cached_endpoints = startup.cached_endpoints.as_ref().map_or(0, |list| list.endpoints.len());
    let classes = startup.settings.proxy.classes.join(", ");
    print(&format!(
        "{}: good, the platform's form: {} listens on {}; classes {classes}; {cached_endpoints} service entries known\n",
        path.display(),
        startup.name,
        startup.listen,
    ))
}

fn check_layers(file: Option<&Path>, overrides: &[String]) -> Result<(), CommandError> {
    let effective = layers::read_effective(file, overrides)?;
    // The check gives the same result for every seed of the dispatch policy's random numbers, so 0 is used.
    layers::startup_config(&effective, 0)?;
    print(&effective.listing())
}
