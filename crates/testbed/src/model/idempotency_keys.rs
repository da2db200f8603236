//! Deduplication of attempts by idempotency key.
//!
//! A worker drops an attempt if a worker of its deduplication group has accepted one with the same key within
//! the key's window.
use copperspread_dispatcher::{KeyScope, Micros};

/// Returns the deduplication group of a worker in this zone and cell: the workers that share their memory of
/// a key.
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

/// What the workers remember of the idempotency key of one client's job.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    accepted: Vec<AcceptedAttempt>,
    /// Dropped duplicates that wait for the first attempt's result.
    waiting_duplicates: Vec<u64>,
    /// Whether an attempt with the key was served.
    is_served: bool,
}

/// What happens to an attempt that is a duplicate by its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateOutcome {
    /// The first attempt was served already, so the duplicate is served immediately.
    AlreadyServed,
    /// The duplicate gets the first attempt's result later.
    AwaitsFirst,
}

impl KeyHistory {
    /// Checks whether an attempt at a group is a duplicate within the key's window, which starts when the
    /// group accepted an earlier attempt. A duplicate that awaits the first attempt's result is kept for
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

    /// Records that an attempt was returned unstarted or cancelled, so that its group forgets the key.
    pub fn record_returned(&mut self, attempt: u64) {
        self.accepted.retain(|accepted| accepted.attempt != attempt);
    }

    /// Records the end of an attempt and returns the duplicates that get the result of that attempt.
    pub fn record_end(&mut self, is_served: bool) -> Vec<u64> {
        self.is_served |= is_served;
        std::mem::take(&mut self.waiting_duplicates)
    }
}
