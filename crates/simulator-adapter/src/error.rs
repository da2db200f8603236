//! Errors: those that end the adapter, and those that it only reports on standard error.
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
    /// Handling the input failed: a line is invalid, the input ended inside a batch, or the reply cannot be
    /// written.
    #[error("{position}: {source}")]
    HandlingFailed {
        /// The batch that the adapter was handling, or the last one before the error.
        position: BatchPosition,
        /// The violation of the protocol, or the failure to write the reply.
        source: MessageError,
    },
}

/// The position of an error in the input, relative to the batches of messages.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BatchPosition {
    /// Inside the batch with this turn number.
    Inside(u64),
    /// Outside batches, after the batch with this turn number; 0 before the first batch.
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

/// A violation of the protocol between the simulator and the adapter, or a reply that cannot be written.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    /// The line cannot be parsed as a message.
    #[error("malformed message: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The input ended before the batch did.
    #[error("unexpected end of input")]
    UnexpectedEnd,
    /// A batch began before the previous one ended.
    #[error("a new batch began before this one ended")]
    NestedBatch,
    /// A message other than the start of a batch arrived outside a batch.
    #[error("{kind} outside a batch")]
    OutsideBatch {
        /// The kind of the message, as the simulator wrote it.
        kind: String,
    },
    /// A message lacks a field that its kind requires.
    #[error("{kind} without {field}")]
    MissingField {
        /// The kind of the message, as the simulator wrote it.
        kind: String,
        /// The name of the missing field on the wire.
        field: &'static str,
    },
    /// An instance's settings cannot be read.
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
    /// The mode of an endpoint update is unknown.
    #[error("topology of unknown mode {mode:?}")]
    UnknownMode {
        /// The mode that the simulator sent in the `topology` message.
        mode: String,
    },
    /// The status of an endpoint is unknown.
    #[error("topology with unknown status {status:?}")]
    UnknownStatus {
        /// The status that the simulator sent for the endpoint.
        status: String,
    },
    /// The reply cannot be written.
    #[error("cannot write standard output: {0}")]
    Write(#[source] io::Error),
}

/// The reason for skipping a message. The adapter reports it on standard error and continues.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SkipReason {
    /// The message's kind is unknown.
    #[error("unknown event {kind:?} skipped")]
    UnknownKind {
        /// The kind of the skipped message, as the simulator wrote it.
        kind: String,
    },
    /// No instance with this name exists: it was never provisioned, its settings were rejected, or it was
    /// stopped by `down`.
    #[error("{kind} for unprovisioned instance {node:?} skipped")]
    NotProvisioned {
        /// The kind of the skipped message.
        kind: String,
        /// The name of the instance that the message was addressed to.
        node: String,
    },
    /// A `progress` message states an unknown kind of progress of an attempt.
    #[error("progress of unknown kind {kind} skipped")]
    UnknownProgress {
        /// The code that the simulator sent as the attempt's kind of progress.
        kind: u32,
    },
    /// The cookie of an expired timer cannot be parsed.
    #[error("bell with an unknown cookie skipped")]
    UnknownTimer,
    /// A load query was answered for a worker that no endpoint update has listed.
    #[error("checked for unknown worker {worker:?} skipped")]
    UnknownWorker {
        /// The name of the worker on the wire.
        worker: String,
    },
}

/// The reason why a message was not handled.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandleError {
    /// The message is skipped, and the adapter continues.
    #[error(transparent)]
    Skipped(#[from] SkipReason),
    /// The message is invalid, or the reply cannot be written; the adapter ends.
    #[error(transparent)]
    Invalid(#[from] MessageError),
}
