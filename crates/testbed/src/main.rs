//! The command-line program of the testbed.
//!
//! Exit codes: 0 for success; 1 if the command failed, or if the rule checker found a violation in a run of
//! `sim`, `emulate` or `run`; 2 if the command line is invalid. The rule checker checks that the schedulers
//! of a run keep certain rules, such as one final response for each request.
mod cli;
mod commands;
mod policy_argument;

use std::io::Write;
use std::process::ExitCode;

use clap::Parser;

use cli::CommandLine;
use commands::CommandStatus;

fn main() -> ExitCode {
    match commands::run(CommandLine::parse().command) {
        Ok(CommandStatus::Done) => ExitCode::SUCCESS,
        Ok(CommandStatus::RulesViolated) => ExitCode::FAILURE,
        Err(error) => {
            // The error is ignored, because a failed write to standard error cannot be reported anywhere
            // else.
            let _ = writeln!(std::io::stderr(), "copperspread-testbed: {error}");
            ExitCode::FAILURE
        }
    }
}
