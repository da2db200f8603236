//! The `emulate` command: runs a scenario once in real time.
use std::path::PathBuf;

use clap::Args;
use copperspread_testbed::emulation::scheduler_process::SchedulerProgram;
use copperspread_testbed::emulation::{SchedulerInstances, emulate};
use copperspread_testbed::policy::PolicyKind;

use super::outcome_text::outcome_text;
use super::output::{json_line, print};
use super::shipped_scenarios::read_scenario;
use super::{CommandResult, CommandStatus};
use crate::policy_argument::parse_policy;

#[derive(Debug, Args)]
pub(crate) struct EmulateArguments {
    /// Name of a built-in scenario, or path of a scenario file
    scenario: String,
    /// Dispatch policy of the schedulers; unused with --program
    #[arg(long, default_value = "copperspread", value_parser = parse_policy)]
    policy: PolicyKind,
    /// Program to start for each scheduler, instead of the one that --policy selects
    #[arg(long)]
    program: Option<PathBuf>,
    /// Argument for the program of --program; may be repeated
    #[arg(long = "argument", default_value = "serve", requires = "program")]
    arguments: Vec<String>,
    /// Seed of the random numbers of the run
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the whole outcome as JSON
    #[arg(long)]
    json: bool,
}

/// Emulates a scenario once in real time, and prints the outcome.
pub(super) fn run(arguments: EmulateArguments) -> CommandResult {
    let EmulateArguments { scenario, policy, program, arguments, seed, json } = arguments;
    let scenario = read_scenario(&scenario)?;
    let variant = program.as_ref().map_or_else(|| policy.name(), |file| file.display().to_string());
    let program = match program {
        Some(file) => SchedulerProgram { file, arguments },
        None => SchedulerProgram::for_policy(policy)?,
    };
    let outcome = emulate(&scenario, &SchedulerInstances::Spawned(program), &variant, seed)?;
    print(&if json { json_line(&outcome)? } else { outcome_text(&outcome) })?;
    Ok(CommandStatus::from_violations(!outcome.violations.is_empty()))
}
