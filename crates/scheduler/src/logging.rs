//! The log: text on a terminal, JSON lines otherwise, on standard error.
//!
//! It is written by a thread of its own from a bounded queue. Guards against a log that nobody reads:
//! what does not fit is dropped and counted, and the scheduler neither waits nor ends.
use std::io::{IsTerminal, stderr};

use tracing::Subscriber;
use tracing::level_filters::LevelFilter;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{Layer, Registry, fmt, reload};

/// Lines that may wait to be written: at some hundred bytes each, about a megabyte.
const QUEUE: usize = 4_096;

/// How the log is kept.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// The level, for all or by part. RUST_LOG goes before it.
    pub level: String,
    /// The form; absent, text on a terminal and JSON otherwise.
    pub json: Option<bool>,
}

impl Default for LogConfig {
    fn default() -> LogConfig {
        LogConfig { level: "info".into(), json: None }
    }
}

/// The log while it is kept; the last lines are written when it is dropped.
pub struct Log {
    level: reload::Handle<Targets, Registry>,
    dropped: ErrorCounter,
    _guard: WorkerGuard,
}

/// Reads a level such as `info` or `info,copperspread_proxy=debug`.
///
/// # Errors
/// What it is not.
pub fn level(text: &str) -> Result<Targets, String> {
    // Guards against a misspelt level, which would pass for the name of a part.
    for part in text.split(',').map(str::trim) {
        let level = part.rsplit('=').next().unwrap_or_default();
        if level.is_empty() || level.parse::<LevelFilter>().is_err() {
            return Err(format!("{level:?} is no level; one of off, error, warn, info, debug, trace"));
        }
    }
    text.parse().map_err(|why| format!("{text:?}: {why}"))
}

/// RUST_LOG's level, or else the configuration's.
fn in_force(spec: &LogConfig) -> Result<Targets, String> {
    match std::env::var("RUST_LOG") {
        Ok(text) if !text.is_empty() => level(&text).map_err(|why| format!("RUST_LOG: {why}")),
        _ => level(&spec.level).map_err(|why| format!("log.level: {why}")),
    }
}

/// Begins the log.
///
/// # Errors
/// A level that is none.
pub fn begin(spec: &LogConfig) -> Result<Log, String> {
    let (level, handle) = reload::Layer::new(in_force(spec)?);
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE);
    let (writer, guard) = builder.thread_name("log").finish(stderr());
    let dropped = writer.error_counter();
    let json = spec.json.unwrap_or(!stderr().is_terminal());
    let begun = tracing_subscriber::registry().with(level).with(form(writer, json)).try_init();
    begun.map_err(|why| format!("log: {why}"))?;
    Ok(Log { level: handle, dropped, _guard: guard })
}

fn form<S: Subscriber + for<'a> LookupSpan<'a>>(
    writer: NonBlocking,
    json: bool,
) -> Box<dyn Layer<S> + Send + Sync> {
    let plain = fmt::layer().with_writer(writer).with_ansi(false);
    if json { plain.json().flatten_event(true).boxed() } else { plain.compact().boxed() }
}

impl Log {
    /// Takes a configuration's level while running. The form stays.
    ///
    /// # Errors
    /// A level that is none: the old one stays.
    pub fn follow(&self, spec: &LogConfig) -> Result<(), String> {
        self.level.reload(in_force(spec)?).map_err(|why| format!("log.level: {why}"))
    }

    /// Lines dropped so far.
    pub fn dropped(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

#[cfg(test)]
#[path = "../tests/unit/logging.rs"]
mod tests;
