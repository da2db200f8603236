//! What goes wrong on a worker's connections, apart from the worker itself.
use copperspread_dispatcher::Micros;

use crate::scenario::{Trouble, micros};

/// A worker's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionFaults {
    /// The share of hand-overs whose connection breaks, half of them after the job was taken.
    pub reset_fraction: f64,
    /// The share of hand-overs that are answered with what is no HTTP; those never run.
    pub invalid_response_fraction: f64,
    /// The share of hand-overs that fail at once; those never run.
    pub error_fraction: f64,
    /// Call-backs come so much later.
    pub callback_delay: Micros,
    /// Call-backs come twice.
    pub duplicates_callbacks: bool,
}

/// What a hand-over meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryResult {
    /// Nothing.
    Delivered,
    /// The connection breaks before the job is taken.
    ResetBeforeTaken,
    /// It breaks in the middle of the answer; the job is taken.
    ResetAfterTaken,
    /// The answer is garbage; the job is not taken.
    InvalidResponse,
    /// The worker fails the job at once and says so.
    ImmediateError,
}

impl ConnectionFaults {
    /// A fault begins or is over; whether it was one of connections.
    pub fn apply_fault(&mut self, what: Trouble, begins: bool) -> bool {
        match what {
            Trouble::Resetting(share) => self.reset_fraction = if begins { share } else { 0.0 },
            Trouble::Garbled(share) => self.invalid_response_fraction = if begins { share } else { 0.0 },
            Trouble::Failing(share) => self.error_fraction = if begins { share } else { 0.0 },
            Trouble::LateNews(by) => self.callback_delay = if begins { micros(by) } else { 0 },
            Trouble::DoubledNews => self.duplicates_callbacks = begins,
            _ => return false,
        }
        true
    }

    /// What a hand-over meets, by a number drawn evenly from 0 to 1.
    pub fn delivery_result(&self, draw: f64) -> DeliveryResult {
        if draw < self.reset_fraction / 2.0 {
            DeliveryResult::ResetBeforeTaken
        } else if draw < self.reset_fraction {
            DeliveryResult::ResetAfterTaken
        } else if draw < self.reset_fraction + self.invalid_response_fraction {
            DeliveryResult::InvalidResponse
        } else if draw < self.reset_fraction + self.invalid_response_fraction + self.error_fraction {
            DeliveryResult::ImmediateError
        } else {
            DeliveryResult::Delivered
        }
    }
}
