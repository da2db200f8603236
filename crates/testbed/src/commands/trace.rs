//! The `trace` command: prints a scenario in which the jobs are replaced by the requests in a scheduler's
//! event log.
use std::fmt::Display;
use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;

use clap::Args;
use copperspread_testbed::trace::load_trace;

use super::output::{print, print_note};
use super::shipped_scenarios::read_scenario;
use super::{CommandResult, CommandStatus};

#[derive(Debug, Args)]
pub(crate) struct TraceArguments {
    /// Scenario with the fleet, classes and faults: a built-in scenario's name, or a file's path
    scenario: String,
    /// Event log file of a scheduler, from which the jobs are read
    records: PathBuf,
}

/// Replaces a scenario's job arrivals with those that a scheduler recorded in its event log, and prints the
/// scenario as TOML.
pub(super) fn run(arguments: &TraceArguments) -> CommandResult {
    let mut scenario = read_scenario(&arguments.scenario)?;
    let with_path = |error: &dyn Display| format!("{}: {error}", arguments.records.display());
    let event_log = File::open(&arguments.records).map_err(|error| with_path(&error))?;
    let skipped = load_trace(&mut scenario, BufReader::new(event_log)).map_err(|error| with_path(&error))?;
    print_note(&format!(
        "{} jobs; left out: {} requests without a cost hint, {} of unknown classes; {} lines cannot be read",
        scenario.clients.trace.len(),
        skipped.no_hint,
        skipped.unknown_class,
        skipped.unreadable
    ));
    print(&toml::to_string(&scenario)?)?;
    Ok(CommandStatus::Done)
}
