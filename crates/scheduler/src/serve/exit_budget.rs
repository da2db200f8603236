//! Time limits for ending the components of a scheduler, so that the process exits in time even if a
//! component hangs, for example on a disk.
use std::sync::mpsc::{RecvTimeoutError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// Length of the period directly before the exit deadline that is reserved for writing the last log lines.
const LOG_RESERVE: Duration = Duration::from_millis(50);
/// Length of the period that is reserved for writing the last events to the event log. The components end in
/// the order membership, event log, log. The wait for membership therefore leaves both this period and
/// `LOG_RESERVE` before the exit deadline.
#[cfg(feature = "standalone")]
const EVENT_LOG_RESERVE: Duration = Duration::from_millis(100);
/// Longest wait for the event log to write its last events, even if the exit deadline is later.
const MAX_EVENT_LOG_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for ending the event log and the log after a scheduler has failed to start.
const FAILED_START_EXIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Limits how long the process waits for its components to end before it must exit.
///
/// The components end one after another: first membership, then the event log, then the log. Each component
/// may take the time left until the exit deadline, minus the time reserved for later components.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExitBudget {
    exit_deadline: Instant,
}

impl ExitBudget {
    /// Creates the budget of a process that must exit by `exit_deadline`.
    pub(super) fn until(exit_deadline: Instant) -> ExitBudget {
        ExitBudget { exit_deadline }
    }

    /// Creates the budget of a process whose scheduler failed to start. No supervisor then waits to send a
    /// SIGKILL, so the exit deadline is a fixed time from now, `FAILED_START_EXIT_TIMEOUT`.
    pub(super) fn for_failed_start() -> ExitBudget {
        ExitBudget { exit_deadline: Instant::now() + FAILED_START_EXIT_TIMEOUT }
    }

    /// Returns the longest time to wait from now until the membership threads have ended.
    #[cfg(feature = "standalone")]
    pub(super) fn membership_timeout(&self) -> Duration {
        self.time_left_before(LOG_RESERVE + EVENT_LOG_RESERVE)
    }

    /// Returns the longest time to wait from now until the event log has written its last events.
    pub(super) fn event_log_timeout(&self) -> Duration {
        self.time_left_before(LOG_RESERVE).min(MAX_EVENT_LOG_TIMEOUT)
    }

    /// Returns the longest time to wait from now until the log has written its last lines.
    pub(super) fn log_timeout(&self) -> Duration {
        self.time_left_before(Duration::ZERO)
    }

    /// Returns the time from now until the exit deadline minus `reserved`, or zero if no time is left.
    fn time_left_before(&self, reserved: Duration) -> Duration {
        self.exit_deadline.saturating_duration_since(Instant::now()).saturating_sub(reserved)
    }
}

/// Runs `work`, which may hang, in a separate thread and waits up to `timeout` until `work` has ended.
/// Returns whether `work` has ended in that time. Otherwise the thread continues until the process exits.
pub(super) fn run_with_timeout(timeout: Duration, work: impl FnOnce() + Send + 'static) -> bool {
    let (end_sender, ended) = sync_channel::<()>(0);
    let run = move || {
        work();
        drop(end_sender);
    };
    // If the thread cannot be started, `work` and the values that `work` owns are dropped in the calling
    // thread. `timeout` does not limit how long these drops take.
    let is_started = thread::Builder::new().name("end".into()).spawn(run).is_ok();
    is_started && matches!(ended.recv_timeout(timeout), Err(RecvTimeoutError::Disconnected))
}

#[cfg(test)]
#[path = "../../tests/unit/exit_budget.rs"]
mod tests;
