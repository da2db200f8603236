//! The `records` commands, which read event logs.
use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};

use copperspread_event_log::fleet_summary::FleetSummary;
use copperspread_event_log::reader::{Line, Reader};
use copperspread_event_log::stream_summary::StreamSummary;
use copperspread_event_log::writer;

use super::error::CommandError;
use super::output::print;
use crate::cli::EventLogCommand;

/// Executes a `records` command.
///
/// # Errors
/// Fails if an event log file cannot be read. The commands `stat` and `fleet` also fail if the output cannot
/// be written, except to a pipe whose reader has closed it. The command `cat` ignores all errors of writing
/// its output.
pub(super) fn execute(command: EventLogCommand) -> Result<(), CommandError> {
    match command {
        EventLogCommand::Cat { file, request_id, with_rotated } => {
            print_events(&file, request_id.as_deref(), with_rotated)
        }
        EventLogCommand::Stat { file, with_rotated } => print_summary(&file, with_rotated),
        EventLogCommand::Fleet { files, window_seconds, max_workers } => {
            print_fleet_summary(&files, window_seconds, max_workers)
        }
    }
}

/// Prints the events of one event log, one per line. If `request_id` is set, only the events of that request
/// are printed. Events of kinds that this program does not know are left out.
///
/// If events are missing or out of order, or if lines are not events, a message on standard error tells how
/// many. The message is left out if the events could not be written to standard output.
fn print_events(file: &Path, request_id: Option<&str>, with_rotated: bool) -> Result<(), CommandError> {
    let mut output = BufWriter::new(std::io::stdout().lock());
    let mut has_write_failed = false;
    // An event belongs to the request if the event's JSON text contains the field `"flow":"<id>"`. No string
    // value can contain that text, because JSON escapes the quotes within strings. A request id consists of
    // hex digits, which JSON does not escape.
    let id_field = request_id.map(|id| format!("\"flow\":\"{id}\""));
    let summary = read_files(files_oldest_first(file, with_rotated), |line| {
        let Line::Record(event) = line else { return Ok(()) };
        let text = serde_json::to_string(event)?;
        if id_field.as_ref().is_none_or(|id_field| text.contains(id_field)) {
            has_write_failed |= writeln!(output, "{text}").is_err();
        }
        Ok(())
    })?;
    has_write_failed |= output.flush().is_err();
    if !has_write_failed {
        warn_about_missing_events(&summary);
    }
    Ok(())
}

fn warn_about_missing_events(summary: &StreamSummary) {
    let missing: u64 = summary.runs.iter().map(|run| run.missing()).sum();
    let out_of_order_count: u64 = summary.runs.iter().map(|run| run.out_of_order()).sum();
    if missing > 0 || out_of_order_count > 0 || summary.invalid_line_count > 0 || summary.is_truncated {
        eprintln!(
            "{missing} records are missing, {out_of_order_count} out of order; {} lines are none{}",
            summary.invalid_line_count,
            if summary.is_truncated { "; the last is torn" } else { "" },
        );
    }
}

/// Prints the summary of the event log of one scheduler.
fn print_summary(file: &Path, with_rotated: bool) -> Result<(), CommandError> {
    print(&read_files(files_oldest_first(file, with_rotated), |_| Ok(()))?.to_text())
}

/// Prints one summary of the event logs of several schedulers. Each path is an event log file or a folder of
/// such files.
fn print_fleet_summary(
    paths: &[PathBuf],
    window_seconds: u64,
    max_workers: usize,
) -> Result<(), CommandError> {
    let mut fleet = FleetSummary::default();
    read_files(expand_folders(paths)?, |line| {
        fleet.add(line);
        Ok(())
    })?;
    print(&fleet.to_text(window_seconds, max_workers))
}

/// Returns the paths of an event log's files, oldest first. The last path is the file that the scheduler
/// currently writes. Without `with_rotated`, only that path is returned.
///
/// If a rotation was interrupted, a number may be missing among the rotated files. The current file may also
/// be missing; then only the rotated files are returned.
fn files_oldest_first(file: &Path, with_rotated: bool) -> Vec<PathBuf> {
    let rotated = if with_rotated { rotated_numbers(file) } else { Vec::new() };
    let mut files: Vec<_> =
        rotated.into_iter().rev().map(|number| writer::rotated_path(file, number)).collect();
    if files.is_empty() || file.exists() {
        files.push(file.to_owned());
    }
    files
}

/// Returns the numbers of the existing rotated files of an event log in ascending order. The newest rotated
/// file has the lowest number.
fn rotated_numbers(file: &Path) -> Vec<u32> {
    let folder = file.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    let name = file.file_name().unwrap_or_default();
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let mut numbers: Vec<u32> = entries
        .map(|entry| PathBuf::from(entry.file_name()))
        .filter(|entry| entry.file_stem() == Some(name))
        .filter_map(|entry| entry.extension()?.to_str()?.parse().ok())
        .collect();
    numbers.sort_unstable();
    numbers
}

/// Replaces each folder in `paths` by the files directly in that folder. Returns the paths of all files,
/// sorted.
fn expand_folders(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CommandError> {
    let mut files = Vec::new();
    for path in paths {
        if path.is_dir() {
            for entry in std::fs::read_dir(path).map_err(unreadable(path))? {
                files.push(entry.map_err(unreadable(path))?.path());
            }
        } else {
            files.push(path.clone());
        }
    }
    files.retain(|path| !path.is_dir());
    files.sort();
    Ok(files)
}

/// Reads event log files in the given order and passes each line to `on_line`. Returns one summary of all
/// files.
fn read_files(
    files: Vec<PathBuf>,
    mut on_line: impl FnMut(&Line) -> Result<(), CommandError>,
) -> Result<StreamSummary, CommandError> {
    let mut summary = StreamSummary::default();
    for path in files {
        let input = BufReader::new(File::open(&path).map_err(unreadable(&path))?);
        for line in Reader::new(input) {
            let (number, line) = line.map_err(unreadable(&path))?;
            summary.add(number, &line);
            on_line(&line)?;
        }
    }
    Ok(summary)
}

fn unreadable(path: &Path) -> impl FnOnce(std::io::Error) -> CommandError {
    move |source| CommandError::Unreadable { path: path.to_owned(), source }
}
