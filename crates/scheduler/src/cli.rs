//! Command-line arguments. The doc comments on commands and arguments are printed as help texts.
use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Forwards each request to the worker with the lowest estimated finish time, or rejects it on arrival.
#[derive(Debug, Parser)]
#[command(name = "copperspread-scheduler", version, arg_required_else_help = false)]
#[command(after_help = "Without a command, EDGE_CONFIG must name the platform's configuration file.")]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve until SIGTERM; SIGHUP reloads the configuration
    Serve(ServeArguments),
    /// Check a configuration and print its values with their origins; for a .json file, print a summary
    #[cfg(feature = "standalone")]
    Check {
        #[command(flatten)]
        layers: LayerArguments,
        /// Configuration file in TOML or, if its name ends in .json, in the hosting platform's JSON format;
        /// if omitted, the built-in default
        file: Option<PathBuf>,
    },
    /// Print the configuration's schema, default or reference page
    #[cfg(feature = "standalone")]
    #[command(subcommand)]
    Config(ConfigDescription),
    /// Print or summarize the event logs that schedulers write
    #[cfg(feature = "standalone")]
    #[command(subcommand)]
    Records(EventLogCommand),
    /// Print a shell completion script
    #[cfg(feature = "standalone")]
    Completions {
        /// Shell to print the script for
        shell: clap_complete::Shell,
    },
    /// Run a toy worker on 127.0.0.1:9001 and a discovery service, which lists the worker, on 127.0.0.1:8500
    #[cfg(feature = "toy")]
    Toy {
        /// Address of the scheduler that receives the toy worker's callbacks
        #[arg(long, default_value = "127.0.0.1:8081")]
        scheduler: std::net::SocketAddr,
    },
}

#[cfg(feature = "standalone")]
#[derive(Debug, Subcommand)]
pub(crate) enum EventLogCommand {
    /// Print the events, one per line; counts of missing events and invalid lines go to standard error
    Cat {
        /// Event log file of one scheduler
        file: PathBuf,
        /// Print only the events of the request with this id
        #[arg(long = "flow", value_name = "FLOW")]
        request_id: Option<String>,
        /// Also read the rotated files, oldest first
        #[arg(long = "all")]
        with_rotated: bool,
    },
    /// Summarize the events of one or more schedulers by time window and by worker
    Fleet {
        /// Event log files, one per scheduler, or folders of such files; lines that are not events are
        /// skipped
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Length of the time window that each output line summarizes, in seconds
        #[arg(long = "window", default_value_t = 5, value_name = "WINDOW")]
        #[arg(value_parser = clap::value_parser!(u64).range(1..))]
        window_seconds: u64,
        /// Maximum number of workers to list; those with the most attempts in flight are listed first
        #[arg(long = "workers", default_value_t = 20, value_name = "WORKERS")]
        max_workers: usize,
    },
    /// Summarize an event log: runs of the scheduler, missing events, events out of order, final responses
    Stat {
        /// Event log file of one scheduler
        file: PathBuf,
        /// Also read the rotated files, oldest first
        #[arg(long = "all")]
        with_rotated: bool,
    },
}

#[derive(Debug, Default, clap::Args)]
pub(crate) struct ServeArguments {
    #[cfg(feature = "standalone")]
    #[command(flatten)]
    pub(crate) layers: LayerArguments,
    /// Configuration file in TOML; if omitted, the hosting platform's JSON file that EDGE_CONFIG names or, if
    /// EDGE_CONFIG is unset or --set is given, the built-in default
    #[cfg(feature = "standalone")]
    #[arg(long = "config", env = "COPPERSPREAD_CONFIG", value_name = "FILE")]
    pub(crate) config_file: Option<PathBuf>,
    /// Also run a toy worker in place of the first worker of the static list
    #[cfg(feature = "toy")]
    #[arg(long = "toy")]
    pub(crate) with_toy_worker: bool,
    /// Write the event log to this file, or to standard error if `-`; overrides the configuration
    #[arg(long = "records", value_name = "FILE")]
    pub(crate) event_log_file: Option<PathBuf>,
}

#[cfg(feature = "standalone")]
#[derive(Debug, Default, clap::Args)]
pub(crate) struct LayerArguments {
    /// Set a configuration value, overriding file and environment: --set limits.memory="64 MB"; may be
    /// repeated
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub(crate) overrides: Vec<String>,
}

#[cfg(feature = "standalone")]
#[derive(Debug, Subcommand)]
pub(crate) enum ConfigDescription {
    /// Print the JSON Schema of the configuration
    Schema,
    /// Print the built-in default as a file with comments
    Default,
    /// Print the reference page of all configuration keys in Markdown, as in docs/configuration.md
    Page,
}
