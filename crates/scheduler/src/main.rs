//! The scheduler program. Its command `serve` reads the configuration, starts the components and serves
//! clients until SIGTERM. Other commands check configurations and read event logs.
//!
//! | module | contents |
//! | --- | --- |
//! | `cli` | command-line arguments |
//! | `commands` | execution of the commands; `serve` is implemented in its own module |
//! | `configuration` | reading of the configuration from the platform's JSON file or from TOML |
//! | `logging` | log output to standard error and parsing of log levels |
//! | `log_targets` | replacement of former names of log targets in log level settings |
//! | `membership` | start, status page and key file of scheduler membership |
//! | `serve` | one scheduler from start to shutdown, and configuration reloads |
//! | `toy_worker` | a minimal worker and a minimal discovery service for trying out the scheduler |
//!
//! The dispatch policy and the protocols are in other crates. "The platform" is the hosting environment that
//! puts the path of a JSON configuration file into `EDGE_CONFIG`. Any other installation is "standalone" and
//! uses TOML.
//!
//! Exit codes: 0 for success, 1 if the command failed, 2 if the command line is not valid.
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
            // The error is written to standard error directly, because the log may be off or not started.
            // `eprintln!` is not used, because it panics if standard error is closed.
            let _ = writeln!(std::io::stderr(), "copperspread-scheduler: {error}");
            ExitCode::FAILURE
        }
    }
}
