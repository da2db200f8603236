//! `cost`: the program's processor time for a job, against a relay.
use std::path::PathBuf;

use clap::Args;
use copperspread_testbed::cost::{self, Terms};
use copperspread_testbed::emulate::program::Program;
use copperspread_testbed::policy::Kind;

use super::output::{json_line, print};
use super::{CommandOutcome, CommandResult};

#[derive(Debug, Args)]
pub(crate) struct CostArguments {
    /// The program, in place of the one beside this one
    #[arg(long)]
    program: Option<PathBuf>,
    /// Rounds, each of both in turn
    #[arg(long, default_value_t = 5)]
    rounds: u32,
    /// Seconds of each in a round
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Clients that ask one request after the other
    #[arg(long, default_value_t = 64)]
    clients: usize,
    /// Workers
    #[arg(long, default_value_t = 8)]
    workers: u32,
    /// Print all rounds as JSON
    #[arg(long)]
    json: bool,
}

/// Measures the program and the relay in turn, and prints both.
pub(super) fn run(arguments: CostArguments) -> CommandResult {
    let CostArguments { program, rounds, seconds, clients, workers, json } = arguments;
    let program = match program {
        Some(file) => Program { file, arguments: vec!["serve".into()] },
        None => Program::of(Kind::Copperspread)?,
    };
    let own_file = std::env::current_exe().map_err(|error| format!("this program's own file: {error}"))?;
    let relay = Program { file: own_file, arguments: vec!["relay".into()] };
    let programs = [("copperspread".to_owned(), program), ("bare relay".to_owned(), relay)];
    let measured = cost::measure(&programs, Terms { rounds, seconds, clients, workers })?;
    print(&if json { json_line(&measured)? } else { cost::table(&measured) })?;
    Ok(CommandOutcome::Done)
}
