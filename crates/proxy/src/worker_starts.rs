//! When workers started, on the scheduler's own clock.
//!
//! Discovery gives a worker's start in Unix time, and the wall clock may be set, before this program started or
//! while it runs. A worker that is taken for older than it is gets more than it bears, so of all that a start can
//! mean the latest counts, as far as it is no later than the list that shows it.
use copperspread_dispatcher::{Micros, SECOND};

use crate::clock::ClockReading;

/// How long before the last list without it a worker may have started: a restarted worker registers late, and the
/// news of it may take seconds. An outage of discovery does not count, as nothing is answered then. Starts
/// further back are taken for those of a clock that was set. Longer than any worker's slow start on the
/// platform's pages, so that it matters little where it is wrong.
const MAX_LIST_DELAY: Micros = 30 * SECOND;
/// A smaller difference of the clocks is no step of the wall clock: the program may be held up between reading the
/// one and the other.
const MIN_CLOCK_STEP: Micros = SECOND / 2;
/// The first list comes by then after the program's start, if discovery can be reached.
const FIRST_LIST_DELAY: Micros = 3 * SECOND;

/// Estimates workers' starts from what the wall clock has shown and from what the lists have.
#[derive(Debug, Default)]
pub(crate) struct WorkerStarts {
    /// How far the wall clock was ever set back against the scheduler's own.
    largest_step_back: Micros,
    /// When discovery last answered. What its answer did not have has started since, but for the news' delay.
    last_answered_at: Option<Micros>,
}

impl WorkerStarts {
    /// Compares the clocks, when a list came and before its starts are estimated.
    pub(crate) fn observe_clocks(&mut self, reading: ClockReading) {
        let step_back = reading.now.saturating_sub(reading.unix);
        if step_back >= MIN_CLOCK_STEP {
            self.largest_step_back = self.largest_step_back.max(step_back);
        }
    }

    /// Discovery has answered, and all starts of its answer are estimated.
    pub(crate) fn record_answer(&mut self, reading: ClockReading) {
        self.last_answered_at = Some(reading.now);
    }

    /// The next list comes from another discovery, which may have workers that this one never had.
    pub(crate) fn forget_answers(&mut self) {
        self.last_answered_at = None;
    }

    /// When a worker started whose start the last answer did not have, on the scheduler's own clock.
    pub(crate) fn estimate(&self, listed: Micros, reading: ClockReading) -> Micros {
        // Whether the worker started before the clock was set back or after is not known.
        let latest = listed.saturating_add(self.largest_step_back);
        let contradicts_lists =
            self.last_answered_at.is_some_and(|at| latest.saturating_add(MAX_LIST_DELAY) < at);
        if contradicts_lists {
            return reading.now;
        }
        if latest > reading.now && self.is_first_list(reading) {
            // The clock was set back before this program started, and the worker started before that. An earlier
            // process of this scheduler may have sent to it.
            return reading.started_at.saturating_sub(1);
        }
        latest.min(reading.now)
    }

    fn is_first_list(&self, reading: ClockReading) -> bool {
        self.last_answered_at.is_none() && reading.now <= reading.started_at.saturating_add(FIRST_LIST_DELAY)
    }
}
