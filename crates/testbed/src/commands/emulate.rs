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
    /// A scenario's name, or a file
    scenario: String,
    /// What decides in the schedulers' node, where no program is named
    #[arg(long, default_value = "copperspread", value_parser = parse_policy)]
    policy: PolicyKind,
    /// The program to start for each scheduler, in place of the one beside this one
    #[arg(long)]
    program: Option<PathBuf>,
    /// Its arguments
    #[arg(long = "argument", default_value = "serve", requires = "program")]
    arguments: Vec<String>,
    /// The seed of all chance
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
