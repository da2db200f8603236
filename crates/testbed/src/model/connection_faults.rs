//! Faults of the connections to a worker. They decide whether an attempt or a load query reaches the worker,
//! and how it fails otherwise.
use copperspread_dispatcher::Micros;

use crate::scenario::{FaultKind, micros_from_seconds};

/// The active faults of the connections to one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionFaults {
    /// Fraction of the attempts and load queries to the worker whose connection breaks. In half of the cases,
    /// the worker has accepted the job before the connection breaks.
    pub reset_fraction: f64,
    /// Fraction of the attempts and load queries to the worker that get a response that is not HTTP. The jobs
    /// of these attempts never run.
    pub invalid_response_fraction: f64,
    /// Fraction of the attempts and load queries to the worker that get an immediate error. The jobs of these
    /// attempts never run.
    pub error_fraction: f64,
    /// Additional delay of the worker's callbacks, in microseconds. In the simulation, only the callbacks
    /// that report the start or the result of a job are delayed.
    pub callback_delay: Micros,
    /// Whether the worker sends its callbacks twice. In the simulation, only the callbacks that report the
    /// start of a job are sent twice.
    pub duplicates_callbacks: bool,
}

/// What the connection faults do to an attempt or a load query that is sent to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryResult {
    /// The attempt or load query reaches the worker.
    Delivered,
    /// The connection breaks before the worker accepts the attempt or load query.
    ResetBeforeTaken,
    /// The connection breaks during the worker's response. The worker has accepted the job of the attempt.
    ResetAfterTaken,
    /// The response to the attempt or load query is not HTTP. The worker does not accept the job.
    InvalidResponse,
    /// The worker responds with an error at once. The job does not run.
    ImmediateError,
}

impl ConnectionFaults {
    /// Starts or ends a fault if it is a connection fault. Returns whether it is a connection fault.
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

    /// Returns what happens to an attempt or a load query. `draw` is a uniform random number from 0 to 1.
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
