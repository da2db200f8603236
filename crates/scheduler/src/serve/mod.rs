//! One scheduler from its start to its end.
//!
//! 1. [`run`] reads the configuration, then starts the log, the event log and the runtime.
//! 2. `Scheduler::start` starts the parts and serves.
//! 3. `serve_until_terminated` waits; SIGHUP reloads the configuration, SIGTERM ends the wait.
//! 4. `Scheduler::shut_down` answers what was accepted and ends.
//! 5. [`run`] ends the event log and the log, within the time before the SIGKILL.
mod bounded_end;
mod discovery_handle;
mod error;
mod event_log;
mod reload;
mod scheduler;

use std::path::PathBuf;

use copperspread_event_log::writer::Recorder;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep_until};

use crate::configuration::{ConfigSource, LoadedConfig};
use crate::logging::{self, Log};
use bounded_end::{EndDeadlines, run_bounded};
pub(crate) use error::StartError;
use event_log::EventLog;
use reload::Reloader;
use scheduler::Scheduler;

/// What the command line says about serving.
pub(crate) struct ServeOptions {
    /// Where the configuration is read.
    pub(crate) source: ConfigSource,
    /// Whether a toy worker runs in place of the first one listed.
    #[cfg(feature = "toy")]
    pub(crate) with_toy_worker: bool,
    /// The event log's file; takes precedence over the configuration's.
    pub(crate) event_log_file: Option<PathBuf>,
}

/// Serves until SIGTERM.
///
/// # Errors
/// A configuration that cannot be used, or a part that does not start.
pub(crate) fn run(options: &ServeOptions) -> Result<(), StartError> {
    let config = options.source.load()?;
    let log = logging::start(&config.log)?;
    let spec_of_command_line = options.event_log_file.as_deref().map(event_log::spec_of_command_line);
    let event_log = EventLog::open(spec_of_command_line.or_else(|| config.event_log.clone()))?;
    let runtime = single_threaded_runtime()?;
    let served = runtime.block_on(serve(options, &config, &log, event_log.recorder()));
    let deadlines = *served.as_ref().unwrap_or(&EndDeadlines::of_failed_start());
    event_log.close(deadlines.event_log_wait());
    // What its threads still do, such as to look a name up, is not waited for.
    runtime.shutdown_background();
    run_bounded(deadlines.log_wait(), move || drop(log));
    served.map(|_| ())
}

/// A runtime for a machine with one core: one thread does all the work.
///
/// # Errors
/// What the system refused.
pub(crate) fn single_threaded_runtime() -> Result<Runtime, StartError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)
}

/// Returns until when the parts that are left may end.
async fn serve(
    options: &ServeOptions,
    config: &LoadedConfig,
    log: &Log,
    recorder: &Recorder,
) -> Result<EndDeadlines, StartError> {
    // Kept until the end: without the handler, a SIGHUP during the shutdown would kill the process.
    let mut signals = Signals::install()?;
    let scheduler = Scheduler::start(config, recorder).await?;
    #[cfg(feature = "toy")]
    if options.with_toy_worker {
        scheduler::spawn_toy_worker(&config.startup)?;
    }
    let mut reloader = Reloader::new(&options.source, config, scheduler.discovery(), log);
    serve_until_terminated(&mut signals, &mut reloader).await;
    Ok(scheduler.shut_down(log, recorder).await)
}

/// The signals that the scheduler handles.
struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn install() -> Result<Signals, StartError> {
        let install = |kind| signal(kind).map_err(StartError::Signals);
        Ok(Signals { terminate: install(SignalKind::terminate())?, hangup: install(SignalKind::hangup())? })
    }
}

/// Waits for SIGTERM and reloads on SIGHUP. A reload that still waits for its file at SIGTERM is dropped.
async fn serve_until_terminated(signals: &mut Signals, reloader: &mut Reloader<'_>) {
    loop {
        let next_check = reloader.next_check();
        tokio::select! {
            biased;
            _ = signals.terminate.recv() => return,
            _ = signals.hangup.recv() => reloader.request_reload(),
            () = sleep_until(next_check.unwrap_or_else(Instant::now)), if next_check.is_some() => {
                reloader.check_pending();
            }
        }
    }
}
