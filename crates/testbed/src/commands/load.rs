//! The `load` command: sends a scenario's jobs over HTTP to any address.
use std::net::SocketAddr;

use clap::Args;
use copperspread_testbed::load::send_load;

use super::output::{json_line, print};
use super::shipped_scenarios::read_scenario;
use super::{CommandResult, CommandStatus};

/// Maximum time for which the `load` command sends jobs, in seconds. A longer time in the arguments or in the
/// scenario is reduced to this maximum, so that the command always stops by itself.
const MAX_LOAD_DURATION_S: f64 = 3_600.0;

#[derive(Debug, Args)]
pub(crate) struct LoadArguments {
    /// Scenario with the job classes, rate and bursts: a built-in scenario's name, or a file's path
    scenario: String,
    /// IP address and port to send the jobs to
    #[arg(long, default_value = "127.0.0.1:8081")]
    target: SocketAddr,
    /// Number of jobs per second, instead of the scenario's rate
    #[arg(long)]
    rate: Option<f64>,
    /// Duration of the load in seconds, instead of the scenario's duration; an hour at most
    #[arg(long)]
    seconds: Option<f64>,
    /// Maximum number of open requests; a job that would exceed it is counted as not sent
    #[arg(long = "most-open", value_name = "MOST_OPEN", default_value_t = 1_024)]
    max_open_requests: usize,
    /// Seed of the random numbers that generate the jobs
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Allow a --target that is not a loopback address
    #[arg(long)]
    anywhere: bool,
    /// Print the outcome as JSON
    #[arg(long)]
    json: bool,
}

/// Sends a scenario's jobs over HTTP to the target address, and prints how the jobs ended.
pub(super) fn run(arguments: &LoadArguments) -> CommandResult {
    let target = arguments.target;
    if !target.ip().is_loopback() && !arguments.anywhere {
        return Err(format!("{target} is not a loopback address; --anywhere allows other addresses").into());
    }
    let mut scenario = read_scenario(&arguments.scenario)?;
    scenario.clients.rate_per_s = arguments.rate.unwrap_or(scenario.clients.rate_per_s);
    scenario.duration_s = arguments.seconds.unwrap_or(scenario.duration_s).min(MAX_LOAD_DURATION_S);
    scenario.check()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
    let report = runtime.block_on(send_load(&scenario, arguments.seed, target, arguments.max_open_requests));
    print(&if arguments.json { json_line(&report)? } else { report.to_text() })?;
    Ok(CommandStatus::Done)
}
