//! Time limits for ending components that may hang, for example on a disk, before the process must exit.
use std::sync::mpsc::{RecvTimeoutError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Time reserved before the exit deadline for writing the last log lines.
const LOG_RESERVE: Duration = Duration::from_millis(50);
/// Time reserved before `LOG_RESERVE` for writing the last events. Membership ends before the event log, so
/// the wait for membership keeps both reserves free.
#[cfg(feature = "standalone")]
const EVENT_LOG_RESERVE: Duration = Duration::from_millis(100);
/// Longest wait for the event log, even if the exit deadline is later.
const MAX_EVENT_LOG_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for ending the components of a scheduler that failed to start.
const FAILED_START_EXIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The time left until the process must exit, for the components that end one after another once the last
/// requests have ended. Each component may take the time that is left, less the time reserved for the
/// components that end later.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExitBudget {
    exit_deadline: Instant,
}

impl ExitBudget {
    /// Creates the budget of a process that must exit by this instant.
    pub(super) fn until(exit_deadline: Instant) -> ExitBudget {
        ExitBudget { exit_deadline }
    }

    /// Creates the budget after a failed start, where no supervisor is waiting to send a SIGKILL.
    pub(super) fn for_failed_start() -> ExitBudget {
        ExitBudget { exit_deadline: Instant::now() + FAILED_START_EXIT_TIMEOUT }
    }

    /// Returns how long to wait for membership to end.
    #[cfg(feature = "standalone")]
    pub(super) fn membership_timeout(&self) -> Duration {
        self.time_left_before(LOG_RESERVE + EVENT_LOG_RESERVE)
    }

    /// Returns how long to wait for the event log to end.
    pub(super) fn event_log_timeout(&self) -> Duration {
        self.time_left_before(LOG_RESERVE).min(MAX_EVENT_LOG_TIMEOUT)
    }

    /// Returns how long to wait for the log to end.
    pub(super) fn log_timeout(&self) -> Duration {
        self.time_left_before(Duration::ZERO)
    }

    /// Returns the time left until `reserved` before the exit deadline.
    fn time_left_before(&self, reserved: Duration) -> Duration {
        self.exit_deadline.saturating_duration_since(Instant::now()).saturating_sub(reserved)
    }
}

/// Runs `work`, which may hang, in a separate thread and waits for it up to `timeout`. Returns whether it
/// ended; if not, the thread goes on until the process exits.
pub(super) fn run_with_timeout(timeout: Duration, work: impl FnOnce() + Send + 'static) -> bool {
    let (end_sender, ended) = sync_channel::<()>(0);
    let run = move || {
        work();
        drop(end_sender);
    };
    // If the thread cannot be started, the work and everything that it owns are dropped in this thread,
    // without the time limit.
    let is_started = thread::Builder::new().name("end".into()).spawn(run).is_ok();
    is_started && matches!(ended.recv_timeout(timeout), Err(RecvTimeoutError::Disconnected))
}

#[cfg(test)]
#[path = "../../tests/unit/exit_budget.rs"]
mod tests;
