//! The scheduler program. It reads the configuration, starts the components and serves until SIGTERM; other
//! commands check configurations and read event logs.
//!
//! | module | contents |
//! | --- | --- |
//! | `cli` | command-line arguments |
//! | `commands` | implementation of the commands other than `serve` |
//! | `configuration` | reading of the configuration from the platform's JSON or from TOML layers |
//! | `logging`, `log_targets` | log output, levels and former target names |
//! | `membership` | start, status page and key file of scheduler membership |
//! | `serve` | one scheduler from start to shutdown, and configuration reloads |
//! | `toy_worker` | toy worker and toy discovery for trying out the scheduler |
//!
//! The dispatch policy and the protocols are in other crates. "The platform" is the hosting environment that
//! names a JSON configuration file in `EDGE_CONFIG`; any other installation is "standalone" and uses TOML.
//!
//! Exit codes: 0 success, 1 the command failed, 2 the command line is invalid.
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
            // The error is not printed through the log, which may be off or not started, nor with
            // `eprintln!`, which panics if standard error is closed.
            let _ = writeln!(std::io::stderr(), "copperspread-scheduler: {error}");
            ExitCode::FAILURE
        }
    }
}
