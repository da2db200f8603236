//! Estimates of workers' start times on the scheduler's clock.
//!
//! Discovery reports a worker's start in Unix time, and the wall clock may be set before this program starts
//! or while it runs. A worker whose start is estimated too early gets more requests than it can handle during
//! its slow start. The estimate is therefore the latest start that the listed time can mean, but no later
//! than the reading of the clocks at which the list was received. [`WorkerStarts::estimate`] has two
//! exceptions.
use copperspread_dispatcher::{Micros, SECOND};

use crate::clock::ClockReading;

/// How much earlier than discovery's last answer a worker may have started without being listed in that
/// answer, because a restarted worker registers late and the list may reach the scheduler seconds later. An
/// outage of discovery is not included, because there are no answers during an outage. If a listed start is
/// older, the wall clock is assumed to have been set. The value is longer than every slow start that the
/// platform specifies, so that a wrong assumption has little effect.
const MAX_LIST_DELAY: Micros = 30 * SECOND;
/// The smallest difference of the clocks that counts as a step of the wall clock. Smaller differences can
/// arise when the process is delayed between reading the two clocks.
const MIN_CLOCK_STEP: Micros = SECOND / 2;
/// The time after the program's start within which the first endpoint list arrives if discovery is reachable.
const FIRST_LIST_DELAY: Micros = 3 * SECOND;

/// Estimates workers' start times from the observed steps of the wall clock and the times of discovery's
/// answers.
#[derive(Debug, Default)]
pub(crate) struct WorkerStarts {
    /// The largest amount by which the wall clock was behind the scheduler's clock.
    largest_step_back: Micros,
    /// When discovery last answered. A start that this answer did not contain is at most [`MAX_LIST_DELAY`]
    /// earlier than that answer.
    last_answered_at: Option<Micros>,
}

impl WorkerStarts {
    /// Compares the clocks when a list is received. Called before the starts of the list are estimated.
    pub(crate) fn observe_clocks(&mut self, reading: ClockReading) {
        let step_back = reading.now.saturating_sub(reading.unix);
        if step_back >= MIN_CLOCK_STEP {
            self.largest_step_back = self.largest_step_back.max(step_back);
        }
    }

    /// Records that discovery has answered. Called after all starts of the answer have been estimated.
    pub(crate) fn record_answer(&mut self, reading: ClockReading) {
        self.last_answered_at = Some(reading.now);
    }

    /// Forgets the last answer, since the next list comes from another discovery service, which may know
    /// other workers.
    pub(crate) fn forget_last_answer(&mut self) {
        self.last_answered_at = None;
    }

    /// Estimates, on the scheduler's clock, a start that the last answer did not contain. A start that
    /// contradicts the earlier lists is taken for the time at which the clocks were read. A start that lies
    /// in the future when the first list is received is taken for a time before the start of this program.
    pub(crate) fn estimate(&self, listed: Micros, reading: ClockReading) -> Micros {
        // It is not known whether the worker started before or after the wall clock was set back.
        let latest = listed.saturating_add(self.largest_step_back);
        let contradicts_lists =
            self.last_answered_at.is_some_and(|at| latest.saturating_add(MAX_LIST_DELAY) < at);
        if contradicts_lists {
            return reading.now;
        }
        if latest > reading.now && self.is_first_list(reading) {
            // The wall clock was set back before this program started, and the worker started before that. A
            // previous process of this scheduler may have sent requests to the worker, so the start is placed
            // before the start of this program, and the slow start allows for those requests.
            return reading.started_at.saturating_sub(1);
        }
        latest.min(reading.now)
    }

    fn is_first_list(&self, reading: ClockReading) -> bool {
        self.last_answered_at.is_none() && reading.now <= reading.started_at.saturating_add(FIRST_LIST_DELAY)
    }
}
