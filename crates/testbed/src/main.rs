//! Parses the command line, runs a command and exits with its code.
//!
//! Exit codes: 0 done, 1 a rule was violated or the command failed, 2 the command line is wrong.
mod cli;
mod commands;
mod policy_argument;

use std::io::Write;
use std::process::ExitCode;

use clap::Parser;

use cli::CommandLine;
use commands::CommandOutcome;

fn main() -> ExitCode {
    match commands::run(CommandLine::parse().command) {
        Ok(CommandOutcome::Done) => ExitCode::SUCCESS,
        Ok(CommandOutcome::RulesViolated) => ExitCode::FAILURE,
        Err(error) => {
            // Without standard error there is nowhere left to report to.
            let _ = writeln!(std::io::stderr(), "copperspread-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
