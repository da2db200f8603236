//! Standard output.
use std::io::{ErrorKind, Write};

use super::error::CommandError;

/// Prints a text. A reader that has gone, as `head` does, is no error.
///
/// # Errors
/// An output that cannot be written for another cause.
pub(super) fn print(text: &str) -> Result<(), CommandError> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CommandError::Output(error)),
        _ => Ok(()),
    }
}
