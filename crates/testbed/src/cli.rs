//! Defines the command line. The arguments of each command are defined in the file of that command.
use clap::{Parser, Subcommand};
use copperspread_testbed::policy::PolicyKind;

use crate::commands::compare::CompareArguments;
use crate::commands::cost::CostArguments;
use crate::commands::emulate::EmulateArguments;
use crate::commands::load::LoadArguments;
use crate::commands::run::RunArguments;
use crate::commands::sim::SimArguments;
use crate::commands::trace::TraceArguments;
use crate::policy_argument::parse_policy;

/// Tests and compares dispatch policies in scenarios of workers, clients and failures.
#[derive(Debug, Parser)]
#[command(name = "copperspread-testbed", version)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// List the built-in scenarios with their descriptions
    Scenarios,
    /// Print the TOML text of a built-in scenario, which can serve as a template
    Show {
        /// Name of the built-in scenario
        name: String,
    },
    /// Simulate a scenario once in virtual time
    Sim(SimArguments),
    /// Run a scenario once in real time, with scheduler processes and loopback sockets
    Emulate(EmulateArguments),
    /// Print a scenario as TOML, with its jobs replaced by the requests in a scheduler's event log
    Trace(TraceArguments),
    /// Measure the scheduler's throughput and CPU time per request, compared with a round-robin relay
    Cost(CostArguments),
    /// Serve as a scheduler of the `emulate` command; EDGE_CONFIG names the configuration file
    #[command(hide = true)]
    Node {
        /// Dispatch policy of the scheduler
        #[arg(long, value_parser = parse_policy)]
        policy: PolicyKind,
    },
    /// Serve as the relay of the `cost` command; EDGE_CONFIG names the configuration file
    #[command(hide = true)]
    Relay,
    /// Send a scenario's jobs over HTTP in an open loop: a slow response does not delay later jobs
    Load(LoadArguments),
    /// Execute the runs of an experiment; runs stored by an earlier, interrupted execution are skipped
    Run(RunArguments),
    /// Simulate scenarios with several dispatch policies and the same seeds, and compare the results
    Compare(CompareArguments),
}
