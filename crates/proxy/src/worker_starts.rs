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

/// How long before an answer of discovery a worker may have started although that answer did not list the
/// start, in microseconds. A restarted worker registers late, and the list may reach the scheduler seconds
/// later.
///
/// The value need not cover outages of discovery, because it counts back from discovery's previous answer. An
/// outage lies after that answer.
///
/// If the listed time of a new start is more than this value before discovery's previous answer, the wall
/// clock is assumed to have been changed. The worker then counts as just started.
///
/// The assumption can be wrong: the wall clock was not changed, and the worker really started longer ago than
/// this value. Such a worker has completed its slow start, because this value is longer than every slow start
/// that the platform specifies. Counted as just started, the worker only gets fewer requests than it could
/// handle, for the time of another slow start.
const MAX_LIST_DELAY: Micros = 30 * SECOND;
/// The smallest difference between the scheduler's clock and the wall clock that counts as a change of the
/// wall clock, in microseconds. A smaller difference may only show that the process was delayed between
/// reading the two clocks.
const MIN_CLOCK_STEP: Micros = SECOND / 2;
/// The time after the start of this program, in microseconds, within which discovery's first answer counts as
/// the first list. If discovery is reachable, its first answer arrives within this time.
///
/// A worker's start that lies in the future is treated specially in the first list: the worker is taken to
/// have started before this program. In any other list, such a worker counts as just started.
const FIRST_LIST_DELAY: Micros = 3 * SECOND;

/// Estimates workers' start times on the scheduler's clock.
///
/// Lists give the start times in Unix time, which is the time of a wall clock. This type therefore records
/// how far the wall clock was found to be behind the scheduler's clock. It also records when discovery last
/// answered: a listed start that is long before that answer, but was missing from it, is assumed to be wrong.
#[derive(Debug, Default)]
pub(crate) struct WorkerStarts {
    /// The largest amount by which the wall clock was found to be behind the scheduler's clock since this
    /// program started, in microseconds. The scheduler's clock does not follow changes of the wall clock.
    ///
    /// Discovery gives a worker's start time as a time of the wall clock. If the wall clock had been set back
    /// before the worker started, that time is too early on the scheduler's clock, by up to this amount.
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

    /// Estimates when a worker started. `listed` is the worker's start time in an endpoint list that has just
    /// been received. Call this method only for a worker that is new or whose listed start time has changed.
    ///
    /// `listed` and the result are in microseconds since the Unix epoch. `listed` is a time of a wall clock;
    /// the result is a time of the scheduler's clock. `reading` holds the times of both clocks of this
    /// machine when the list was received.
    ///
    /// Two cases are special:
    ///
    /// - The start is so old that discovery's previous answer should have contained it (see
    ///   [`MAX_LIST_DELAY`]). In this case, `listed` is assumed to be wrong and the worker counts as just
    ///   started. The result is the time of the scheduler's clock in `reading`.
    /// - The start is in the future and the list is the first list. In this case, the worker must have
    ///   started before this program, and the wall clock was set back in between. The result is a time just
    ///   before the start of this program.
    pub(crate) fn estimate(&self, listed: Micros, reading: ClockReading) -> Micros {
        // The worker may have started before or after the wall clock was set back. If before, the wall clock
        // agreed with the scheduler's clock when it gave the time `listed`. If after, the wall clock was
        // behind the scheduler's clock, so the amount by which it was behind must be added. The later time is
        // used, because a worker gets too many requests if its start is estimated too early.
        let latest = listed.saturating_add(self.largest_step_back);
        let contradicts_lists =
            self.last_answered_at.is_some_and(|at| latest.saturating_add(MAX_LIST_DELAY) < at);
        if contradicts_lists {
            return reading.now;
        }
        if latest > reading.now && self.is_first_list(reading) {
            // The start is in the future of the scheduler's clock, so the wall clock was set back after the
            // worker had started. This happened before this program started: the scheduler's clock is set
            // from the wall clock at the program's start, and does not follow later changes. The worker
            // therefore started before this program. A previous process of this scheduler may have sent
            // requests to the worker.
            //
            // The returned time, just before the start of this program, tells the dispatch policy that this
            // is possible. The policy then assumes that the previous process has used this scheduler's whole
            // share of the worker's slow-start capacity. At first, the policy sends the worker nothing.
            return reading.started_at.saturating_sub(1);
        }
        latest.min(reading.now)
    }

    fn is_first_list(&self, reading: ClockReading) -> bool {
        self.last_answered_at.is_none() && reading.now <= reading.started_at.saturating_add(FIRST_LIST_DELAY)
    }
}
