//! The command line's grammar. The doc comments below are the help that is printed.
use std::path::PathBuf;

use clap::{Parser, Subcommand};

/// Forwards requests to workers: each to the one with the lowest estimated finish time, or rejects it on arrival.
#[derive(Debug, Parser)]
#[command(name = "copperspread-scheduler", version, arg_required_else_help = false)]
#[command(after_help = "With no command, EDGE_CONFIG must name the platform's configuration.")]
pub(crate) struct CommandLine {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Serve until SIGTERM; SIGHUP reads the configuration again
    Serve(ServeArguments),
    /// Check a configuration and print what is in force, with each value's origin
    #[cfg(feature = "standalone")]
    Check {
        #[command(flatten)]
        layers: LayerArguments,
        /// The file: TOML, or the platform's JSON if it ends in .json; absent, the built-in default
        file: Option<PathBuf>,
    },
    /// Describe the configuration
    #[cfg(feature = "standalone")]
    #[command(subcommand)]
    Config(ConfigDescription),
    /// Read event logs
    #[cfg(feature = "standalone")]
    #[command(subcommand)]
    Records(EventLogCommand),
    /// Print a shell's completions
    #[cfg(feature = "standalone")]
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
    /// Run a toy worker on 127.0.0.1:9001, and its discovery on 127.0.0.1:8500
    #[cfg(feature = "toy")]
    Toy {
        /// The scheduler to call back
        #[arg(long, default_value = "127.0.0.1:8081")]
        scheduler: std::net::SocketAddr,
    },
}

#[cfg(feature = "standalone")]
#[derive(Debug, Subcommand)]
pub(crate) enum EventLogCommand {
    /// Print the events as they are, without lines that are no events; what is missing goes to standard error
    Cat {
        /// The file
        file: PathBuf,
        /// Only those of the request with this id
        #[arg(long = "flow", value_name = "FLOW")]
        request_id: Option<String>,
        /// The files that were rotated too, oldest first
        #[arg(long = "all")]
        with_rotated: bool,
    },
    /// Sum the events of one or many schedulers by time and by worker
    Fleet {
        /// The files, or folders of files, one a scheduler; other lines in them are skipped
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Seconds that are summed in one line
        #[arg(long = "window", default_value_t = 5, value_name = "WINDOW")]
        #[arg(value_parser = clap::value_parser!(u64).range(1..))]
        window_seconds: u64,
        /// How many workers are listed, those with the most attempts in flight first
        #[arg(long = "workers", default_value_t = 20, value_name = "WORKERS")]
        max_workers: usize,
    },
    /// Sum the events up: runs, gaps, disorder, and what clients got
    Stat {
        /// The file
        file: PathBuf,
        /// The files that were rotated too, oldest first
        #[arg(long = "all")]
        with_rotated: bool,
    },
}

#[derive(Debug, Default, clap::Args)]
pub(crate) struct ServeArguments {
    #[cfg(feature = "standalone")]
    #[command(flatten)]
    pub(crate) layers: LayerArguments,
    /// The configuration, TOML; absent, EDGE_CONFIG's if that is set, or else the built-in default
    #[cfg(feature = "standalone")]
    #[arg(long = "config", env = "COPPERSPREAD_CONFIG", value_name = "FILE")]
    pub(crate) config_file: Option<PathBuf>,
    /// Run a toy worker too, in place of the first worker of the static list
    #[cfg(feature = "toy")]
    #[arg(long = "toy")]
    pub(crate) with_toy_worker: bool,
    /// Write the event log to a file, or `-` for standard error, whatever the configuration says
    #[arg(long = "records", value_name = "FILE")]
    pub(crate) event_log_file: Option<PathBuf>,
}

#[cfg(feature = "standalone")]
#[derive(Debug, Default, clap::Args)]
pub(crate) struct LayerArguments {
    /// Set a value, before all else: --set limits.memory="64 MB"; may come several times
    #[arg(long = "set", value_name = "KEY=VALUE")]
    pub(crate) overrides: Vec<String>,
}

#[cfg(feature = "standalone")]
#[derive(Debug, Subcommand)]
pub(crate) enum ConfigDescription {
    /// The JSON Schema
    Schema,
    /// The built-in default, as a file with comments
    Default,
    /// The reference page, docs/configuration.md
    Page,
}
