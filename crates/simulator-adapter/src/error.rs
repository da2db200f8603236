//! Errors that end the adapter, and reasons for which the adapter skips a message and continues.
use std::fmt;
use std::io;

use copperspread_settings::ReadError;

/// An error that ends the adapter before the end of its input.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SessionError {
    /// Standard input cannot be read.
    #[error("cannot read standard input: {0}")]
    Read(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("cannot write standard output: {0}")]
    Write(#[source] io::Error),
    /// A line of the input cannot be handled: the line is invalid, the input ended inside a batch, or the
    /// reply cannot be written.
    #[error("{position}: {source}")]
    HandlingFailed {
        /// The position of the error in the input: inside a batch, or after the last completed batch.
        position: BatchPosition,
        /// The violation of the protocol, or the failure to write the reply, that ended the adapter.
        source: MessageError,
    },
}

/// The position of an error in the input, which consists of batches of messages.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BatchPosition {
    /// The error is inside a batch of messages. The value is the turn number that the simulator gave to
    /// this batch.
    Inside(u64),
    /// The error is outside any batch of messages. The value is the turn number that the simulator gave
    /// to the last completed batch, or 0 before the first batch.
    After(u64),
}

impl fmt::Display for BatchPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BatchPosition::Inside(turn) => write!(f, "batch {turn}"),
            BatchPosition::After(turn) => write!(f, "after batch {turn}"),
        }
    }
}

/// An error that ends the adapter while it handles a line: a violation of the protocol with the simulator, or
/// a reply that cannot be written.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    /// A line of the input cannot be parsed as a message.
    #[error("malformed message: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The input ended inside a batch of messages.
    #[error("unexpected end of input")]
    UnexpectedEnd,
    /// A batch of messages began before the previous batch had ended.
    #[error("a new batch began before this one ended")]
    NestedBatch,
    /// A message arrived outside a batch. Only the message that starts a batch may do so.
    #[error("{kind} outside a batch")]
    OutsideBatch {
        /// The kind of the message that arrived outside a batch, as the simulator wrote it.
        kind: String,
    },
    /// A message lacks a field that its kind requires.
    #[error("{kind} without {field}")]
    MissingField {
        /// The kind of the incomplete message, as the simulator wrote it.
        kind: String,
        /// The name of the missing field on the wire.
        field: &'static str,
    },
    /// The settings of a scheduler instance in a `provision` message cannot be read.
    #[error("provision: params: {0}")]
    InvalidSettings(#[source] ReadError),
    /// A request id is not 16 hex digits.
    #[error("req {text:?} is not 16 hex digits")]
    InvalidRequestId {
        /// The text that the simulator sent as the request id.
        text: String,
    },
    /// The simulator sent an unknown code as the outcome of an attempt or of a load query.
    #[error("state_code {code} is unknown")]
    UnknownOutcome {
        /// The code that the simulator sent as `state_code`.
        code: u32,
    },
    /// The simulator sent an unknown kind of endpoint update in the field `mode` of a `topology` message.
    #[error("topology of unknown mode {mode:?}")]
    UnknownMode {
        /// The unknown kind of endpoint update that the simulator sent in the message's field `mode`.
        mode: String,
    },
    /// The simulator sent an unknown status of an endpoint in a `topology` message.
    #[error("topology with unknown status {status:?}")]
    UnknownStatus {
        /// The status that the simulator sent for the endpoint.
        status: String,
    },
    /// The reply to the simulator cannot be written.
    #[error("cannot write standard output: {0}")]
    Write(#[source] io::Error),
}

/// The reason why the adapter skips a message. The adapter prints the reason on standard error and continues.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SkipReason {
    /// The adapter does not know the kind of the message.
    #[error("unknown event {kind:?} skipped")]
    UnknownKind {
        /// The kind of the skipped message, as the simulator wrote it.
        kind: String,
    },
    /// No scheduler instance with the addressed name exists. It was never started by a `provision` message,
    /// its settings were rejected, or it was stopped by a `down` message.
    #[error("{kind} for unprovisioned instance {node:?} skipped")]
    NotProvisioned {
        /// The kind of the message that was skipped.
        kind: String,
        /// The name of the scheduler instance to which the skipped message was addressed.
        node: String,
    },
    /// A `progress` message contains an unknown kind of progress of an attempt.
    #[error("progress of unknown kind {kind} skipped")]
    UnknownProgress {
        /// The code that the simulator sent as the kind of the attempt's progress.
        kind: u32,
    },
    /// The simulator reported the expiry of a timer with a cookie that identifies no timer. A cookie is the
    /// text by which the adapter and the simulator identify a timer.
    #[error("bell with an unknown cookie skipped")]
    UnknownTimer,
    /// The simulator answered a load query for a worker that no endpoint update has listed.
    #[error("checked for unknown worker {worker:?} skipped")]
    UnknownWorker {
        /// The name of the worker for which the simulator answered the load query.
        worker: String,
    },
}

/// The reason why a message was not handled.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandleError {
    /// The message is skipped for the given reason, and the adapter continues.
    #[error(transparent)]
    Skipped(#[from] SkipReason),
    /// The message is invalid, or the reply cannot be written; the adapter ends.
    #[error(transparent)]
    Invalid(#[from] MessageError),
}
