//! Deduplication of attempts by idempotency key.
//!
//! A worker does not run an attempt if a worker of its deduplication group (all workers, or those of its zone
//! or cell) has accepted another attempt with the same key within the key's window.
use copperspread_dispatcher::{KeyScope, Micros};

/// Returns the number of the deduplication group to which a worker in this zone and cell belongs. The workers
/// of a group share the record of accepted idempotency keys.
pub fn key_group(scope: KeyScope, zone: u32, cell: u32) -> u32 {
    match scope {
        KeyScope::All => 0,
        KeyScope::Zone => zone,
        KeyScope::Cell => cell,
    }
}

/// An attempt that a worker accepted.
#[derive(Clone, Copy, Debug)]
struct AcceptedAttempt {
    attempt: u64,
    group: u32,
    at: Micros,
}

/// The workers' record of the idempotency key of one client's job.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    accepted: Vec<AcceptedAttempt>,
    /// IDs of duplicate attempts, which do not run and wait for the result of an accepted attempt.
    waiting_duplicates: Vec<u64>,
    /// Whether an attempt with the key was served.
    is_served: bool,
}

/// What happens to an attempt that is a duplicate by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateOutcome {
    /// An attempt with the key was served already, so the duplicate is served immediately.
    AlreadyServed,
    /// No attempt with the key was served yet, so the duplicate waits for the result of an accepted attempt.
    AwaitsFirst,
}

impl KeyHistory {
    /// Checks whether an attempt that reaches a worker of `group` is a duplicate: the group has accepted an
    /// attempt with the same key at most `window` ago. A duplicate that waits for a result is kept for
    /// [`Self::record_end`]. Returns `None` if the attempt is no duplicate.
    pub fn check_duplicate(
        &mut self,
        attempt: u64,
        group: u32,
        now: Micros,
        window: Micros,
    ) -> Option<DuplicateOutcome> {
        if !self.accepted.iter().any(|accepted| accepted.group == group && now <= accepted.at + window) {
            return None;
        }
        if self.is_served {
            return Some(DuplicateOutcome::AlreadyServed);
        }
        self.waiting_duplicates.push(attempt);
        Some(DuplicateOutcome::AwaitsFirst)
    }

    /// Records that a worker of a group accepted an attempt.
    pub fn record_taken(&mut self, attempt: u64, group: u32, now: Micros) {
        self.accepted.push(AcceptedAttempt { attempt, group, at: now });
    }

    /// Forgets an accepted attempt that its worker returned unstarted or that was cancelled, so that later
    /// attempts do not count as its duplicates.
    pub fn record_returned(&mut self, attempt: u64) {
        self.accepted.retain(|accepted| accepted.attempt != attempt);
    }

    /// Records whether an attempt that has ended was served, and returns the IDs of the waiting duplicates,
    /// which get the result of that attempt.
    pub fn record_end(&mut self, is_served: bool) -> Vec<u64> {
        self.is_served |= is_served;
        std::mem::take(&mut self.waiting_duplicates)
    }
}
