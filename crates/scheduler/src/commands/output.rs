//! Printing of a command's output to standard output without failing when the reader closes the pipe.
use std::io::{ErrorKind, Write};

use super::error::CommandError;

/// Prints a text to standard output. If standard output is a pipe whose reader has closed the pipe, the error
/// is ignored, because a reader such as `head` does so once it has read enough lines.
///
/// # Errors
/// Fails if the text cannot be written for any reason other than a closed pipe.
pub(super) fn print(text: &str) -> Result<(), CommandError> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CommandError::Output(error)),
        _ => Ok(()),
    }
}
