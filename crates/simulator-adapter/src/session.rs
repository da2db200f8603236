//! The session with the simulator. It reads batches of messages until the end of input, and replies to each
//! batch with the actions of the addressed scheduler instances.
use std::io::{BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use copperspread_dispatcher::Micros;
use copperspread_settings::json::micros_from_seconds;

use crate::encode::{write_batch_end, write_fault};
use crate::error::{BatchPosition, HandleError, MessageError, SessionError};
use crate::instances::Instances;
use crate::message::Line;

const OUTPUT_BUFFER_BYTES: usize = 1 << 16;

/// Reads batches of messages from `input` and writes the replies to `output`, until the end of input.
///
/// # Errors
/// Fails if the input cannot be read, the output cannot be written, a line is invalid, or the input ends
/// inside a batch. An error in a line of the input names the batch.
pub(crate) fn serve(mut input: impl BufRead, output: impl Write) -> Result<(), SessionError> {
    let mut session = Session::new(output);
    let mut line = Vec::new();
    loop {
        line.clear();
        let length = input.read_until(b'\n', &mut line).map_err(SessionError::Read)?;
        if length == 0 {
            return session.end();
        }
        if !line.iter().all(u8::is_ascii_whitespace) {
            session.handle_line(&line)?;
        }
    }
}

/// A batch of messages that has begun and not yet ended.
#[derive(Clone, Copy)]
struct Batch {
    turn: u64,
    now: Micros,
}

struct Session<W: Write> {
    instances: Instances,
    out: BufWriter<W>,
    open_batch: Option<Batch>,
    /// The number that the simulator gave to the last completed batch of messages; 0 before the first batch.
    last_turn: u64,
}

impl<W: Write> Session<W> {
    fn new(output: W) -> Session<W> {
        Session {
            instances: Instances::default(),
            out: BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, output),
            open_batch: None,
            last_turn: 0,
        }
    }

    fn handle_line(&mut self, line: &[u8]) -> Result<(), SessionError> {
        let message: Line<'_> = serde_json::from_slice(line)
            .map_err(|error| self.handling_failed(MessageError::Malformed(error)))?;
        match (&*message.kind, self.open_batch) {
            ("batch", None) => self.begin_batch(&message),
            ("batch", Some(_)) => Err(self.handling_failed(MessageError::NestedBatch)),
            (kind, None) => Err(self.handling_failed(MessageError::OutsideBatch { kind: kind.to_owned() })),
            ("your_turn", Some(batch)) => self.end_batch(batch),
            (_, Some(batch)) => self.handle_message(batch, &message),
        }
    }

    fn begin_batch(&mut self, message: &Line<'_>) -> Result<(), SessionError> {
        let turn = message.required(message.turn, "turn").map_err(|error| self.handling_failed(error))?;
        let seconds = message.required(message.ts_s, "ts_s").map_err(|error| self.handling_failed(error))?;
        self.open_batch = Some(Batch { turn, now: micros_from_seconds(seconds) });
        Ok(())
    }

    /// Completes the reply to a batch. The output is flushed, so that the simulator receives the whole reply.
    fn end_batch(&mut self, batch: Batch) -> Result<(), SessionError> {
        write_batch_end(&mut self.out, batch.turn).map_err(SessionError::Write)?;
        self.out.flush().map_err(SessionError::Write)?;
        self.last_turn = batch.turn;
        self.open_batch = None;
        Ok(())
    }

    /// Passes a message to the scheduler instance that it is addressed to. If the dispatcher of that instance
    /// panics, the simulator is told so in a `fault` message, and the session continues. The panic does not
    /// affect the other instances.
    fn handle_message(&mut self, batch: Batch, message: &Line<'_>) -> Result<(), SessionError> {
        let Session { instances, out, .. } = self;
        let handled = catch_unwind(AssertUnwindSafe(|| instances.handle(batch.now, message, out)));
        match handled {
            Ok(Ok(())) => Ok(()),
            Ok(Err(HandleError::Skipped(reason))) => {
                eprintln!("{}: {reason}", self.position());
                Ok(())
            }
            Ok(Err(HandleError::Invalid(error))) => Err(self.handling_failed(error)),
            Err(_) => {
                let node = message.node_id.as_deref().unwrap_or("");
                write_fault(&mut self.out, node, "the decision module panicked").map_err(SessionError::Write)
            }
        }
    }

    /// Ends the session when the input has ended. Inside a batch, the end of input is an error.
    fn end(&self) -> Result<(), SessionError> {
        match self.open_batch {
            None => Ok(()),
            Some(_) => Err(self.handling_failed(MessageError::UnexpectedEnd)),
        }
    }

    fn position(&self) -> BatchPosition {
        match self.open_batch {
            Some(batch) => BatchPosition::Inside(batch.turn),
            None => BatchPosition::After(self.last_turn),
        }
    }

    fn handling_failed(&self, source: MessageError) -> SessionError {
        SessionError::HandlingFailed { position: self.position(), source }
    }
}
