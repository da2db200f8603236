//! How workers drop repeats of a keyed job: by what was taken in a zone, and when.
use copperspread_decisions::Micros;

/// What workers remember of one client's job.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    /// The attempts that workers took: number, zone and when.
    taken: Vec<(u64, u32, Micros)>,
    /// Repeats that were dropped, which hear what becomes of the first.
    dropped: Vec<u64>,
    /// An attempt was done.
    done: bool,
}

/// What becomes of an attempt whose key is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The first was done: so is this one.
    Done,
    /// It hears later what becomes of the first.
    Waits,
}

impl Keys {
    /// Whether an attempt that comes to a zone is a repeat, and then what of it; one that waits is kept.
    pub fn repeat(&mut self, attempt: u64, zone: u32, now: Micros, window: Micros) -> Option<Repeat> {
        if !self.taken.iter().any(|&(_, of, at)| of == zone && now <= at + window) {
            return None;
        }
        if self.done {
            return Some(Repeat::Done);
        }
        self.dropped.push(attempt);
        Some(Repeat::Waits)
    }

    /// A worker took an attempt.
    pub fn took(&mut self, attempt: u64, zone: u32, now: Micros) {
        self.taken.push((attempt, zone, now));
    }

    /// An attempt was handed back: the key is forgotten with it.
    pub fn handed_back(&mut self, attempt: u64) {
        self.taken.retain(|&(of, _, _)| of != attempt);
    }

    /// An attempt ended, done or not; returns the repeats that hear of it.
    pub fn ended(&mut self, done: bool) -> Vec<u64> {
        self.done |= done;
        std::mem::take(&mut self.dropped)
    }
}
