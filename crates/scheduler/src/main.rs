//! The scheduler's program: command line, configuration, start, signals and log.
//!
//! | module | job |
//! | --- | --- |
//! | `cli` | the command line's grammar |
//! | `commands` | what each command does, apart from serving |
//! | `configuration` | where a configuration comes from, and what all its forms are read into |
//! | `logging`, `log_targets` | the log and its levels |
//! | `membership` | membership among schedulers: its start, status page and key |
//! | `serve` | one scheduler from start to shutdown, and its reloads |
//! | `toy_worker` | a toy worker and its discovery, for trials |
//!
//! It knows no protocol and decides nothing about requests.
//!
//! Exit codes: 0 done, 1 what was asked for cannot be done, 2 the command line is wrong.
mod cli;
mod commands;
mod configuration;
mod log_targets;
mod logging;
#[cfg(feature = "standalone")]
mod membership;
mod serve;
#[cfg(feature = "toy")]
mod toy_worker;

use std::io::Write;
use std::process::ExitCode;

use clap::Parser;

use crate::cli::CommandLine;

fn main() -> ExitCode {
    match commands::execute(CommandLine::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Not through the log, which may not have started or may be off. Not by `eprintln!` either: it
            // panics where standard error is closed.
            let _ = writeln!(std::io::stderr(), "copperspread-scheduler: {error}");
            ExitCode::FAILURE
        }
    }
}
