//! Decides how the faults of a worker's connections end a delivery, apart from the worker itself.
use copperspread_dispatcher::Micros;

use crate::scenario::{FaultKind, micros_from_seconds};

/// The faults of one worker's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionFaults {
    /// The fraction of deliveries whose connection breaks, half of them after the job was taken.
    pub reset_fraction: f64,
    /// The fraction of deliveries that get a response that is not HTTP; those jobs never run.
    pub invalid_response_fraction: f64,
    /// The fraction of deliveries that get an immediate error; those jobs never run.
    pub error_fraction: f64,
    /// Callbacks are delayed by this.
    pub callback_delay: Micros,
    /// Callbacks come twice.
    pub duplicates_callbacks: bool,
}

/// What happens to a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryResult {
    /// It reaches the worker.
    Delivered,
    /// The connection breaks before the job is taken.
    ResetBeforeTaken,
    /// The connection breaks during the response; the job is taken.
    ResetAfterTaken,
    /// The response is not HTTP; the job is not taken.
    InvalidResponse,
    /// The worker responds with an error at once.
    ImmediateError,
}

impl ConnectionFaults {
    /// Applies the start or the end of a fault; whether it was one of connections.
    pub fn apply_fault(&mut self, fault: FaultKind, is_start: bool) -> bool {
        let if_active = |value: f64| if is_start { value } else { 0.0 };
        match fault {
            FaultKind::Resetting(fraction) => self.reset_fraction = if_active(fraction),
            FaultKind::Garbled(fraction) => self.invalid_response_fraction = if_active(fraction),
            FaultKind::Failing(fraction) => self.error_fraction = if_active(fraction),
            FaultKind::LateCallbacks(delay) => self.callback_delay = micros_from_seconds(if_active(delay)),
            FaultKind::DuplicateCallbacks => self.duplicates_callbacks = is_start,
            _ => return false,
        }
        true
    }

    /// What happens to a delivery, by a number drawn evenly from 0 to 1.
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
