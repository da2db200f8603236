//! Estimates when workers started, on the scheduler's clock.
//!
//! Discovery reports the time of a worker's start as Unix time, but the wall clock may be changed before this
//! program starts or while it runs. If the start is estimated too early, the worker gets more requests than
//! it can handle during its slow start, the time in which a new worker reaches its full capacity.
//!
//! The scheduler's clock is set from the wall clock when this program starts, and does not follow later
//! changes of the wall clock. If the wall clock is then set back, it is behind the scheduler's clock. A start
//! time that is listed after that is too early by this lag.
//!
//! It is unknown whether a listed start happened before or after such a change. The largest lag found so far
//! is therefore always added to the listed time, which gives the latest possible start. The estimate is never
//! later than the receipt of the list.
//!
//! Two cases are estimated differently: a listed start that contradicts earlier lists, and a listed start in
//! the future in the first list (see [`WorkerStarts::estimate`]).
use copperspread_dispatcher::{Micros, SECOND};

use crate::clock::ClockReading;

/// How long before discovery's last answer a worker may have started although that answer did not list the
/// start, in microseconds. A restarted worker registers late, and the list may reach the scheduler seconds
/// later.
///
/// Outages of discovery are not included, because there are no answers during an outage.
///
/// If the listed time of a new start is more than this value before discovery's last answer, the wall clock
/// is assumed to have been changed. The worker then counts as just started. If the wall clock was not
/// changed, the worker really started longer ago than this value. This value is longer than every slow start
/// that the platform specifies, so that the worker has completed its slow start. Counted as just started, it
/// only gets fewer requests than it could handle, for the time of another slow start.
const MAX_LIST_DELAY: Micros = 30 * SECOND;
/// The smallest difference between the scheduler's clock and the wall clock that counts as a change of the
/// wall clock, in microseconds. A smaller difference may only show that the process was delayed between
/// reading the two clocks.
const MIN_CLOCK_STEP: Micros = SECOND / 2;
/// The time after the start of this program within which a received endpoint list may count as the first
/// list, in microseconds. A list that arrives within this time counts as first unless discovery has answered
/// before. If discovery is reachable, its first answer arrives within this time.
const FIRST_LIST_DELAY: Micros = 3 * SECOND;

/// Estimates workers' start times. The estimates use how far the wall clock was found to be behind the
/// scheduler's clock, and when discovery last answered.
#[derive(Debug, Default)]
pub(crate) struct WorkerStarts {
    /// The largest amount by which the wall clock was found to be behind the scheduler's clock since this
    /// program started, in microseconds. The scheduler's clock does not follow changes of the wall clock. If
    /// the wall clock is set back, a start time that is listed after that is too early by up to this amount.
    largest_step_back: Micros,
    /// The time of discovery's last answer, in microseconds on the scheduler's clock. If a later answer lists
    /// a new start, the worker is assumed to have started at most [`MAX_LIST_DELAY`] before this time.
    last_answered_at: Option<Micros>,
}

impl WorkerStarts {
    /// Compares the scheduler's clock with the wall clock, and records how far the wall clock is behind the
    /// scheduler's clock. Must be called for each received list before the start times in the list are
    /// estimated.
    pub(crate) fn observe_clocks(&mut self, reading: ClockReading) {
        let step_back = reading.now.saturating_sub(reading.unix);
        if step_back >= MIN_CLOCK_STEP {
            self.largest_step_back = self.largest_step_back.max(step_back);
        }
    }

    /// Records the time of an answer of discovery. Must be called after all start times in the answer have
    /// been estimated, because the estimates use the time of the previous answer.
    pub(crate) fn record_answer(&mut self, reading: ClockReading) {
        self.last_answered_at = Some(reading.now);
    }

    /// Forgets the time of discovery's last answer. Called when the next list comes from another discovery
    /// service, which may know other workers.
    pub(crate) fn forget_last_answer(&mut self) {
        self.last_answered_at = None;
    }

    /// Estimates when a worker started, given the start time `listed` of a list that has just been received.
    /// Call this method only if `listed` differs from the start time that was listed before for the same
    /// worker.
    ///
    /// `listed` is in microseconds of Unix time. The result is in microseconds since the Unix epoch, on the
    /// scheduler's clock. `reading` holds the times of the scheduler's clock and of the wall clock when the
    /// list was received.
    ///
    /// If the start is so old that discovery's previous answer should have contained it (see
    /// [`MAX_LIST_DELAY`]), `listed` is assumed to be wrong. The worker then counts as just started: the
    /// result is the time of the scheduler's clock in `reading`. If `listed` is in the future and the list is
    /// the first list, the result is a time just before the start of this program.
    pub(crate) fn estimate(&self, listed: Micros, reading: ClockReading) -> Micros {
        // The worker may have started before or after the wall clock was set back. If before, `listed` is the
        // start on the scheduler's clock. If after, the lag of the wall clock must be added. The later time
        // is used, because a worker gets too many requests if its start is estimated too early.
        let latest = listed.saturating_add(self.largest_step_back);
        let contradicts_lists =
            self.last_answered_at.is_some_and(|at| latest.saturating_add(MAX_LIST_DELAY) < at);
        if contradicts_lists {
            return reading.now;
        }
        if latest > reading.now && self.is_first_list(reading) {
            // The listed time is in the future of the scheduler's clock. The worker must have started before
            // the wall clock was set back, and that was before this program started: the scheduler's clock
            // has not followed the wall clock since then. A previous process of this scheduler may have sent
            // requests to the worker. The returned start time is therefore before the start of this program.
            // For such a worker, the dispatch policy allows for a previous process that has used this
            // scheduler's whole share of the worker's slow-start capacity. At first, the policy sends the
            // worker nothing.
            return reading.started_at.saturating_sub(1);
        }
        latest.min(reading.now)
    }

    fn is_first_list(&self, reading: ClockReading) -> bool {
        self.last_answered_at.is_none() && reading.now <= reading.started_at.saturating_add(FIRST_LIST_DELAY)
    }
}
