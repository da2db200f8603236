//! The scheduler's program. What it does is in `serve.rs`; here is how it is asked to.
//!
//! Exit codes: 0 done, 1 what was asked for cannot be done, 2 the command line is wrong.
mod cli;
#[cfg(feature = "standalone")]
mod commands;
mod configuration;
mod logging;
#[cfg(feature = "standalone")]
mod membership;
mod serve;
#[cfg(feature = "toy")]
mod toy_worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            // Not through the log: it may not be there yet, or be off. Guards against an end by a
            // standard error that nobody reads.
            use std::io::Write;
            let _ = writeln!(std::io::stderr(), "copperspread-scheduler: {why}");
            ExitCode::FAILURE
        }
    }
}
