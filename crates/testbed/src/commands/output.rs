//! Output of the commands: standard output, standard error and report files.
use std::error::Error;
use std::io::{ErrorKind, Write};
use std::path::Path;

use copperspread_testbed::compare::ScenarioResults;
use copperspread_testbed::report::render_html;
use serde::Serialize;

/// Prints a text to standard output. If the reader of the output has closed the pipe, the text is lost, but
/// no error is returned.
pub(super) fn print(text: &str) -> Result<(), Box<dyn Error>> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(format!("standard output: {error}").into())
        }
        _ => Ok(()),
    }
}

/// Prints a message to standard error.
pub(super) fn print_note(text: &str) {
    // A failure to print a message does not stop the command.
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// Serializes a value as one line of JSON.
pub(super) fn json_line(value: &(impl Serialize + ?Sized)) -> Result<String, Box<dyn Error>> {
    Ok(serde_json::to_string(value)? + "\n")
}

/// Writes the HTML report of the results to the file `path`. Does nothing if `path` is `None`.
pub(super) fn write_report(path: Option<&Path>, results: &[ScenarioResults]) -> Result<(), Box<dyn Error>> {
    let Some(path) = path else { return Ok(()) };
    let page = render_html(results)?;
    std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()).into())
}
