//! Writes to standard output, and to the files of reports.
use std::error::Error;
use std::io::{ErrorKind, Write};
use std::path::Path;

use copperspread_testbed::compare::ScenarioResults;
use copperspread_testbed::report::render_html;
use serde::Serialize;

/// Prints to standard output. A reader that has gone is no error.
pub(super) fn print(text: &str) -> Result<(), Box<dyn Error>> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            Err(format!("standard output: {error}").into())
        }
        _ => Ok(()),
    }
}

/// Prints a note to standard error.
pub(super) fn print_note(text: &str) {
    // A note that nobody can read is no reason to stop.
    let _ = writeln!(std::io::stderr(), "{text}");
}

/// A value as a line of JSON.
pub(super) fn json_line(value: &(impl Serialize + ?Sized)) -> Result<String, Box<dyn Error>> {
    Ok(serde_json::to_string(value)? + "\n")
}

/// Writes the report, if one is asked for.
pub(super) fn write_report(path: Option<&Path>, results: &[ScenarioResults]) -> Result<(), Box<dyn Error>> {
    let Some(path) = path else { return Ok(()) };
    let page = render_html(results)?;
    std::fs::write(path, page).map_err(|error| format!("{}: {error}", path.display()).into())
}
