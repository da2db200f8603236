//! The schedule of a graceful shutdown, which is derived from the longest deadline of the settings in force.
//!
//! The supervisor sends SIGKILL no earlier than `K = min(longest deadline, 3 s) + 0.7 s` after SIGTERM. All
//! times are derived backwards from `K`, so that a shutdown takes less time if the deadlines are short. With
//! `D = max(K - 0.5 s, 0.5 s)`:
//!
//! | time after SIGTERM | what has happened by then |
//! | --- | --- |
//! | `min(1 s, D)` | new connections are refused from this time on if no request is outstanding |
//! | `D` | every request has its final response |
//! | `D + 0.1 s` | the last responses are written and the connections are closed |
//! | `K - 0.2 s` | the process has exited, even if a disk or another scheduler process delays it |
use std::time::Duration;

use copperspread_dispatcher::{Micros, SECOND};
use tokio::time::Instant;

/// The maximum part of the longest deadline that counts towards the time from SIGTERM to SIGKILL.
const MAX_COUNTED_DEADLINE: Micros = 3 * SECOND;
/// The time from SIGTERM to SIGKILL in addition to the longest deadline, which is limited to
/// [`MAX_COUNTED_DEADLINE`]. The supervisor sends SIGKILL no earlier than after the sum of the two.
const KILL_DELAY: Micros = 700_000;
/// How long before SIGKILL every request has its final response. Of this time, 0.1 s is for writing the last
/// responses, and 0.4 s is for delays of a process that is scheduled late or throttled.
const DRAIN_MARGIN: Micros = 500_000;
/// The time allowed for writing the last responses.
pub(crate) const FINAL_WRITE_TIME: Micros = 100_000;
/// The minimum time from SIGTERM until every request has its final response. New connections arrive until up
/// to 0.4 s after SIGTERM, and their requests are answered within another 0.1 s.
const MIN_DRAIN_TIME: Micros = 500_000;
/// The maximum time after SIGTERM for which the scheduler waits for new connections although no request is
/// outstanding.
const MAX_LATE_CONNECTION_WINDOW: Micros = SECOND;
/// How long before SIGKILL the process exits.
const EXIT_MARGIN: Micros = 200_000;

/// The times of a graceful shutdown, in microseconds after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// The time by which every request has its final response.
    pub drain_time: Micros,
    /// How long after SIGTERM new connections are accepted even if no request is outstanding.
    pub late_connection_window: Micros,
    /// The time by which the process has exited.
    pub exit_time: Micros,
}

impl ShutdownSchedule {
    /// Computes the schedule for the longest deadline of all request classes, in microseconds.
    pub fn for_longest_deadline(longest_deadline: Micros) -> ShutdownSchedule {
        let kill_time = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let drain_time = (kill_time - DRAIN_MARGIN).max(MIN_DRAIN_TIME);
        ShutdownSchedule {
            drain_time,
            late_connection_window: drain_time.min(MAX_LATE_CONNECTION_WINDOW),
            exit_time: kill_time - EXIT_MARGIN,
        }
    }

    /// The deadlines of a shutdown whose SIGTERM was received at `sigterm_at`.
    pub(crate) fn deadlines_from(&self, sigterm_at: Instant) -> ShutdownDeadlines {
        let after = |span| sigterm_at + Duration::from_micros(span);
        ShutdownDeadlines {
            drain_deadline: after(self.drain_time),
            late_connections_until: after(self.late_connection_window),
            exit_deadline: after(self.exit_time),
        }
    }
}

/// The deadlines of a shutdown that has begun, as instants.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownDeadlines {
    pub(crate) drain_deadline: Instant,
    pub(crate) late_connections_until: Instant,
    /// The instant at which the process exits without waiting for tasks that are still running.
    pub exit_deadline: Instant,
}

#[cfg(test)]
#[path = "../tests/unit/shutdown_schedule.rs"]
mod tests;
