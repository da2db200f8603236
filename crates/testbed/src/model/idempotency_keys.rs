//! Decides which attempts workers drop as duplicates of an idempotency key: by what was taken in their group,
//! and when.
use copperspread_dispatcher::{KeyScope, Micros};

/// The group of workers that share the memory of a key with a worker, by the worker's zone and cell.
pub fn key_group(scope: KeyScope, zone: u32, cell: u32) -> u32 {
    match scope {
        KeyScope::All => 0,
        KeyScope::Zone => zone,
        KeyScope::Cell => cell,
    }
}

/// An attempt that a worker took.
#[derive(Clone, Copy, Debug)]
struct TakenAttempt {
    attempt: u64,
    group: u32,
    at: Micros,
}

/// What workers remember of one client request's key.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    taken: Vec<TakenAttempt>,
    /// Duplicates that were dropped and get the first attempt's result.
    waiting_duplicates: Vec<u64>,
    /// An attempt was served.
    is_served: bool,
}

/// What becomes of an attempt whose key is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateOutcome {
    /// The first attempt was served, and so is this one.
    AlreadyServed,
    /// It gets the first attempt's result later.
    AwaitsFirst,
}

impl KeyHistory {
    /// Checks whether an attempt that reaches a group is a duplicate within the key's window, and keeps one
    /// that awaits the first attempt's result.
    pub fn check_duplicate(
        &mut self,
        attempt: u64,
        group: u32,
        now: Micros,
        window: Micros,
    ) -> Option<DuplicateOutcome> {
        if !self.taken.iter().any(|taken| taken.group == group && now <= taken.at + window) {
            return None;
        }
        if self.is_served {
            return Some(DuplicateOutcome::AlreadyServed);
        }
        self.waiting_duplicates.push(attempt);
        Some(DuplicateOutcome::AwaitsFirst)
    }

    /// Records that a worker of a group took an attempt.
    pub fn record_taken(&mut self, attempt: u64, group: u32, now: Micros) {
        self.taken.push(TakenAttempt { attempt, group, at: now });
    }

    /// Records that an attempt was returned unstarted: the key is forgotten with it.
    pub fn record_returned(&mut self, attempt: u64) {
        self.taken.retain(|taken| taken.attempt != attempt);
    }

    /// Records that an attempt ended, served or not; returns the duplicates that get its result.
    pub fn record_end(&mut self, is_served: bool) -> Vec<u64> {
        self.is_served |= is_served;
        std::mem::take(&mut self.waiting_duplicates)
    }
}
