//! Parses workers' callbacks, and passes them to the tasks of the requests.
use std::sync::Arc;

use bytes::Bytes;
use copperspread_dispatcher::{Outcome, Progress, RequestId};
use copperspread_settings::ReadError;
use copperspread_settings::json::{self, field, number, required, text};
use tinyjson::JsonValue;

use crate::endpoints::EndpointTable;
use crate::memory::MemoryReservation;
use crate::messages::{AttemptCompletion, WorkerEvent, parse_request_id};
use crate::policy_handle::PolicyHandle;
use crate::upstream::http::load_report::parse_load_object;

/// The path to which workers send callbacks.
pub const CALLBACK_PATH: &str = "/_jobs/news";

/// A worker's report on an attempt that it has accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct Callback {
    /// The id of the request to which the attempt belongs.
    pub request: RequestId,
    /// The name of the worker that sent the report.
    pub worker_name: String,
    /// The worker's report: the attempt has made progress or has ended.
    pub event: WorkerEvent,
}

/// Why the body of a message is not a valid callback.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum CallbackError {
    /// The callback is not JSON, or a field of the callback is missing or has the wrong type.
    #[error(transparent)]
    Malformed(#[from] ReadError),
    /// The state of the attempt in the callback is none of the states that [`parse_callback`] recognizes.
    #[error("unknown state {state:?}")]
    UnknownState {
        /// The unrecognized state, as received.
        state: String,
    },
    /// The callback's request id is malformed.
    #[error("id {id:?} is not 16 hex digits")]
    InvalidRequestId {
        /// The malformed request id, as received.
        id: String,
    },
}

/// Parses the body of a callback.
///
/// # Errors
/// Returns an error if the body is not a valid callback.
pub fn parse_callback(body: &[u8]) -> Result<Callback, CallbackError> {
    let message = json::parse_bytes(body)?;
    let id = required(&message, "id", text)?;
    let event = parse_event(&message)?;
    Ok(Callback {
        request: parse_request_id(id).ok_or_else(|| CallbackError::InvalidRequestId { id: id.to_owned() })?,
        worker_name: required(&message, "from", text)?.to_owned(),
        event,
    })
}

fn parse_event(message: &JsonValue) -> Result<WorkerEvent, CallbackError> {
    let completed = |outcome, result| {
        let load_report = field(message, "load").and_then(parse_load_object);
        WorkerEvent::Completed(AttemptCompletion { outcome, result, load_report })
    };
    Ok(match required(message, "state", text)? {
        "started" => WorkerEvent::Progress(Progress::Started),
        "running" => {
            let fraction = required(message, "share", number)?;
            WorkerEvent::Progress(Progress::Done(fraction))
        }
        "done" => {
            let result = required(message, "result", text)?;
            completed(Outcome::Served, Some(Bytes::copy_from_slice(result.as_bytes())))
        }
        "failed" => completed(Outcome::Error, None),
        "returned" => completed(Outcome::Rejected, None),
        "lost" => completed(Outcome::Reset, None),
        state => return Err(CallbackError::UnknownState { state: state.to_owned() }),
    })
}

/// Returns the function that handles workers' callbacks. The function takes a callback's body with the
/// reservation of its memory, and does not depend on the server that receives the callback.
///
/// A callback is accepted but ignored if its request has completed or its worker is unknown.
pub fn callback_handler(
    endpoints: Arc<EndpointTable>,
    policy: Arc<PolicyHandle>,
) -> impl Fn(&[u8], Option<MemoryReservation>) -> Result<(), CallbackError> + Send + Sync {
    move |body, reservation| {
        let mut callback = parse_callback(body)?;
        hold_for_result(reservation, &mut callback.event);
        if let Some(worker) = endpoints.worker_by_name(&callback.worker_name) {
            policy.deliver_worker_event(callback.request, worker, callback.event);
        }
        Ok(())
    }
}

/// Makes a worker's result hold the reservation of its callback's memory, until the result has been written to
/// the client. Without a result, the memory is released.
fn hold_for_result(reservation: Option<MemoryReservation>, event: &mut WorkerEvent) {
    if let Some(reservation) = reservation
        && let WorkerEvent::Completed(AttemptCompletion { result: Some(result), .. }) = event
    {
        *result = reservation.attach_to(std::mem::take(result).into());
    }
}
