//! Faults of a worker's connections. They decide how the delivery of an attempt or a load query ends before
//! the worker gets it.
use copperspread_dispatcher::Micros;

use crate::scenario::{FaultKind, micros_from_seconds};

/// Active faults of one worker's connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionFaults {
    /// Fraction of deliveries whose connection breaks, half of them after the worker has accepted the job.
    pub reset_fraction: f64,
    /// Fraction of deliveries that get a response that is not HTTP. The job of such a delivery never runs.
    pub invalid_response_fraction: f64,
    /// Fraction of deliveries that get an immediate error. The job of such a delivery never runs.
    pub error_fraction: f64,
    /// Additional delay of callbacks, in microseconds. In the simulation, the delay applies to start
    /// callbacks and results.
    pub callback_delay: Micros,
    /// Whether callbacks are sent twice. In the simulation, only start callbacks are.
    pub duplicates_callbacks: bool,
}

/// The effect of connection faults on a delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryResult {
    /// The delivery reaches the worker.
    Delivered,
    /// The connection breaks before the worker accepts the job.
    ResetBeforeTaken,
    /// The connection breaks during the response; the worker has accepted the job.
    ResetAfterTaken,
    /// The response is not HTTP; the worker does not accept the job.
    InvalidResponse,
    /// The worker responds with an error at once; the job does not run.
    ImmediateError,
}

impl ConnectionFaults {
    /// Applies the start or the end of a fault, and returns whether it is a connection fault.
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

    /// Returns the effect on a delivery for a `draw` uniform in `0..1`.
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
