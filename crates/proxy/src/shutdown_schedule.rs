//! The times of a graceful shutdown, which follow from the longest deadline of the configured request
//! classes.
//!
//! The supervisor kills the process (SIGKILL) no earlier than `K = min(longest deadline, 3 s) + 0.7 s` after
//! it has asked the process to stop (SIGTERM). The other times follow from `K`, within fixed limits, so that
//! a shutdown takes less time if the deadlines are short. With `D = max(K - 0.5 s, 0.5 s)`:
//!
//! | time after SIGTERM | what is certain from then on |
//! | --- | --- |
//! | `min(1 s, D)` | new connections are refused once no request is being read or answered |
//! | `D` | every request has its final response, and new connections are refused in any case |
//! | `D + 0.1 s` | the last responses are written and the connections are closed |
//! | `K - 0.2 s` | the process has exited |
//!
//! The process exits by `K - 0.2 s` even if one of its components waits for a disk or for another scheduler
//! process. If the longest deadline is under 0.1 s, `K - 0.2 s` is earlier than `D + 0.1 s`. The process then
//! exits at `K - 0.2 s` nevertheless, so less than 0.1 s is left for writing the last responses.
use std::time::Duration;

use copperspread_dispatcher::{Micros, SECOND};
use tokio::time::Instant;

/// The maximum, in microseconds, of the longest deadline when the time from SIGTERM to SIGKILL is computed.
/// If a request class has a longer deadline, this value is used instead.
const MAX_COUNTED_DEADLINE: Micros = 3 * SECOND;
/// The time from SIGTERM to SIGKILL beyond the longest deadline, in microseconds. The supervisor sends
/// SIGKILL no earlier than after this time plus the longest deadline (at most [`MAX_COUNTED_DEADLINE`]).
const KILL_DELAY: Micros = 700_000;
/// The time from the last final response to SIGKILL, in microseconds. Of this time, 0.1 s is for writing the
/// last responses. The other 0.4 s are for a process that is scheduled late or throttled.
const DRAIN_MARGIN: Micros = 500_000;
/// The time for writing the last responses, in microseconds.
pub(crate) const FINAL_WRITE_TIME: Micros = 100_000;
/// The minimum time from SIGTERM until every request must have its final response, in microseconds.
///
/// Clients may still open connections during the first 0.4 s after SIGTERM. A request on such a connection is
/// answered within another 0.1 s, so by 0.5 s after SIGTERM. The drain time must not end earlier. This
/// minimum also keeps the scheduler accepting connections for at least 0.5 s, which is longer than the 0.4 s
/// that are needed.
const MIN_DRAIN_TIME: Micros = 500_000;
/// The maximum time after SIGTERM, in microseconds, for which the scheduler keeps accepting new connections
/// while no request is being read or answered.
const MAX_LATE_CONNECTION_WINDOW: Micros = SECOND;
/// How long before the earliest SIGKILL the process must have exited, in microseconds.
const EXIT_MARGIN: Micros = 200_000;

/// The times of a graceful shutdown, in microseconds after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// The time after SIGTERM by which every request must have its final response, in microseconds.
    pub drain_time: Micros,
    /// The time after SIGTERM for which new connections are accepted even if no request is being read or
    /// answered, in microseconds.
    pub late_connection_window: Micros,
    /// The time after SIGTERM by which the process must have exited, in microseconds.
    pub exit_time: Micros,
}

impl ShutdownSchedule {
    /// Computes the times of a shutdown. `longest_deadline` is the longest deadline of all request classes,
    /// in microseconds.
    pub fn for_longest_deadline(longest_deadline: Micros) -> ShutdownSchedule {
        let kill_time = longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let drain_time = (kill_time - DRAIN_MARGIN).max(MIN_DRAIN_TIME);
        ShutdownSchedule {
            drain_time,
            late_connection_window: drain_time.min(MAX_LATE_CONNECTION_WINDOW),
            exit_time: kill_time - EXIT_MARGIN,
        }
    }

    /// Returns the deadlines of a shutdown, given the instant at which SIGTERM was received.
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
    /// The instant at which the process exits even if some of its tasks are still running.
    pub exit_deadline: Instant,
}

#[cfg(test)]
#[path = "../tests/unit/shutdown_schedule.rs"]
mod tests;
