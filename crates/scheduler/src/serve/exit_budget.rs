//! Limits the time for ending each component of a scheduler. The process then exits in time even if a
//! component hangs, for example on a disk.
use std::sync::mpsc::{RecvTimeoutError, sync_channel};
use std::thread;
use std::time::{Duration, Instant};

/// The time before the exit deadline that is kept free for writing the last log lines.
const LOG_RESERVE: Duration = Duration::from_millis(50);
/// The time that is kept free for writing the last events to the event log. The components end in the order
/// membership, event log, log. When the wait for membership ends, `EVENT_LOG_RESERVE` plus `LOG_RESERVE` must
/// therefore still be left until the exit deadline.
#[cfg(feature = "standalone")]
const EVENT_LOG_RESERVE: Duration = Duration::from_millis(100);
/// Longest time that the process waits until the last events are written to the event log. The limit also
/// applies if the exit deadline is later, so that a hanging disk does not delay the exit until then.
const MAX_EVENT_LOG_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that ending the event log and the log may take after a scheduler has failed to start.
const FAILED_START_EXIT_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that is left for ending the components of a scheduler before the process must exit.
///
/// The components end one after another: first membership, then the event log, then the log. Each component
/// may take the time until the exit deadline, minus the time that is kept free for later components.
#[derive(Clone, Copy, Debug)]
pub(super) struct ExitBudget {
    exit_deadline: Instant,
}

impl ExitBudget {
    /// Creates the budget of a scheduler process that must exit by `exit_deadline`.
    pub(super) fn until(exit_deadline: Instant) -> ExitBudget {
        ExitBudget { exit_deadline }
    }

    /// Creates the budget of a process whose scheduler failed to start. In this case no supervisor waits to
    /// send a SIGKILL. The exit deadline is therefore simply `FAILED_START_EXIT_TIMEOUT` from now.
    pub(super) fn for_failed_start() -> ExitBudget {
        ExitBudget { exit_deadline: Instant::now() + FAILED_START_EXIT_TIMEOUT }
    }

    /// Returns how long to wait at most, from now, until the membership threads have ended.
    #[cfg(feature = "standalone")]
    pub(super) fn membership_timeout(&self) -> Duration {
        self.time_left_before(LOG_RESERVE + EVENT_LOG_RESERVE)
    }

    /// Returns how long to wait at most, from now, until the last events are written to the event log.
    pub(super) fn event_log_timeout(&self) -> Duration {
        self.time_left_before(LOG_RESERVE).min(MAX_EVENT_LOG_TIMEOUT)
    }

    /// Returns how long to wait at most, from now, until the last log lines are written.
    pub(super) fn log_timeout(&self) -> Duration {
        self.time_left_before(Duration::ZERO)
    }

    /// Returns the time from now until the exit deadline, minus `reserved`. Returns zero if no time is left.
    fn time_left_before(&self, reserved: Duration) -> Duration {
        self.exit_deadline.saturating_duration_since(Instant::now()).saturating_sub(reserved)
    }
}

/// Runs `work`, which may hang, in a separate thread, and waits at most `timeout` until `work` has ended.
/// Returns whether `work` ended in that time. If not, the thread continues until the process exits.
pub(super) fn run_with_timeout(timeout: Duration, work: impl FnOnce() + Send + 'static) -> bool {
    let (end_sender, ended) = sync_channel::<()>(0);
    let run = move || {
        work();
        drop(end_sender);
    };
    // If the thread cannot be started, `work` and the values in it are dropped in the calling thread. In that
    // case `timeout` does not limit how long the drop takes.
    let is_started = thread::Builder::new().name("end".into()).spawn(run).is_ok();
    is_started && matches!(ended.recv_timeout(timeout), Err(RecvTimeoutError::Disconnected))
}

#[cfg(test)]
#[path = "../../tests/unit/exit_budget.rs"]
mod tests;
