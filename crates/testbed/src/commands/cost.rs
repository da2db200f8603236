//! The `cost` command: measures the CPU time that the scheduler process uses for each job. For comparison,
//! the command also measures a relay, which forwards requests without a dispatch policy.
use std::path::PathBuf;

use clap::Args;
use copperspread_testbed::cost::{self, CostSettings};
use copperspread_testbed::emulation::scheduler_process::SchedulerProgram;
use copperspread_testbed::policy::PolicyKind;

use super::output::{json_line, print};
use super::{CommandResult, CommandStatus};

#[derive(Debug, Args)]
pub(crate) struct CostArguments {
    /// Scheduler program to measure, instead of copperspread-scheduler in this program's folder
    #[arg(long)]
    program: Option<PathBuf>,
    /// Number of rounds; each round measures the scheduler and the relay once
    #[arg(long, default_value_t = 5)]
    rounds: u32,
    /// Length of each program's measurement in a round, in seconds
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Number of concurrent clients; each waits for a response before its next request
    #[arg(long, default_value_t = 64)]
    clients: usize,
    /// Number of stub workers, which complete each request immediately
    #[arg(long, default_value_t = 8)]
    workers: u32,
    /// Print the measurements of all rounds as JSON
    #[arg(long)]
    json: bool,
}

/// Measures the scheduler program and the relay in alternating order, and prints the results of both.
pub(super) fn run(arguments: CostArguments) -> CommandResult {
    let CostArguments { program, rounds, seconds, clients, workers, json } = arguments;
    let program = match program {
        Some(file) => SchedulerProgram { file, arguments: vec!["serve".into()] },
        None => SchedulerProgram::for_policy(PolicyKind::Copperspread)?,
    };
    let executable = std::env::current_exe().map_err(|error| format!("this program's own file: {error}"))?;
    let relay = SchedulerProgram { file: executable, arguments: vec!["relay".into()] };
    let programs = [("copperspread".to_owned(), program), ("bare relay".to_owned(), relay)];
    let measured = cost::measure_costs(&programs, CostSettings { rounds, seconds, clients, workers })?;
    print(&if json { json_line(&measured)? } else { cost::format_table(&measured) })?;
    Ok(CommandStatus::Done)
}
