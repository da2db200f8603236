//! The `sim` command: simulates a scenario once in virtual time.
use std::time::Instant;

use clap::Args;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::simulation::simulate;

use super::outcome_text::outcome_text;
use super::output::{json_line, print};
use super::shipped_scenarios::read_scenario;
use super::{CommandResult, CommandStatus};
use crate::policy_argument::parse_policy;

#[derive(Debug, Args)]
pub(crate) struct SimArguments {
    /// Name of a built-in scenario, or path of a scenario file
    scenario: String,
    /// Dispatch policy of the schedulers
    #[arg(long, default_value = "copperspread", value_parser = parse_policy)]
    policy: PolicyKind,
    /// Seed of the random numbers of the run
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print the whole outcome as JSON
    #[arg(long)]
    json: bool,
}

/// Simulates a scenario once, and prints the outcome and the simulated events per second.
pub(super) fn run(arguments: &SimArguments) -> CommandResult {
    let scenario = read_scenario(&arguments.scenario)?;
    let started = Instant::now();
    let outcome = simulate(&scenario, arguments.policy, arguments.seed)?;
    let elapsed_s = started.elapsed().as_secs_f64();
    if arguments.json {
        print(&json_line(&outcome)?)?;
    } else {
        let events_per_s = outcome.events as f64 / elapsed_s;
        print(&outcome_text(&outcome))?;
        print(&format!(
            "{} jobs, {} events in {elapsed_s:.1} s: {events_per_s:.0} events per second\n",
            outcome.jobs, outcome.events
        ))?;
    }
    Ok(CommandStatus::from_violations(!outcome.violations.is_empty()))
}
