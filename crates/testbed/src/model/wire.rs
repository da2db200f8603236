//! What goes wrong on a worker's connections, apart from the worker itself.
use copperspread_dispatcher::Micros;

use crate::scenario::{FaultKind, micros_from_seconds};

/// A worker's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Wire {
    /// The share of hand-overs whose connection breaks, half of them after the job was taken.
    pub resetting: f64,
    /// The share of hand-overs that are answered with what is no HTTP; those never run.
    pub garbled: f64,
    /// The share of hand-overs that fail at once; those never run.
    pub failing: f64,
    /// Call-backs come so much later.
    pub late: Micros,
    /// Call-backs come twice.
    pub doubled: bool,
}

/// What a hand-over meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing.
    Whole,
    /// The connection breaks before the job is taken.
    Before,
    /// It breaks in the middle of the answer; the job is taken.
    After,
    /// The answer is garbage; the job is not taken.
    Garbage,
    /// The worker fails the job at once and says so.
    Fails,
}

impl Wire {
    /// A fault begins or is over; whether it was one of connections.
    pub fn turn(&mut self, what: FaultKind, begins: bool) -> bool {
        match what {
            FaultKind::Resetting(share) => self.resetting = if begins { share } else { 0.0 },
            FaultKind::Garbled(share) => self.garbled = if begins { share } else { 0.0 },
            FaultKind::Failing(share) => self.failing = if begins { share } else { 0.0 },
            FaultKind::LateCallbacks(by) => self.late = if begins { micros_from_seconds(by) } else { 0 },
            FaultKind::DuplicateCallbacks => self.doubled = begins,
            _ => return false,
        }
        true
    }

    /// What a hand-over meets, by a number drawn evenly from 0 to 1.
    pub fn meets(&self, draw: f64) -> Cut {
        if draw < self.resetting / 2.0 {
            Cut::Before
        } else if draw < self.resetting {
            Cut::After
        } else if draw < self.resetting + self.garbled {
            Cut::Garbage
        } else if draw < self.resetting + self.garbled + self.failing {
            Cut::Fails
        } else {
            Cut::Whole
        }
    }
}
