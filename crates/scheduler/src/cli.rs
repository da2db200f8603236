//! The command line.
use std::path::PathBuf;

use clap::{CommandFactory, Parser, Subcommand};

#[cfg(feature = "standalone")]
use crate::commands;
use crate::configuration::ConfigSource;
use crate::serve;

/// Pushes jobs to workers: to the one with the lowest estimated finish time, or refuses on arrival.
#[derive(Debug, Parser)]
#[command(name = "copperspread-scheduler", version, arg_required_else_help = false)]
#[command(after_help = "With no command, EDGE_CONFIG must name the platform's configuration.")]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
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
    /// ConfigDescription the configuration
    #[cfg(feature = "standalone")]
    #[command(subcommand)]
    Config(ConfigDescription),
    /// Read records
    #[cfg(feature = "standalone")]
    #[command(subcommand)]
    Records(EventLogCommand),
    /// Print a shell's completions
    #[cfg(feature = "standalone")]
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
    /// Run a toy real server on 127.0.0.1:9001, and its discovery on 127.0.0.1:8500
    #[cfg(feature = "toy")]
    Toy {
        /// The scheduler to call back
        #[arg(long, default_value = "127.0.0.1:8081")]
        scheduler: std::net::SocketAddr,
    },
}

#[cfg(feature = "standalone")]
#[derive(Debug, Subcommand)]
enum EventLogCommand {
    /// Print the records as they are, without what is no record; what is missing goes to standard error
    Cat {
        /// The file
        file: PathBuf,
        /// Only those that name this flow
        #[arg(long)]
        flow: Option<String>,
        /// The files put aside before it too, oldest first
        #[arg(long)]
        all: bool,
    },
    /// Sum those of many schedulers by time and by worker, as `serve --records` kept them
    Fleet {
        /// The files, or folders of files, one a scheduler; other lines in them are passed over
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Seconds that are summed in one line
        #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..))]
        window: u64,
        /// Workers that are told of, those with the most jobs out at once first
        #[arg(long, default_value_t = 20)]
        workers: usize,
    },
    /// Sum them up: runs, gaps, disorder, and what clients got
    Stat {
        /// The file
        file: PathBuf,
        /// The files put aside before it too, oldest first
        #[arg(long)]
        all: bool,
    },
}

#[derive(Debug, Default, clap::Args)]
struct ServeArguments {
    #[cfg(feature = "standalone")]
    #[command(flatten)]
    layers: LayerArguments,
    /// The configuration, TOML; absent, EDGE_CONFIG's if that is set, or else the built-in default
    #[cfg(feature = "standalone")]
    #[arg(long, env = "COPPERSPREAD_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// Run a toy real server too, in place of the first worker of the static list
    #[cfg(feature = "toy")]
    #[arg(long)]
    toy: bool,
    /// Keep records in a file, or `-` on standard error, whatever the configuration says
    #[arg(long, value_name = "FILE")]
    records: Option<PathBuf>,
}

#[cfg(feature = "standalone")]
#[derive(Debug, Default, clap::Args)]
pub(crate) struct LayerArguments {
    /// Set a value, before all else: --set limits.memory="64 MB"; may come several times
    #[arg(long, value_name = "KEY=VALUE")]
    pub(crate) set: Vec<String>,
}

#[cfg(feature = "standalone")]
#[derive(Debug, Subcommand)]
enum ConfigDescription {
    /// The JSON Schema
    Schema,
    /// The built-in default, as a file with comments
    Default,
    /// The reference page, docs/configuration.md
    Page,
}

/// Does what the command line asks for.
pub fn run() -> Result<(), String> {
    let line = CommandLine::parse();
    match line.command {
        None if ConfigSource::from_environment().is_none() => {
            // As ever, one clear line; the help is for those who ask.
            let name = CommandLine::command().get_name().to_owned();
            Err(format!("EDGE_CONFIG names no configuration, and no command was given; try `{name} --help`"))
        }
        None => serve_as(&ServeArguments::default()),
        Some(Command::Serve(serve)) => serve_as(&serve),
        #[cfg(feature = "standalone")]
        Some(Command::Check { layers, file }) => commands::check(file.as_deref(), &layers.set),
        #[cfg(feature = "standalone")]
        Some(Command::Config(ConfigDescription::Schema)) => commands::print(&commands::schema()?),
        #[cfg(feature = "standalone")]
        Some(Command::Config(ConfigDescription::Default)) => commands::print(&commands::default()?),
        #[cfg(feature = "standalone")]
        Some(Command::Config(ConfigDescription::Page)) => commands::print(&copperspread_config::page()),
        #[cfg(feature = "standalone")]
        Some(Command::Records(EventLogCommand::Cat { file, flow, all })) => {
            commands::records_cat(&file, flow.as_deref(), all)
        }
        #[cfg(feature = "standalone")]
        Some(Command::Records(EventLogCommand::Stat { file, all })) => commands::records_stat(&file, all),
        #[cfg(feature = "standalone")]
        Some(Command::Records(EventLogCommand::Fleet { files, window, workers })) => {
            commands::records_fleet(&files, window, workers)
        }
        #[cfg(feature = "standalone")]
        Some(Command::Completions { shell }) => {
            clap_complete::generate(
                shell,
                &mut CommandLine::command(),
                "copperspread-scheduler",
                &mut std::io::stdout(),
            );
            Ok(())
        }
        #[cfg(feature = "toy")]
        Some(Command::Toy { scheduler }) => serve::toy(scheduler),
    }
}

fn serve_as(asked: &ServeArguments) -> Result<(), String> {
    #[cfg(feature = "standalone")]
    if asked.config.is_some() || !asked.layers.set.is_empty() || ConfigSource::from_environment().is_none() {
        let origin = ConfigSource::Standalone {
            file: asked.config.clone(),
            flags: asked.layers.set.clone(),
            seed: fastrand::u64(..),
        };
        return serve::run(&origin, asked.toy, asked.records.as_deref());
    }
    #[cfg(feature = "toy")]
    let toy = asked.toy;
    #[cfg(not(feature = "toy"))]
    let toy = false;
    let origin = ConfigSource::from_environment().ok_or("EDGE_CONFIG names no configuration")?;
    serve::run(&origin, toy, asked.records.as_deref())
}
