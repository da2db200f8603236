//! `records`: what event logs hold.
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

/// Carries out one of the commands.
///
/// # Errors
/// A file that cannot be read, or an output that cannot be written.
pub(super) fn execute(command: EventLogCommand) -> Result<(), CommandError> {
    match command {
        EventLogCommand::Cat { file, request_id, with_rotated } => {
            print_events(&file, request_id.as_deref(), with_rotated)
        }
        EventLogCommand::Stat { file, with_rotated } => print_report(&file, with_rotated),
        EventLogCommand::Fleet { files, window_seconds, max_workers } => {
            print_fleet_report(&files, window_seconds, max_workers)
        }
    }
}

/// Prints events, those of one request or all, and on standard error what is missing or is no event.
fn print_events(file: &Path, request_id: Option<&str>, with_rotated: bool) -> Result<(), CommandError> {
    let mut output = BufWriter::new(std::io::stdout().lock());
    let mut is_output_closed = false;
    // Ids are hexadecimal digits: the quoted id stands nowhere else.
    let quoted_id = request_id.map(|id| format!("\"flow\":\"{id}\""));
    let report = read_files(files_oldest_first(file, with_rotated), |line| {
        let Line::Record(event) = line else { return Ok(()) };
        let text = serde_json::to_string(event)?;
        if quoted_id.as_ref().is_none_or(|quoted_id| text.contains(quoted_id)) {
            is_output_closed |= writeln!(output, "{text}").is_err();
        }
        Ok(())
    })?;
    is_output_closed |= output.flush().is_err();
    if !is_output_closed {
        warn_of_missing_events(&report);
    }
    Ok(())
}

fn warn_of_missing_events(report: &StreamSummary) {
    let missing: u64 = report.runs.iter().map(|run| run.missing()).sum();
    let disorder: u64 = report.runs.iter().map(|run| run.out_of_order()).sum();
    if missing > 0 || disorder > 0 || report.invalid_line_count > 0 || report.is_truncated {
        eprintln!(
            "{missing} records are missing, {disorder} out of order; {} lines are none{}",
            report.invalid_line_count,
            if report.is_truncated { "; the last is torn" } else { "" },
        );
    }
}

/// Prints the sums of one event log.
fn print_report(file: &Path, with_rotated: bool) -> Result<(), CommandError> {
    print(&read_files(files_oldest_first(file, with_rotated), |_| Ok(()))?.to_text())
}

/// Prints the sums of many schedulers' event logs, each of the paths a file or a folder of files.
fn print_fleet_report(
    paths: &[PathBuf],
    window_seconds: u64,
    max_workers: usize,
) -> Result<(), CommandError> {
    let mut fleet = FleetSummary::default();
    read_files(files_below(paths)?, |line| {
        fleet.add(line);
        Ok(())
    })?;
    print(&fleet.to_text(window_seconds, max_workers))
}

/// An event log's file, and before it those that were rotated if they are asked for. A rotation that was cut off
/// half-way leaves a free name among them, or none of the file's own name.
fn files_oldest_first(file: &Path, with_rotated: bool) -> Vec<PathBuf> {
    let rotated = if with_rotated { rotated_numbers(file) } else { Vec::new() };
    let mut files: Vec<_> =
        rotated.into_iter().rev().map(|number| writer::rotated_path(file, number)).collect();
    if files.is_empty() || file.exists() {
        files.push(file.to_owned());
    }
    files
}

/// The numbers of the rotated files that there are, the latest file's first.
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

/// The files among the paths and directly in the folders among them, in order.
fn files_below(paths: &[PathBuf]) -> Result<Vec<PathBuf>, CommandError> {
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

/// Reads files in order, line by line, and reports on them together.
fn read_files(
    files: Vec<PathBuf>,
    mut on_line: impl FnMut(&Line) -> Result<(), CommandError>,
) -> Result<StreamSummary, CommandError> {
    let mut report = StreamSummary::default();
    for path in files {
        let input = BufReader::new(File::open(&path).map_err(unreadable(&path))?);
        for line in Reader::new(input) {
            let (number, line) = line.map_err(unreadable(&path))?;
            report.add(number, &line);
            on_line(&line)?;
        }
    }
    Ok(report)
}

fn unreadable(path: &Path) -> impl FnOnce(std::io::Error) -> CommandError {
    move |source| CommandError::Unreadable { path: path.to_owned(), source }
}
