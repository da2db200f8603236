//! What ends the adapter, and what it only notes on standard error.
use std::fmt;
use std::io;

use copperspread_settings::ReadError;

/// Why the adapter ends before its input does.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SessionError {
    /// The input cannot be read.
    #[error("reading: {0}")]
    Read(#[source] io::Error),
    /// The output cannot be written.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
    /// A line is wrong.
    #[error("{position}: {source}")]
    InvalidLine {
        /// Where the line stands.
        position: BatchPosition,
        /// What is wrong with it.
        source: MessageError,
    },
}

/// Where a line stands among the batches.
#[derive(Clone, Copy, Debug)]
pub(crate) enum BatchPosition {
    /// Inside the batch of this turn.
    Inside(u64),
    /// Between batches, after the one of this turn; 0 before the first.
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

/// Why a message cannot be handled: the peers no longer agree on the protocol.
#[derive(Debug, thiserror::Error)]
pub(crate) enum MessageError {
    /// The line is not a message.
    #[error("no message: {0}")]
    NotAMessage(#[source] serde_json::Error),
    /// The input ended before the batch did.
    #[error("the input ended inside it")]
    UnexpectedEnd,
    /// A batch began before the last one ended.
    #[error("a batch inside a batch")]
    NestedBatch,
    /// A message came between batches.
    #[error("{kind} outside a batch")]
    OutsideBatch {
        /// The message's kind.
        kind: String,
    },
    /// A message lacks a field that its kind needs.
    #[error("{kind} without {field}")]
    MissingField {
        /// The message's kind.
        kind: String,
        /// The field's name.
        field: &'static str,
    },
    /// An instance's settings cannot be read.
    #[error("provision: params: {0}")]
    InvalidSettings(#[source] ReadError),
    /// A request id is not one.
    #[error("req {text:?} is not 16 hex digits")]
    InvalidRequestId {
        /// The id as given.
        text: String,
    },
    /// An outcome's code is not defined.
    #[error("state_code {code} is unknown")]
    UnknownOutcome {
        /// The code.
        code: u32,
    },
    /// An endpoint update's mode is not defined.
    #[error("topology of unknown mode {mode:?}")]
    UnknownMode {
        /// The mode.
        mode: String,
    },
    /// An endpoint's status is not defined.
    #[error("unknown status {status:?}")]
    UnknownStatus {
        /// The status.
        status: String,
    },
    /// The answer cannot be written.
    #[error("writing: {0}")]
    Write(#[source] io::Error),
}

/// Why a message is skipped with a note, after which the adapter goes on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SkipReason {
    /// The kind of message is not known.
    #[error("unknown event {kind:?} skipped")]
    UnknownKind {
        /// The kind.
        kind: String,
    },
    /// No instance has this name.
    #[error("{kind} for unprovisioned {node:?} skipped")]
    NotProvisioned {
        /// The message's kind.
        kind: String,
        /// The instance's name.
        node: String,
    },
    /// The kind of progress is not known.
    #[error("progress of kind {kind} skipped")]
    UnknownProgress {
        /// The kind.
        kind: u32,
    },
    /// A timer's cookie is none that the adapter gave out.
    #[error("bell with an unknown cookie skipped")]
    UnknownTimer,
    /// A load report comes from a worker that was never listed.
    #[error("probe of unknown {worker:?} skipped")]
    UnknownWorker {
        /// The worker's name.
        worker: String,
    },
}

/// Why a message led to nothing.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HandleError {
    /// It is skipped with a note.
    #[error(transparent)]
    Skipped(#[from] SkipReason),
    /// It ends the adapter.
    #[error(transparent)]
    Invalid(#[from] MessageError),
}
