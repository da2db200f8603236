//! Runs one scheduler process from its start to its shutdown.
//!
//! 1. [`run`] reads the configuration, then starts the log, the event log and the asynchronous runtime.
//! 2. `Scheduler::start` starts the components and the tasks that serve clients.
//! 3. `serve_until_terminated` reloads the configuration on SIGHUP and returns on SIGTERM.
//! 4. `Scheduler::shut_down` waits until the accepted requests are answered and ends the components.
//! 5. [`run`] ends the event log and the log before the supervisor sends a SIGKILL.
mod discovery_handle;
mod error;
mod event_log;
mod exit_budget;
mod reload;
mod scheduler;

use std::path::PathBuf;

use copperspread_event_log::writer::Recorder;
use tokio::runtime::Runtime;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::{Instant, sleep_until};

use crate::configuration::{ConfigSource, LoadedConfig};
use crate::logging::{self, Log};
pub(crate) use error::StartError;
use event_log::EventLog;
use exit_budget::{ExitBudget, run_with_timeout};
use reload::Reloader;
use scheduler::Scheduler;

/// Options of the `serve` command, from the command line and the environment.
pub(crate) struct ServeOptions {
    /// Where the configuration is read from, at the start and again on SIGHUP.
    pub(crate) source: ConfigSource,
    /// Whether a toy worker runs in this process in place of the first worker of the static endpoint list.
    #[cfg(feature = "toy")]
    pub(crate) with_toy_worker: bool,
    /// Path of the event log's file, or `-` for standard error. If set, the event log settings of the
    /// configuration are ignored.
    pub(crate) event_log_file: Option<PathBuf>,
}

/// Runs one scheduler: reads the configuration, serves clients until SIGTERM and shuts down.
///
/// # Errors
/// Fails if the configuration cannot be read or is not valid, or if a component does not start.
pub(crate) fn run(options: &ServeOptions) -> Result<(), StartError> {
    let config = options.source.load()?;
    let log = logging::start(&config.log)?;
    let command_line_config = options.event_log_file.as_deref().map(event_log::config_for_file);
    let event_log = EventLog::open(command_line_config.or_else(|| config.event_log.clone()))?;
    let runtime = single_threaded_runtime()?;
    let served = runtime.block_on(serve(options, &config, &log, event_log.recorder()));
    let exit_budget = *served.as_ref().unwrap_or(&ExitBudget::for_failed_start());
    event_log.close(exit_budget.event_log_timeout());
    // The asynchronous runtime runs blocking work, such as a name lookup, on separate threads. The process
    // exits without waiting for these threads, because such work may last longer than the time left.
    runtime.shutdown_background();
    run_with_timeout(exit_budget.log_timeout(), move || drop(log));
    served.map(|_| ())
}

/// Creates an asynchronous runtime with a single thread for all tasks. The scheduler is designed for machines
/// with one core.
///
/// # Errors
/// Fails if the operating system refuses a resource that the runtime needs.
pub(crate) fn single_threaded_runtime() -> Result<Runtime, StartError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartError::Runtime)
}

/// Starts the scheduler, serves clients until SIGTERM and shuts the scheduler down. Returns the time that is
/// left for ending the event log and the log.
async fn serve(
    options: &ServeOptions,
    config: &LoadedConfig,
    log: &Log,
    recorder: &Recorder,
) -> Result<ExitBudget, StartError> {
    // The signal handlers are installed before the scheduler starts. Otherwise a SIGHUP during the start
    // would kill the process.
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

/// The signals that the process receives: SIGTERM ends the scheduler, and SIGHUP reloads the configuration.
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

/// Reloads the configuration on each SIGHUP and returns on SIGTERM.
///
/// After a SIGHUP, the configuration file may still be incomplete, so the reloader may check the file again
/// later. A check or reload that is still pending at SIGTERM does not take place.
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
