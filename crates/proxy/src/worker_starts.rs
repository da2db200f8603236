//! Estimates of workers' start times on the scheduler's clock.
//!
//! Discovery reports a worker's start in Unix time, and the wall clock may be set before this program starts
//! or while it runs. A worker whose start is estimated too early gets more requests than it can handle during
//! its slow start. The estimate is therefore the latest time that the listed start can mean, given the
//! observed steps of the wall clock, but no later than the time at which the list was received. Two cases are
//! estimated differently: a start that contradicts earlier lists, and a start in the future in the first list
//! (see [`WorkerStarts::estimate`]).
use copperspread_dispatcher::{Micros, SECOND};

use crate::clock::ClockReading;

/// How much earlier than discovery's last answer a worker may have started although that answer did not list
/// the start. A restarted worker registers late, and the list may reach the scheduler seconds later.
///
/// Outages of discovery are not included, because there are no answers during an outage. If a new start is
/// listed with an older time, the wall clock is assumed to have been set. The value is longer than every slow
/// start that the platform specifies, so that a wrong assumption has little effect.
const MAX_LIST_DELAY: Micros = 30 * SECOND;
/// The smallest difference between the scheduler's clock and the wall clock that counts as a step of the wall
/// clock. Smaller differences can arise when the process is delayed between reading the two clocks.
const MIN_CLOCK_STEP: Micros = SECOND / 2;
/// The time after the program's start within which a list counts as the first endpoint list. If discovery is
/// reachable, the first list arrives within this time.
const FIRST_LIST_DELAY: Micros = 3 * SECOND;

/// Estimates workers' start times from the observed steps of the wall clock and the times of discovery's
/// answers.
#[derive(Debug, Default)]
pub(crate) struct WorkerStarts {
    /// The largest amount by which the wall clock was observed to be behind the scheduler's clock since the
    /// program started. A listed start may be too early by up to this amount.
    largest_step_back: Micros,
    /// When discovery last answered. A start that is listed for the first time after that answer is assumed
    /// to be at most [`MAX_LIST_DELAY`] earlier than the answer.
    last_answered_at: Option<Micros>,
}

impl WorkerStarts {
    /// Compares the two clocks when a list is received, and records how far the wall clock is behind. Must be
    /// called before the start times in the list are estimated.
    pub(crate) fn observe_clocks(&mut self, reading: ClockReading) {
        let step_back = reading.now.saturating_sub(reading.unix);
        if step_back >= MIN_CLOCK_STEP {
            self.largest_step_back = self.largest_step_back.max(step_back);
        }
    }

    /// Records the time of an answer of discovery. Must be called after all start times in the answer have
    /// been estimated, since these estimates refer to the previous answer.
    pub(crate) fn record_answer(&mut self, reading: ClockReading) {
        self.last_answered_at = Some(reading.now);
    }

    /// Forgets the time of the last answer, because the next list comes from another discovery service, which
    /// may know other workers.
    pub(crate) fn forget_last_answer(&mut self) {
        self.last_answered_at = None;
    }

    /// Estimates, on the scheduler's clock, a start that the last answer did not contain.
    ///
    /// If the listed time is so old that earlier lists should have contained the start, the time at which the
    /// clocks were read is returned. If the listed time lies in the future when the first list is received, a
    /// time just before the start of this program is returned.
    pub(crate) fn estimate(&self, listed: Micros, reading: ClockReading) -> Micros {
        // The worker may have started before the wall clock was set back or after, so the later possible time
        // is used.
        let latest = listed.saturating_add(self.largest_step_back);
        let contradicts_lists =
            self.last_answered_at.is_some_and(|at| latest.saturating_add(MAX_LIST_DELAY) < at);
        if contradicts_lists {
            return reading.now;
        }
        if latest > reading.now && self.is_first_list(reading) {
            // The listed time is in the future, so the wall clock was set back before this program started,
            // after the worker had started. A previous process of this scheduler may have sent requests to
            // the worker. The estimate is therefore before the start of this program, and the slow start
            // takes those requests into account.
            return reading.started_at.saturating_sub(1);
        }
        latest.min(reading.now)
    }

    fn is_first_list(&self, reading: ClockReading) -> bool {
        self.last_answered_at.is_none() && reading.now <= reading.started_at.saturating_add(FIRST_LIST_DELAY)
    }
}
