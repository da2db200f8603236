//! Deduplication of attempts by idempotency key.
//!
//! The workers of a deduplication group share a record of the idempotency keys that they accepted. Such a
//! group is all workers, the workers of one zone or those of one cell. A cell is a group of workers of one
//! zone. An attempt does not run if its deduplication group has accepted another attempt with the same key
//! within the key's deduplication window.
use copperspread_dispatcher::{KeyScope, Micros};

/// Returns the number of the deduplication group of a worker in the zone `zone` and the cell `cell`. A cell
/// is a group of workers of one zone. `scope` says whether a deduplication group is all workers, the workers
/// of one zone or those of one cell.
pub fn key_group(scope: KeyScope, zone: u32, cell: u32) -> u32 {
    match scope {
        KeyScope::All => 0,
        KeyScope::Zone => zone,
        KeyScope::Cell => cell,
    }
}

/// An attempt with an idempotency key that a worker accepted.
#[derive(Clone, Copy, Debug)]
struct AcceptedAttempt {
    attempt: u64,
    group: u32,
    at: Micros,
}

/// The attempts of one client's job at all workers. The attempts of a job all carry the same idempotency key.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    accepted: Vec<AcceptedAttempt>,
    /// IDs of the duplicate attempts that wait for the result of an accepted attempt. A duplicate attempt
    /// does not run.
    waiting_duplicates: Vec<u64>,
    /// Whether any attempt with the key has been served.
    is_served: bool,
}

/// What happens to a duplicate attempt, whose idempotency key the worker's deduplication group has already
/// accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateOutcome {
    /// An attempt with the same key has already been served, so the duplicate is served immediately.
    AlreadyServed,
    /// No attempt with the same key has been served yet, so the duplicate waits for the result of an accepted
    /// attempt.
    AwaitsFirst,
}

impl KeyHistory {
    /// Checks whether an attempt is a duplicate when it reaches a worker of the deduplication group `group`.
    /// It is a duplicate if the group has accepted an attempt with the same key at most `window` ago.
    ///
    /// Returns what happens to the duplicate, or `None` if the attempt is no duplicate. A duplicate that must
    /// wait for a result is kept until [`Self::record_end`] returns it.
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

    /// Records that a worker of the deduplication group `group` accepted an attempt.
    pub fn record_taken(&mut self, attempt: u64, group: u32, now: Micros) {
        self.accepted.push(AcceptedAttempt { attempt, group, at: now });
    }

    /// Forgets an accepted attempt that was cancelled, or that its worker returned without starting it. Later
    /// attempts then do not count as its duplicates.
    pub fn record_returned(&mut self, attempt: u64) {
        self.accepted.retain(|accepted| accepted.attempt != attempt);
    }

    /// Records that an attempt ended, and whether it was served. Returns the IDs of the duplicates that
    /// waited. The caller must send a result for each of these duplicates.
    pub fn record_end(&mut self, is_served: bool) -> Vec<u64> {
        self.is_served |= is_served;
        std::mem::take(&mut self.waiting_duplicates)
    }
}
