//! Tests of the writer on log files that hang, fill up, vanish, rotate or are truncated, and of reading them
//! back.
mod support;

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use copperspread_event_log::reader::Line;
use copperspread_event_log::stream_summary::StreamSummary;
use copperspread_event_log::writer::{
    EventLogConfig, RecordCounts, Recorder, WriterHandle, rotated_path, start_writer,
};
use copperspread_event_log::{EventKind, Record};
use support::{counter_event, lines};

/// A directory that is removed when the value is dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> TempDirectory {
        let path = std::env::temp_dir().join(format!("copperspread-event-log-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("the directory can be created");
        TempDirectory(path)
    }

    fn config(&self, max_file_bytes: u64, queue_capacity: usize) -> EventLogConfig {
        EventLogConfig { path: self.0.join("r.jsonl"), max_file_bytes, max_rotated_files: 2, queue_capacity }
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn summarize(path: &Path) -> StreamSummary {
    let mut summary = StreamSummary::default();
    for (number, line) in lines(&fs::read(path).expect("the log file can be read")).iter().enumerate() {
        summary.add(number as u64 + 1, line);
    }
    summary
}

/// Longest wait for queued records to be written.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Creates a named pipe.
///
/// No program is started for this: until a child process has loaded its program, it holds copies of all open
/// files of this process, and so the locks of the log files that other tests close and open again.
fn make_pipe(path: &std::path::Path) {
    let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
    rustix::fs::mkfifoat(rustix::fs::CWD, path, mode).expect("a named pipe can be created");
}

fn finish(recorder: &Recorder, writer: WriterHandle) -> RecordCounts {
    recorder.close();
    assert!(writer.finish(MAX_WAIT), "not all queued records were written within the time limit");
    recorder.counts()
}

/// Records events until one more is written, which may take the writer's check interval.
fn record_until_written(recorder: &Recorder) {
    let (before, start) = (recorder.counts().written, Instant::now());
    while recorder.counts().written == before {
        assert!(start.elapsed() < Duration::from_secs(10), "{:?}", recorder.counts());
        recorder.record(counter_event(0));
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn recorded_events_are_read_back_in_order_by_run() {
    let directory = TempDirectory::new("back");
    for name in ["first", "second"] {
        let (recorder, writer) = start_writer(directory.config(1 << 20, 4096)).expect("the writer starts");
        recorder.record(EventKind::RunStarted { name: name.into(), version: "0".into() });
        for count in 0..500 {
            recorder.record(counter_event(count));
        }
        recorder.record(EventKind::RunEnded { requests_left: 0, requests: None });
        assert_eq!(finish(&recorder, writer), RecordCounts { written: 502, dropped: 0, lost: 0 });
        recorder.record(counter_event(0));
    }
    let summary = summarize(&directory.config(0, 0).path);
    let run_at = |index: usize| {
        (
            summary.runs[index].name.as_deref(),
            summary.runs[index].records_by_kind["limit"],
            summary.runs[index].has_ended,
        )
    };
    assert_eq!((run_at(0), run_at(1)), ((Some("first"), 500, true), (Some("second"), 500, true)));
    assert!(summary.runs.iter().all(|run| (run.missing(), run.out_of_order(), run.clock_steps) == (0, 0, 0)));
}

// A pipe without a reader stands in for a disk that hangs, as writes to it block.
#[test]
fn a_disk_that_hangs_drops_records_without_delay_and_leaves_a_gap() {
    let directory = TempDirectory::new("hangs");
    let config = directory.config(1 << 20, 64);
    make_pipe(&config.path);
    let (recorder, writer) = start_writer(config.clone()).expect("the writer starts on a pipe");
    let start = Instant::now();
    for count in 0..20_000 {
        recorder.record(counter_event(count));
    }
    let elapsed = start.elapsed();
    let dropped = recorder.counts().dropped;
    assert!(dropped > 10_000, "{:?}", recorder.counts());
    assert!(elapsed < Duration::from_secs(5), "recording waited for the disk: {elapsed:?}");
    // The disk works again: the queued records are written, then a gap, then later records.
    let mut pipe = fs::File::open(&config.path).expect("the pipe can be opened");
    let reading = std::thread::spawn(move || {
        let mut bytes = Vec::new();
        let mut chunk = [0; 1 << 16];
        while !bytes.ends_with(b"\"count\":77777}}\n") {
            let read = pipe.read(&mut chunk).expect("the pipe can be read");
            bytes.extend_from_slice(&chunk[..read]);
        }
        bytes
    });
    let before = recorder.counts().written;
    while recorder.counts().written < before + 64 {
        std::thread::sleep(Duration::from_millis(1));
    }
    recorder.record(counter_event(77_777));
    let bytes = reading.join().expect("the reading thread ends without a panic");
    assert!(finish(&recorder, writer).lost == 0);
    let mut summary = StreamSummary::default();
    let lines = lines(&bytes);
    lines.iter().enumerate().for_each(|(number, line)| summary.add(number as u64 + 1, line));
    let stated_missing: u64 = lines
        .iter()
        .filter_map(|line| match line {
            Line::Record(Record { event: EventKind::Gap { dropped }, .. }) => Some(*dropped),
            _ => None,
        })
        .sum();
    assert_eq!((stated_missing, summary.runs[0].missing()), (dropped, dropped));
    assert_eq!((summary.invalid_line_count, summary.runs[0].out_of_order()), (0, 0));
}

#[test]
fn a_disk_that_hangs_does_not_delay_the_shutdown() {
    let directory = TempDirectory::new("hangs-end");
    let config = directory.config(1 << 20, 4096);
    make_pipe(&config.path);
    let (recorder, writer) = start_writer(config).expect("the writer starts on a pipe");
    (0..4_000).for_each(|count| recorder.record(counter_event(count)));
    recorder.close();
    let start = Instant::now();
    assert!(!writer.finish(MAX_WAIT), "all records were written to a pipe without a reader");
    assert!(start.elapsed() < Duration::from_secs(5));
}

// A link to /dev/full stands in for a full disk; removing the link stands in for freeing space.
#[test]
fn a_full_disk_loses_records_until_space_is_freed_and_leaves_a_gap() {
    let directory = TempDirectory::new("full");
    let config = directory.config(1 << 20, 4096);
    std::os::unix::fs::symlink("/dev/full", &config.path).expect("the link can be created");
    let (recorder, writer) = start_writer(config.clone()).expect("the writer starts on /dev/full");
    (0..100).for_each(|count| recorder.record(counter_event(count)));
    let start = Instant::now();
    while recorder.counts().lost < 100 {
        assert!(start.elapsed() < Duration::from_secs(10), "{:?}", recorder.counts());
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(recorder.counts().written, 0);
    fs::remove_file(&config.path).expect("the link can be removed");
    record_until_written(&recorder);
    let counts = finish(&recorder, writer);
    let summary = summarize(&config.path);
    assert_eq!(summary.runs[0].missing(), counts.lost);
    assert_eq!(summary.runs[0].records_by_kind["limit"], counts.written);
    assert!(summary.runs[0].records_by_kind["gap"] >= 1 && summary.invalid_line_count == 0);
}

#[test]
fn writing_resumes_once_a_removed_directory_exists_again() {
    let directory = TempDirectory::new("vanishes");
    let config = directory.config(1 << 20, 4096);
    let (recorder, writer) = start_writer(config.clone()).expect("the writer starts");
    record_until_written(&recorder);
    fs::remove_dir_all(&directory.0).expect("the directory can be removed");
    let start = Instant::now();
    while recorder.counts().lost == 0 {
        assert!(start.elapsed() < Duration::from_secs(10), "the removed file was not noticed");
        recorder.record(counter_event(1));
        std::thread::sleep(Duration::from_millis(20));
    }
    fs::create_dir_all(&directory.0).expect("the directory can be created again");
    record_until_written(&recorder);
    finish(&recorder, writer);
    let summary = summarize(&config.path);
    assert!(summary.runs[0].records_by_kind["gap"] == 1 && summary.runs[0].missing() > 0);
}

#[test]
fn rotation_keeps_the_configured_number_of_files_and_loses_no_record() {
    let directory = TempDirectory::new("rotates");
    let config = directory.config(8_192, 4096);
    let (recorder, writer) = start_writer(config.clone()).expect("the writer starts");
    for count in 0..400 {
        recorder.record(counter_event(count));
        // Small batches, so that the file is rotated several times.
        while count % 8 == 7 && recorder.counts().written <= count {
            std::thread::yield_now();
        }
    }
    assert_eq!(finish(&recorder, writer).written, 400);
    let files = [rotated_path(&config.path, 2), rotated_path(&config.path, 1), config.path.clone()];
    assert!(!rotated_path(&config.path, 3).exists());
    let mut complete = Vec::new();
    for file in &files {
        let bytes = fs::read(file).expect("the file exists");
        assert!(bytes.len() <= 8_192 && bytes.ends_with(b"\n"), "{}", bytes.len());
        complete.extend(bytes);
    }
    let mut summary = StreamSummary::default();
    lines(&complete).iter().for_each(|line| summary.add(1, line));
    assert_eq!(
        (summary.runs[0].missing(), summary.runs[0].out_of_order(), summary.invalid_line_count),
        (0, 0, 0)
    );
    let last = lines(&complete).pop().expect("the files have a line");
    assert!(matches!(last, Line::Record(Record { event: EventKind::CounterReached { count: 399, .. }, .. })));
}

#[test]
fn a_line_truncated_by_a_crash_does_not_affect_other_lines() {
    let directory = TempDirectory::new("truncated");
    let config = directory.config(1 << 20, 64);
    let (recorder, writer) = start_writer(config.clone()).expect("the writer starts");
    (0..3).for_each(|count| recorder.record(counter_event(count)));
    finish(&recorder, writer);
    let bytes = fs::read(&config.path).expect("the log file can be read");
    fs::write(&config.path, &bytes[..bytes.len() - 20]).expect("the file can be overwritten");
    assert!(summarize(&config.path).is_truncated);
    let (recorder, writer) = start_writer(config.clone()).expect("the writer starts");
    recorder.record(counter_event(9));
    finish(&recorder, writer);
    let summary = summarize(&config.path);
    assert_eq!(
        (summary.invalid_line_count, summary.invalid_lines[0].number, summary.is_truncated),
        (1, 3, false)
    );
    assert_eq!((summary.runs[0].records_by_kind["limit"], summary.runs[1].records_by_kind["limit"]), (2, 1));
}

#[test]
fn a_file_that_another_writer_has_open_is_rejected() {
    let directory = TempDirectory::new("two");
    let (_recorder, _writer) = start_writer(directory.config(1 << 20, 64)).expect("the first writer starts");
    let error = start_writer(directory.config(1 << 20, 64)).err().expect("the second writer is rejected");
    assert!(error.to_string().contains("another process"), "{error}");
    assert!(
        start_writer(EventLogConfig { path: directory.0.join("no/such"), ..directory.config(1, 1) }).is_err()
    );
}

/// The bytes of a log file with records of several kinds.
fn written_file(name: &str) -> Vec<u8> {
    let directory = TempDirectory::new(name);
    let config = directory.config(1 << 20, 64);
    let (recorder, writer) = start_writer(config.clone()).expect("the writer starts");
    recorder.record(EventKind::RunStarted { name: "n\u{e9}\"".into(), version: "0".into() });
    (0..4).for_each(|count| recorder.record(counter_event(count)));
    recorder.record(EventKind::RunEnded { requests_left: 0, requests: None });
    finish(&recorder, writer);
    fs::read(&config.path).expect("the log file can be read")
}

// The writer may be killed at any byte of a write.
#[test]
fn each_prefix_of_a_file_is_read_up_to_its_last_complete_line() {
    let bytes = written_file("prefixes");
    for end in 0..=bytes.len() {
        let prefix = &bytes[..end];
        let complete_lines = prefix.iter().filter(|&&byte| byte == b'\n').count();
        let read = lines(prefix);
        let records = read.iter().filter(|line| matches!(line, Line::Record(_))).count();
        let truncated = usize::from(end > 0 && !prefix.ends_with(b"\n"));
        assert_eq!((records, read.len()), (complete_lines, complete_lines + truncated), "{end} bytes");
        assert!(truncated == 0 || read.last() == Some(&Line::Truncated), "{end} bytes");
    }
}

// Earlier versions of the writer did not end a partial line, so that the next line was joined to it.
#[test]
fn a_partial_line_joined_with_the_next_is_one_invalid_line() {
    let bytes = written_file("joined");
    let starts: Vec<usize> =
        bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n').map(|(at, _)| at + 1).collect();
    for cut in starts[1] + 1..starts[2] - 1 {
        let joined = [&bytes[..cut], &bytes[starts[2]..]].concat();
        let read = lines(&joined);
        let records = read.iter().filter(|line| matches!(line, Line::Record(_))).count();
        assert_eq!((records, read.len()), (starts.len() - 2, starts.len() - 1), "cut at {cut}: {read:?}");
        assert!(matches!(read[2], Line::Invalid { .. }), "cut at {cut}");
    }
}
