//! How workers drop repeats of a keyed job: by what was taken in their group, and when.
use copperspread_dispatcher::{KeyScope, Micros};

/// The group of workers that a worker shares the memory of keys with, by its zone and cell.
pub fn key_group(scope: KeyScope, zone: u32, cell: u32) -> u32 {
    match scope {
        KeyScope::All => 0,
        KeyScope::Zone => zone,
        KeyScope::Cell => cell,
    }
}

/// What workers remember of one client's job.
#[derive(Clone, Debug, Default)]
pub struct KeyHistory {
    /// The attempts that workers took: number, group and when.
    taken: Vec<(u64, u32, Micros)>,
    /// Repeats that were dropped, which hear what becomes of the first.
    waiting_duplicates: Vec<u64>,
    /// An attempt was done.
    is_served: bool,
}

/// What becomes of an attempt whose key is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DuplicateOutcome {
    /// The first was done: so is this one.
    AlreadyServed,
    /// It hears later what becomes of the first.
    AwaitsFirst,
}

impl KeyHistory {
    /// Whether an attempt that comes to a group is a repeat, and then what of it; one that waits is kept.
    pub fn check_duplicate(
        &mut self,
        attempt: u64,
        group: u32,
        now: Micros,
        window: Micros,
    ) -> Option<DuplicateOutcome> {
        if !self.taken.iter().any(|&(_, of, at)| of == group && now <= at + window) {
            return None;
        }
        if self.is_served {
            return Some(DuplicateOutcome::AlreadyServed);
        }
        self.waiting_duplicates.push(attempt);
        Some(DuplicateOutcome::AwaitsFirst)
    }

    /// A worker took an attempt.
    pub fn record_taken(&mut self, attempt: u64, group: u32, now: Micros) {
        self.taken.push((attempt, group, now));
    }

    /// An attempt was handed back: the key is forgotten with it.
    pub fn record_returned(&mut self, attempt: u64) {
        self.taken.retain(|&(of, _, _)| of != attempt);
    }

    /// An attempt ended, done or not; returns the repeats that hear of it.
    pub fn record_end(&mut self, done: bool) -> Vec<u64> {
        self.is_served |= done;
        std::mem::take(&mut self.waiting_duplicates)
    }
}
