//! The attempts that this dispatcher has at one worker. Bookkeeping only: nothing here decides.
use crate::Micros;
use crate::RequestId;
use std::collections::VecDeque;

/// One attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) slots: f64,
    pub(super) sent_at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct CompletedAttempt {
    completed_at: Micros,
    attempt: InFlightAttempt,
}

/// Attempts in flight and completed lately, with their slots.
#[derive(Clone, Debug, Default)]
pub(super) struct LocalLoad {
    local_slots_in_use: f64,
    /// In the order of sending.
    in_flight: Vec<InFlightAttempt>,
    /// In the order of completion.
    completed: VecDeque<CompletedAttempt>,
}

impl LocalLoad {
    /// Slots of the attempts in flight.
    pub(super) fn slots_in_use(&self) -> f64 {
        self.local_slots_in_use
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// Adds an attempt that was sent.
    pub(super) fn add(&mut self, attempt: InFlightAttempt) {
        self.local_slots_in_use += attempt.slots;
        self.in_flight.push(attempt);
    }

    /// Moves an attempt to those that completed, which are kept for a while.
    pub(super) fn complete(&mut self, request: RequestId, attempt: u32, now: Micros, keep_for: Micros) {
        let is_it = |other: &InFlightAttempt| (other.request, other.attempt) == (request, attempt);
        if let Some(at) = self.in_flight.iter().position(is_it) {
            let attempt = self.in_flight.remove(at);
            self.completed.push_back(CompletedAttempt { completed_at: now, attempt });
            while self.completed.front().is_some_and(|end| end.completed_at + keep_for < now) {
                self.completed.pop_front();
            }
        }
        // Summed anew, so that no rounding error builds up.
        self.local_slots_in_use = self.in_flight.iter().map(|attempt| attempt.slots).sum();
    }

    /// Slots of the attempts that were in flight at an earlier instant.
    pub(super) fn slots_at(&self, instant: Micros) -> f64 {
        let completed = self.completed.iter().filter(|end| end.completed_at >= instant);
        let attempts = self.in_flight.iter().chain(completed.map(|end| &end.attempt));
        attempts.filter(|attempt| attempt.sent_at <= instant).map(|attempt| attempt.slots).sum()
    }
}

#[cfg(test)]
#[path = "../../tests/unit/local_load.rs"]
mod tests;
