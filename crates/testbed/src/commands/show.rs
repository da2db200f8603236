//! The `scenarios` and `show` commands: print the scenarios that are built into the program.
use super::output::print;
use super::shipped_scenarios::{SHIPPED, find_shipped, read_scenario};
use super::{CommandResult, CommandStatus};

/// Prints the names and descriptions of the built-in scenarios.
pub(super) fn list_scenarios() -> CommandResult {
    for (name, _) in SHIPPED {
        let scenario = read_scenario(name)?;
        print(&format!("{name:<16} {}\n", scenario.description))?;
    }
    Ok(CommandStatus::Done)
}

/// Prints the TOML text of a built-in scenario.
pub(super) fn show_scenario(name: &str) -> CommandResult {
    read_scenario(name)?;
    let text = find_shipped(name).ok_or_else(|| format!("{name} is not a built-in scenario"))?;
    print(text)?;
    Ok(CommandStatus::Done)
}
