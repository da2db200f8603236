//! Writes the log to standard error. The configuration may set the format of the log lines. If it does not,
//! the lines are text if standard error is a terminal, and JSON otherwise.
//!
//! A separate thread writes the lines from a bounded queue. Lines that do not fit into the queue are dropped
//! and counted. The scheduler therefore neither waits nor ends if another process reads its standard error
//! slowly or closes it.
use std::io::{IsTerminal, stderr};

use tracing::Subscriber;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{ParseError, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::{SubscriberInitExt, TryInitError};
use tracing_subscriber::{Layer, Registry, fmt, reload};

use crate::log_targets::with_current_targets;

/// Capacity of the queue from which the log is written, in lines. A full queue takes about a megabyte at 250
/// bytes a line.
const MAX_QUEUED_LINES: usize = 4_096;
/// The environment variable whose log levels replace those of the configuration.
const LEVELS_ENV_VAR: &str = "RUST_LOG";

/// Settings of the log output: the log levels and the line format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogConfig {
    /// List of log levels. `info` sets the level of all targets; `info,copperspread_proxy=debug` also sets
    /// another level for one target. The levels in the environment variable RUST_LOG replace this list.
    pub(crate) level: String,
    /// Whether log lines are JSON. If `None`, log lines are JSON unless standard error is a terminal.
    pub(crate) json: Option<bool>,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig { level: "info".into(), json: None }
    }
}

/// The reason why a list of log levels is not valid.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum LevelError {
    /// The list of log levels contains a word that is not the name of a level.
    #[error("{0:?} is no level; one of off, error, warn, info, debug, trace")]
    UnknownLevel(String),
    /// The list of log levels contains a target that cannot be parsed.
    #[error("{levels:?}: {source}")]
    InvalidTarget {
        /// The whole list of log levels. One of the targets in the list cannot be parsed.
        levels: String,
        /// The parser's reason why the list of log levels is not valid.
        source: ParseError,
    },
}

/// Error when starting the log or changing its log levels.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum LogError {
    /// The environment variable RUST_LOG does not contain a valid list of log levels.
    #[error("RUST_LOG: {0}")]
    Environment(#[source] LevelError),
    /// The configuration's `log.level` is not a valid list of log levels.
    #[error("log.level: {0}")]
    Configuration(#[source] LevelError),
    /// The log cannot be started, because the process has already started one.
    #[error("log: {0}")]
    AlreadyStarted(#[from] TryInitError),
    /// The log levels of the running log cannot be changed.
    #[error("log.level: {0}")]
    Reload(#[from] reload::Error),
}

/// Handle of the running log. When the handle is dropped, the thread that writes the log writes the queued
/// lines and ends.
pub(crate) struct Log {
    levels: reload::Handle<Targets, Registry>,
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

/// Parses a list of log levels. `info` sets the level of all targets; `info,copperspread_proxy=debug` also
/// sets another level for one target. Former target names are replaced by the current ones.
///
/// # Errors
/// Fails if a level does not exist or a target cannot be parsed.
pub(crate) fn parse_levels(levels: &str) -> Result<Targets, LevelError> {
    // The names of the levels are checked here. The parser of `Targets` would take a misspelt level for the
    // name of a target and report no error.
    for directive in levels.split(',').map(str::trim) {
        let level = directive.rsplit('=').next().unwrap_or_default();
        if level.is_empty() || level.parse::<LevelFilter>().is_err() {
            return Err(LevelError::UnknownLevel(level.to_owned()));
        }
    }
    with_current_targets(levels)
        .parse()
        .map_err(|source| LevelError::InvalidTarget { levels: levels.to_owned(), source })
}

/// Returns the log levels in RUST_LOG if the variable is set and not empty, otherwise those of the
/// configuration.
fn effective_levels(config: &LogConfig) -> Result<Targets, LogError> {
    match std::env::var(LEVELS_ENV_VAR) {
        Ok(levels) if !levels.is_empty() => parse_levels(&levels).map_err(LogError::Environment),
        _ => parse_levels(&config.level).map_err(LogError::Configuration),
    }
}

/// Starts the process's log and the thread that writes the log lines to standard error.
///
/// # Errors
/// Fails if a level is not valid or the log is already started.
pub(crate) fn start(config: &LogConfig) -> Result<Log, LogError> {
    let (filter, levels) = reload::Layer::new(effective_levels(config)?);
    let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (output, writer) = queue.thread_name("log").finish(stderr());
    let dropped = output.error_counter();
    let json = config.json.unwrap_or(!stderr().is_terminal());
    tracing_subscriber::registry().with(filter).with(format_layer(output, json)).try_init()?;
    Ok(Log { levels, dropped, _writer: writer })
}

/// Creates the `tracing` layer that formats log lines as JSON if `json` is set and as text otherwise.
fn format_layer<S: Subscriber + for<'a> LookupSpan<'a>>(
    output: NonBlocking,
    json: bool,
) -> Box<dyn Layer<S> + Send + Sync> {
    let plain = fmt::layer().with_writer(output).with_ansi(false);
    if json { plain.json().flatten_event(true).boxed() } else { plain.compact().boxed() }
}

impl Log {
    /// Applies the log levels of a new configuration. The format of the log lines does not change.
    ///
    /// # Errors
    /// Fails if a level is not valid. The old levels then stay in force.
    pub(crate) fn reload(&self, config: &LogConfig) -> Result<(), LogError> {
        Ok(self.levels.reload(effective_levels(config)?)?)
    }

    /// Returns how many log lines have been dropped because the queue was full.
    pub(crate) fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
