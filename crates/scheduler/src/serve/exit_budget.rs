//! Ends parts that may hang, such as on a disk, within a time.
use std::sync::mpsc::{RecvTimeoutError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Kept of the time up to the exit for the last lines of the log.
const LOG_TIME: Duration = Duration::from_millis(50);
/// Kept for the event log's last events, before that. Only membership ends before the event log.
#[cfg(feature = "standalone")]
const EVENT_LOG_TIME: Duration = Duration::from_millis(100);
/// Longest wait for the event log, also where the exit is not due yet.
const MAX_EVENT_LOG_WAIT: Duration = Duration::from_secs(1);
/// Time for the end of a scheduler that did not start.
const FAILED_START_TIME: Duration = Duration::from_secs(2);

/// Until when the parts of a scheduler whose requests are answered are waited for, one after the other.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndDeadlines {
    exit: Instant,
}

impl EndDeadlines {
    /// The process ends at this instant at the latest.
    pub(super) fn before_exit(exit: Instant) -> EndDeadlines {
        EndDeadlines { exit }
    }

    /// Those of a scheduler that did not start: no supervisor waits to kill it.
    pub(super) fn of_failed_start() -> EndDeadlines {
        EndDeadlines { exit: Instant::now() + FAILED_START_TIME }
    }

    /// How long membership is waited for.
    #[cfg(feature = "standalone")]
    pub(super) fn membership_wait(&self) -> Duration {
        self.time_left_before(LOG_TIME + EVENT_LOG_TIME)
    }

    /// How long the event log is waited for.
    pub(super) fn event_log_wait(&self) -> Duration {
        self.time_left_before(LOG_TIME).min(MAX_EVENT_LOG_WAIT)
    }

    /// How long the log is waited for.
    pub(super) fn log_wait(&self) -> Duration {
        self.time_left_before(Duration::ZERO)
    }

    fn time_left_before(&self, reserved: Duration) -> Duration {
        self.exit.saturating_duration_since(Instant::now()).saturating_sub(reserved)
    }
}

/// Runs work that may hang in a thread of its own, and waits for its end so long at most; whether it ended.
pub(super) fn run_bounded(max_wait: Duration, work: impl FnOnce() + Send + 'static) -> bool {
    let (end_sender, ended) = sync_channel::<()>(0);
    let run = move || {
        work();
        drop(end_sender);
    };
    // Without a thread the work is dropped, and what it owns with it.
    let is_started = thread::Builder::new().name("end".into()).spawn(run).is_ok();
    is_started && matches!(ended.recv_timeout(max_wait), Err(RecvTimeoutError::Disconnected))
}

#[cfg(test)]
#[path = "../../tests/unit/bounded_end.rs"]
mod tests;
