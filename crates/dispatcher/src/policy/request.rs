//! Requests in progress and their attempts.
use crate::Action;
use crate::Micros;
use crate::RequestId;
use arrayvec::ArrayVec;

/// Attempts kept for one request; a site that allows more is held to this many.
pub(super) const MAX_TRACKED_ATTEMPTS: usize = 8;

/// When it was last known how much of an attempt was done, and that fraction.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProgressMark {
    pub(super) at: Micros,
    pub(super) fraction_done: f64,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Attempt {
    pub(super) worker: u32,
    pub(super) sent_at: Micros,
    /// Local slots at the worker fitted when it was sent, so its time shows the worker's rate.
    pub(super) fitted_slots: bool,
    pub(super) progress: Option<ProgressMark>,
    pub(super) is_in_flight: bool,
    pub(super) never_ran: bool,
    /// How long it was to take, in seconds, and whether it has taken far longer.
    pub(super) estimate: f64,
    pub(super) is_overdue: bool,
}

/// A request that has its final response to come, or attempts in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) slots: f64,
    /// The cost hint, or the usual time of its class, or 1.
    pub(super) work: f64,
    pub(super) has_hint: bool,
    /// When its full weight is lost, before the stretch.
    pub(super) objective_at: Micros,
    pub(super) deadline: Micros,
    pub(super) is_finished: bool,
    pub(super) attempts: ArrayVec<Attempt, MAX_TRACKED_ATTEMPTS>,
}

impl Request {
    /// The first attempt that may have run, or is still in flight.
    pub(super) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.is_in_flight || !attempt.never_ran)
    }

    /// Whether an attempt in flight has started to run.
    pub(super) fn has_started(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight && attempt.progress.is_some())
    }

    /// The actions that cancel the attempts in flight that are no longer wanted.
    pub(super) fn cancellations(
        &self,
        is_unwanted: impl Fn(&Attempt) -> bool,
    ) -> impl Iterator<Item = Action> {
        let unwanted = move |(_, attempt): &(usize, &Attempt)| attempt.is_in_flight && is_unwanted(attempt);
        let numbered = self.attempts.iter().enumerate();
        let cancel = |number| Action::Cancel { request: self.id, attempt: number as u32 };
        numbered.filter(unwanted).map(move |(number, _)| cancel(number))
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request.rs"]
mod tests;
