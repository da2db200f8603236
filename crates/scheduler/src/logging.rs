//! The log: text on a terminal, JSON lines otherwise, on standard error.
//!
//! A thread of its own writes it from a bounded queue, so that a log that nobody reads neither blocks nor ends
//! the scheduler: lines that do not fit are dropped and counted.
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

/// Lines that may wait to be written: at some hundred bytes each, about a megabyte.
const MAX_QUEUED_LINES: usize = 4_096;
/// The environment variable whose levels take precedence over the configuration's.
const LEVEL_VARIABLE: &str = "RUST_LOG";

/// How the log is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LogConfig {
    /// The level, for all or by target. RUST_LOG takes precedence.
    pub(crate) level: String,
    /// Whether lines are JSON; absent, they are unless standard error is a terminal.
    pub(crate) json: Option<bool>,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig { level: "info".into(), json: None }
    }
}

/// Why a list of levels is not valid.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum LevelError {
    /// No level of this name.
    #[error("{0:?} is no level; one of off, error, warn, info, debug, trace")]
    UnknownLevel(String),
    /// A target that cannot be read.
    #[error("{levels:?}: {source}")]
    InvalidTarget {
        /// The list of levels.
        levels: String,
        /// What is wrong with it.
        source: ParseError,
    },
}

/// Why the log does not start or take another level.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum LogError {
    /// RUST_LOG is not valid.
    #[error("RUST_LOG: {0}")]
    Environment(#[source] LevelError),
    /// The configuration's level is not valid.
    #[error("log.level: {0}")]
    Configuration(#[source] LevelError),
    /// The log was started before.
    #[error("log: {0}")]
    AlreadyStarted(#[from] TryInitError),
    /// The running log cannot take another level.
    #[error("log.level: {0}")]
    Reload(#[from] reload::Error),
}

/// The running log. Its writer thread ends, after the last lines, when this is dropped.
pub(crate) struct Log {
    levels: reload::Handle<Targets, Registry>,
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

/// Reads a level, for all or by target, such as `info` or `info,copperspread_proxy=debug`. Targets from before
/// the crates were renamed are read as the present ones.
///
/// # Errors
/// A level that does not exist, or a target that cannot be read.
pub(crate) fn parse_levels(levels: &str) -> Result<Targets, LevelError> {
    // A misspelt level would pass for the name of a target.
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

/// RUST_LOG's levels, or else the configuration's.
fn effective_levels(config: &LogConfig) -> Result<Targets, LogError> {
    match std::env::var(LEVEL_VARIABLE) {
        Ok(levels) if !levels.is_empty() => parse_levels(&levels).map_err(LogError::Environment),
        _ => parse_levels(&config.level).map_err(LogError::Configuration),
    }
}

/// Starts the log.
///
/// # Errors
/// A level that is not valid, or a log that was started before.
pub(crate) fn start(config: &LogConfig) -> Result<Log, LogError> {
    let (filter, levels) = reload::Layer::new(effective_levels(config)?);
    let queue = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (output, writer) = queue.thread_name("log").finish(stderr());
    let dropped = output.error_counter();
    let json = config.json.unwrap_or(!stderr().is_terminal());
    tracing_subscriber::registry().with(filter).with(line_format(output, json)).try_init()?;
    Ok(Log { levels, dropped, _writer: writer })
}

fn line_format<S: Subscriber + for<'a> LookupSpan<'a>>(
    output: NonBlocking,
    json: bool,
) -> Box<dyn Layer<S> + Send + Sync> {
    let plain = fmt::layer().with_writer(output).with_ansi(false);
    if json { plain.json().flatten_event(true).boxed() } else { plain.compact().boxed() }
}

impl Log {
    /// Takes a configuration's level while running. The form of the lines stays.
    ///
    /// # Errors
    /// A level that is not valid: the old one stays.
    pub(crate) fn reload(&self, config: &LogConfig) -> Result<(), LogError> {
        Ok(self.levels.reload(effective_levels(config)?)?)
    }

    /// Lines dropped so far.
    pub(crate) fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
