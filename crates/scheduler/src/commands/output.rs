//! Prints the output of a command to standard output. A pipe that its reader has closed is not an error.
use std::io::{ErrorKind, Write};

use super::error::CommandError;

/// Prints a text to standard output. If standard output is a pipe whose reader has closed it, the text is
/// dropped without an error. A reader such as `head` closes the pipe once it has read enough lines.
///
/// # Errors
/// Fails if the text cannot be written for any reason other than a closed pipe.
pub(super) fn print(text: &str) -> Result<(), CommandError> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CommandError::Output(error)),
        _ => Ok(()),
    }
}
