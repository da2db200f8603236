//! The times of a graceful shutdown, which follow from the longest deadline of the settings in force.
//!
//! The supervisor sends SIGKILL no sooner than `min(longest deadline, 3 s) + 0.7 s` after SIGTERM. All times here are
//! counted back from that instant, so that short deadlines end a shutdown sooner. With `K` for it:
//!
//! | time after SIGTERM | what happens |
//! | --- | --- |
//! | `min(1 s, K - 0.5 s)` | new connections are refused from here on, if all is answered |
//! | `K - 0.5 s`, at least 0.5 s | every request has its final response |
//! | 0.1 s later | connections are closed |
//! | `K - 0.2 s` | the process has ended, also where a disk or another scheduler keeps it waiting |
use std::time::Duration;

use copperspread_dispatcher::{Micros, SECOND};
use tokio::time::Instant;

/// Of the longest deadline, no more than this counts for the SIGKILL.
const MAX_COUNTED_DEADLINE: Micros = 3 * SECOND;
/// The SIGKILL follows the counted deadline by this much at the soonest.
const KILL_DELAY: Micros = 700_000;
/// Requests are answered this long before the SIGKILL: a tenth of a second to write the last responses, and the rest
/// for a process that reads its clock late or waits for its part of a core.
const DRAIN_MARGIN: Micros = 500_000;
/// Time for the last responses to be written.
pub(crate) const FINAL_WRITE_TIME: Micros = 100_000;
/// New connections keep coming for 0.4 s at most; a tenth of a second more, and the last of them are answered.
const MIN_DRAIN_TIME: Micros = 500_000;
/// The longest time that new connections are waited for where nothing else is left to do.
const MAX_LATE_CONNECTION_WINDOW: Micros = SECOND;
/// The process ends this long before the SIGKILL.
const EXIT_MARGIN: Micros = 200_000;

/// The times of a shutdown, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// All requests are answered by then.
    pub drain_time: Micros,
    /// New connections are waited for until then.
    pub late_connection_window: Micros,
    /// The process has ended by then.
    pub exit_time: Micros,
}

impl ShutdownSchedule {
    /// The schedule where clients wait for `longest_deadline` at most.
    pub fn for_longest_deadline(longest_deadline: Micros) -> ShutdownSchedule {
        let kill_time = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let drain_time = (kill_time - DRAIN_MARGIN).max(MIN_DRAIN_TIME);
        ShutdownSchedule {
            drain_time,
            late_connection_window: drain_time.min(MAX_LATE_CONNECTION_WINDOW),
            exit_time: kill_time - EXIT_MARGIN,
        }
    }

    /// The deadlines of a shutdown that begins at an instant.
    pub(crate) fn deadlines_from(&self, sigterm_at: Instant) -> ShutdownDeadlines {
        let after = |span| sigterm_at + Duration::from_micros(span);
        ShutdownDeadlines {
            drain_deadline: after(self.drain_time),
            late_connections_until: after(self.late_connection_window),
            exit_deadline: after(self.exit_time),
        }
    }
}

/// The deadlines of a shutdown that has begun.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDeadlines {
    pub(crate) drain_deadline: Instant,
    pub(crate) late_connections_until: Instant,
    /// What still runs at this instant is not waited for.
    pub exit_deadline: Instant,
}

#[cfg(test)]
#[path = "../tests/unit/shutdown_schedule.rs"]
mod tests;
