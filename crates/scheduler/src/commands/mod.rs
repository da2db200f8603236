//! Executes the command that the parsed command line names.
#[cfg(feature = "standalone")]
mod check;
#[cfg(feature = "standalone")]
mod describe;
mod error;
#[cfg(feature = "standalone")]
mod event_log;
#[cfg(feature = "standalone")]
mod output;

use clap::CommandFactory;

use crate::cli::{Command, CommandLine, ServeArguments};
use crate::configuration::ConfigSource;
use crate::serve::{self, ServeOptions};
use error::CommandError;

/// Executes the command that the command line names. Without a command, the scheduler serves with the hosting
/// platform's JSON file.
///
/// # Errors
/// Returns the error with which the command ended. The caller prints its message to standard error.
pub(crate) fn execute(command_line: CommandLine) -> Result<(), CommandError> {
    let Some(command) = command_line.command else { return serve_on_platform() };
    match command {
        Command::Serve(arguments) => serve(arguments),
        #[cfg(feature = "standalone")]
        Command::Check { layers, file } => check::check(file.as_deref(), &layers.overrides),
        #[cfg(feature = "standalone")]
        Command::Config(what) => describe::print_description(&what),
        #[cfg(feature = "standalone")]
        Command::Records(command) => event_log::execute(command),
        #[cfg(feature = "standalone")]
        Command::Completions { shell } => {
            print_completions(shell);
            Ok(())
        }
        #[cfg(feature = "toy")]
        Command::Toy { scheduler } => serve_toy_worker(scheduler),
    }
}

/// Serves with the hosting platform's JSON file, whose path is in the environment variable EDGE_CONFIG. Any
/// other configuration requires the command `serve`.
fn serve_on_platform() -> Result<(), CommandError> {
    if ConfigSource::from_environment().is_none() {
        // This error takes one line. The error that clap prints for a missing command contains the program's
        // whole help text.
        return Err(CommandError::NoCommand { program: CommandLine::command().get_name().to_owned() });
    }
    serve(ServeArguments::default())
}

fn serve(arguments: ServeArguments) -> Result<(), CommandError> {
    let options = ServeOptions {
        source: config_source(&arguments)?,
        #[cfg(feature = "toy")]
        with_toy_worker: arguments.with_toy_worker,
        event_log_file: arguments.event_log_file,
    };
    Ok(serve::run(&options)?)
}

/// Returns the source from which the `serve` command reads its configuration.
///
/// The source is the hosting platform's JSON file if the environment variable EDGE_CONFIG contains its path
/// and neither a TOML file nor `--set` is given. Otherwise the source is the layers of a standalone
/// installation. These are the built-in default, the TOML file, the environment and the command line; each
/// overrides the ones before it.
#[cfg(feature = "standalone")]
fn config_source(arguments: &ServeArguments) -> Result<ConfigSource, CommandError> {
    let has_layers = arguments.config_file.is_some() || !arguments.layers.overrides.is_empty();
    match ConfigSource::from_environment() {
        Some(source) if !has_layers => Ok(source),
        _ => Ok(ConfigSource::Layers {
            file: arguments.config_file.clone(),
            overrides: arguments.layers.overrides.clone(),
            default_seed: fastrand::u64(..),
        }),
    }
}

#[cfg(not(feature = "standalone"))]
fn config_source(_: &ServeArguments) -> Result<ConfigSource, CommandError> {
    ConfigSource::from_environment().ok_or(CommandError::NoConfiguration)
}

#[cfg(feature = "standalone")]
fn print_completions(shell: clap_complete::Shell) {
    let mut clap_command = CommandLine::command();
    clap_complete::generate(shell, &mut clap_command, "copperspread-scheduler", &mut std::io::stdout());
}

#[cfg(feature = "toy")]
fn serve_toy_worker(scheduler: std::net::SocketAddr) -> Result<(), CommandError> {
    use crate::logging::{self, LogConfig};
    use crate::serve::StartError;

    let _log = logging::start(&LogConfig::default()).map_err(StartError::from)?;
    let runtime = serve::single_threaded_runtime()?;
    runtime.block_on(crate::toy_worker::serve_with_discovery(scheduler)).map_err(CommandError::ToyWorker)
}
