//! Local load: this dispatcher's attempts at one worker and the slots that they occupy.
use crate::Micros;
use crate::RequestId;
use std::collections::VecDeque;

/// One of this dispatcher's attempts in flight at a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) slots: f64,
    pub(super) sent_at: Micros,
}

/// An attempt that has completed recently. It is kept in order to compute how many slots were in use at an
/// earlier instant.
#[derive(Clone, Copy, Debug)]
struct CompletedAttempt {
    completed_at: Micros,
    attempt: InFlightAttempt,
}

/// This dispatcher's attempts at one worker that are in flight or have completed recently.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalLoad {
    local_slots_in_use: f64,
    /// This dispatcher's attempts in flight at the worker, in the order of sending.
    in_flight: Vec<InFlightAttempt>,
    /// This dispatcher's recently completed attempts at the worker, in the order of completion.
    completed: VecDeque<CompletedAttempt>,
}

impl LocalLoad {
    /// Returns the number of the worker's slots that this dispatcher's attempts in flight occupy.
    pub(super) fn slots_in_use(&self) -> f64 {
        self.local_slots_in_use
    }

    /// Returns whether this dispatcher has no attempt in flight at the worker.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Adds an attempt that this dispatcher has just sent to the worker.
    pub(super) fn add(&mut self, attempt: InFlightAttempt) {
        self.local_slots_in_use += attempt.slots;
        self.in_flight.push(attempt);
    }

    /// Moves an attempt from the attempts in flight to the completed attempts. Also discards all attempts
    /// that completed more than `keep_for` ago.
    pub(super) fn complete(&mut self, request: RequestId, attempt: u32, now: Micros, keep_for: Micros) {
        let is_same_attempt = |other: &InFlightAttempt| (other.request, other.attempt) == (request, attempt);
        if let Some(at) = self.in_flight.iter().position(is_same_attempt) {
            let attempt = self.in_flight.remove(at);
            self.completed.push_back(CompletedAttempt { completed_at: now, attempt });
            while self.completed.front().is_some_and(|entry| entry.completed_at + keep_for < now) {
                self.completed.pop_front();
            }
        }
        // The number of slots in use is recomputed. Decrementing it would accumulate rounding errors.
        self.local_slots_in_use = self.in_flight.iter().map(|attempt| attempt.slots).sum();
    }

    /// Returns the number of slots that this dispatcher's attempts occupied at the worker at an earlier
    /// instant. The instant must not be further back than the `keep_for` of [`LocalLoad::complete`], because
    /// older attempts are discarded.
    pub(super) fn slots_at(&self, instant: Micros) -> f64 {
        let completed = self.completed.iter().filter(|entry| entry.completed_at >= instant);
        let attempts = self.in_flight.iter().chain(completed.map(|entry| &entry.attempt));
        attempts.filter(|attempt| attempt.sent_at <= instant).map(|attempt| attempt.slots).sum()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/local_load.rs"]
mod tests;
