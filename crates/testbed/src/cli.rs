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

/// Plays scenarios of workers, clients and failures against the scheduler's decisions.
#[derive(Debug, Parser)]
#[command(name = "copperspread-testbed", version)]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// List the scenarios that come with the program
    Scenarios,
    /// Print one of them, as a file to start from
    Show {
        /// Its name
        name: String,
    },
    /// Play a scenario once in virtual time
    Sim(SimArguments),
    /// Play a scenario once in real time: the program's own processes, all else on loopback
    Emulate(EmulateArguments),
    /// Print a scenario with the jobs that a scheduler's records hold in place of drawn ones
    Trace(TraceArguments),
    /// Measure what the whole program costs for a job, against a bare relay in the same run
    Cost(CostArguments),
    /// Serve as one of the emulator's schedulers, by EDGE_CONFIG
    #[command(hide = true)]
    Node {
        /// What decides
        #[arg(long, value_parser = parse_policy)]
        policy: PolicyKind,
    },
    /// Serve as a bare relay, by EDGE_CONFIG
    #[command(hide = true)]
    Relay,
    /// Send a scenario's jobs over HTTP, in an open loop: a slow answer holds no later job back
    Load(LoadArguments),
    /// Play an experiment's file: scenarios, variants and seeds; a cut-off one goes on where it stood
    Run(RunArguments),
    /// Play scenarios under the module and the baselines, in pairs of one seed
    Compare(CompareArguments),
}
