//! Printing to standard output.
use std::io::{ErrorKind, Write};

use super::error::CommandError;

/// Prints a text. It is not an error if the reader has closed the pipe, as `head` does.
///
/// # Errors
/// Fails if the text cannot be written for another reason.
pub(super) fn print(text: &str) -> Result<(), CommandError> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CommandError::Output(error)),
        _ => Ok(()),
    }
}
