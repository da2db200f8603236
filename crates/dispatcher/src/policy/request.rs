//! State of the requests in progress and of their attempts.
use crate::Action;
use crate::Micros;
use crate::RequestId;
use arrayvec::ArrayVec;

/// Maximum number of attempts of one request; a higher configured maximum is reduced to this number.
pub(super) const MAX_TRACKED_ATTEMPTS: usize = 8;

/// The last known progress of an attempt, and when it was reported.
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
    /// Whether all of this dispatcher's attempts at the worker fitted into the worker's slots when this
    /// attempt was sent. Only then can the response time serve as a sample of the worker's service rate.
    /// Otherwise the attempts slowed each other down.
    pub(super) local_load_fitted: bool,
    pub(super) progress: Option<ProgressMark>,
    pub(super) is_in_flight: bool,
    pub(super) never_ran: bool,
    /// Service-time estimate of the attempt, in seconds.
    pub(super) estimate: f64,
    /// Whether the attempt has already been recorded as overdue.
    pub(super) is_overdue: bool,
}

/// A request that has not had its final response, or that has attempts in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct Request {
    pub(super) id: RequestId,
    pub(super) class: usize,
    pub(super) slots: f64,
    /// Work of the request: its running time, in seconds, on a standard core, which is the core to which cost
    /// hints refer. The work is the request's cost hint. Without a cost hint, it is the typical service time
    /// of the request's class, or 1 if that is unknown.
    pub(super) work: f64,
    pub(super) has_hint: bool,
    /// Instant up to which the request meets its latency objective: the arrival time plus the class's
    /// objective, minus the time that the client spent on earlier tries. The latency stretch is not included;
    /// it extends the objective by a multiple of the request's running time.
    pub(super) objective_at: Micros,
    pub(super) deadline: Micros,
    pub(super) is_finished: bool,
    pub(super) attempts: ArrayVec<Attempt, MAX_TRACKED_ATTEMPTS>,
}

impl Request {
    /// Returns the first attempt of the request that may have run. An attempt may have run if it is in
    /// flight, or if its outcome does not prove that it never ran.
    pub(super) fn first_possibly_run_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.is_in_flight || !attempt.never_ran)
    }

    /// Returns whether one of the request's attempts in flight has started to run.
    pub(super) fn has_started(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight && attempt.progress.is_some())
    }

    /// Returns the actions that cancel those attempts in flight for which `is_unwanted` returns true.
    pub(super) fn cancellations(
        &self,
        is_unwanted: impl Fn(&Attempt) -> bool,
    ) -> impl Iterator<Item = Action> {
        let unwanted = move |(_, attempt): &(usize, &Attempt)| attempt.is_in_flight && is_unwanted(attempt);
        let numbered = self.attempts.iter().enumerate();
        let cancel = |number| Action::Cancel { request: self.id, attempt: number as u32 };
        numbered.filter(unwanted).map(move |(number, _)| cancel(number))
    }

    /// Returns whether any attempt of the request is in flight.
    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}

#[cfg(test)]
#[path = "../../tests/unit/request.rs"]
mod tests;
