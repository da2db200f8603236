//! What the program does with configurations of its own, apart from serving by them.
use std::io::Write;
use std::path::Path;

use copperspread_config::{Effective, LogFormat, Surroundings};
use copperspread_event_log::fleet_summary::FleetSummary;
use copperspread_event_log::reader::{Line, Reader};
use copperspread_event_log::stream_summary::StreamSummary;
use copperspread_event_log::writer;
use rustix::process::{Resource, getrlimit};

use crate::logging::{self, LogSpec};
use crate::origin::{Told, of_platform_file};

/// The bounds that this process has from outside.
fn around() -> Surroundings {
    Surroundings { descriptors: getrlimit(Resource::Nofile).current, key_file: Some(crate::peers::check_key) }
}

fn effective(file: Option<&Path>, flags: &[String]) -> Result<(Effective, LogSpec), String> {
    let effective = copperspread_config::read(file, flags, &around()).map_err(|e| e.to_string())?;
    let log = LogSpec {
        level: effective.config.log.level.clone(),
        json: match effective.config.log.format {
            LogFormat::Auto => None,
            LogFormat::Text => Some(false),
            LogFormat::Json => Some(true),
        },
    };
    logging::level(&log.level)
        .map_err(|why| format!("{}: log.level: {why}", effective.origin("log.level")))?;
    Ok((effective, log))
}

/// Reads the layers of a configuration.
///
/// # Errors
/// All that is wrong, a line each.
pub fn read(file: Option<&Path>, flags: &[String], seed: u64) -> Result<Told, String> {
    let (effective, log) = effective(file, flags)?;
    let kept = &effective.config.records;
    let records = kept.file.clone().map(|file| writer::EventLogConfig {
        path: file,
        max_file_bytes: kept.rotate_at.0,
        max_rotated_files: kept.keep,
        queue_capacity: kept.queue as usize,
    });
    let membership = crate::peers::Membership::of(&effective.config);
    Ok(Told { start: effective.config.start(seed)?, log, records, membership })
}

/// Checks a configuration and prints what is in force.
///
/// # Errors
/// All that is wrong, a line each.
pub fn check(file: Option<&Path>, flags: &[String]) -> Result<(), String> {
    if let Some(path) = file.filter(|path| path.extension().is_some_and(|of| of == "json")) {
        if !flags.is_empty() {
            return Err("--set goes with TOML; the platform's JSON has no layers".into());
        }
        let start = of_platform_file(path)?;
        let known = start.cached_endpoints.as_ref().map_or(0, |list| list.endpoints.len());
        let classes = start.settings.proxy.classes.join(", ");
        return print(&format!(
            "{}: good, the platform's form: {} listens on {}; classes {classes}; {known} service entries known\n",
            path.display(),
            start.name,
            start.listen,
        ));
    }
    let (effective, _) = effective(file, flags)?;
    effective.config.start(0)?;
    print(&effective.listing())
}

/// The JSON Schema of the configuration.
///
/// # Errors
/// None that is known of.
pub fn schema() -> Result<String, String> {
    serde_json::to_string_pretty(&copperspread_config::schema())
        .map(|text| text + "\n")
        .map_err(|e| e.to_string())
}

/// The built-in default.
///
/// # Errors
/// A fault of this program.
pub fn default() -> Result<String, String> {
    copperspread_config::commented_default()
}

/// Feeds a report with a file's lines, and before them those of the files put aside if `all`; `each` is
/// called with each line.
fn read_records(
    file: &Path,
    all: bool,
    mut each: impl FnMut(&Line) -> Result<(), String>,
) -> Result<StreamSummary, String> {
    let mut files = vec![file.to_owned()];
    if all {
        files.extend((1..).map(|number| writer::rotated_path(file, number)).take_while(|path| path.exists()));
        files.reverse();
    }
    let mut report = StreamSummary::default();
    for path in files {
        let named = |error: std::io::Error| format!("{}: {error}", path.display());
        let input = std::io::BufReader::new(std::fs::File::open(&path).map_err(named)?);
        for line in Reader::new(input) {
            let (number, line) = line.map_err(named)?;
            report.add(number, &line);
            each(&line)?;
        }
    }
    Ok(report)
}

/// Prints records, and on standard error what is missing among them or is none.
///
/// # Errors
/// A file that cannot be read.
pub fn records_cat(file: &Path, flow: Option<&str>, all: bool) -> Result<(), String> {
    let mut out = std::io::BufWriter::new(std::io::stdout().lock());
    let mut gone = false;
    let report = read_records(file, all, |line| {
        let Line::Record(record) = line else { return Ok(()) };
        let text = serde_json::to_string(record).map_err(|e| e.to_string())?;
        // Ids are hex digits: the quoted id stands nowhere else.
        let wanted = flow.is_none_or(|flow| text.contains(&format!("\"flow\":\"{flow}\"")));
        gone |= wanted && writeln!(out, "{text}").is_err();
        Ok(())
    })?;
    gone |= out.flush().is_err();
    let missing: u64 = report.runs.iter().map(|run| run.missing()).sum();
    let disorder: u64 = report.runs.iter().map(|run| run.out_of_order()).sum();
    if !gone && (missing > 0 || disorder > 0 || report.invalid_line_count > 0 || report.is_truncated) {
        eprintln!(
            "{missing} records are missing, {disorder} out of order; {} lines are none{}",
            report.invalid_line_count,
            if report.is_truncated { "; the last is torn" } else { "" },
        );
    }
    Ok(())
}

/// Prints what a stream of records came to.
///
/// # Errors
/// A file that cannot be read.
pub fn records_stat(file: &Path, all: bool) -> Result<(), String> {
    print(&read_records(file, all, |_| Ok(()))?.to_text())
}

/// Prints to standard output. Guards against a reader that has gone, as `head` does.
///
/// # Errors
/// An output that cannot be written for another cause.
pub fn print(text: &str) -> Result<(), String> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(format!("standard output: {error}"))
        }
        _ => Ok(()),
    }
}

/// Prints what the records of many schedulers came to, each of the paths a file or a folder of files.
///
/// # Errors
/// A file or folder that cannot be read.
pub fn records_fleet(paths: &[std::path::PathBuf], window: u64, workers: usize) -> Result<(), String> {
    let mut files = Vec::new();
    for path in paths {
        let named = |error: std::io::Error| format!("{}: {error}", path.display());
        if path.is_dir() {
            for entry in std::fs::read_dir(path).map_err(named)? {
                files.push(entry.map_err(named)?.path());
            }
        } else {
            files.push(path.clone());
        }
    }
    files.retain(|path| !path.is_dir());
    files.sort();
    let mut fleet = FleetSummary::default();
    for path in files {
        read_records(&path, false, |line| {
            fleet.add(line);
            Ok(())
        })?;
    }
    print(&fleet.to_text(window, workers))
}
