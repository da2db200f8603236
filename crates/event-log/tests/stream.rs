//! Streams whose file fails in each way there is, and what a reader makes of them.
use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use copperspread_event_log::reader::{Line, Reader};
use copperspread_event_log::stream_summary::StreamSummary;
use copperspread_event_log::writer::{
    EventLogConfig, RecordCounts, Recorder, Writer, rotated_path, start_writer,
};
use copperspread_event_log::{Decision, EventKind, FORMAT, Record};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("copperspread-event-log-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
    fn spec(&self, rotate_at: u64, queue: usize) -> EventLogConfig {
        EventLogConfig {
            path: self.0.join("r.jsonl"),
            max_file_bytes: rotate_at,
            max_rotated_files: 2,
            queue_capacity: queue,
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn limit(count: u64) -> EventKind {
    EventKind::CounterReached { counter: "x".repeat(40), count }
}

fn lines(bytes: &[u8]) -> Vec<Line> {
    Reader::new(bytes).map(|line| line.expect("memory reads").1).collect()
}

fn report(path: &Path) -> StreamSummary {
    let mut report = StreamSummary::default();
    for (number, line) in lines(&fs::read(path).expect("a file")).iter().enumerate() {
        report.add(number as u64 + 1, line);
    }
    report
}

fn end(recorder: &Recorder, writer: Writer) -> RecordCounts {
    recorder.close();
    assert!(writer.finish(), "all that waited is written");
    recorder.counts()
}

/// Records until one has been written after now, at most for so long as the writer may take to look.
fn until_written(recorder: &Recorder) {
    let (before, began) = (recorder.counts().written, Instant::now());
    while recorder.counts().written == before {
        assert!(began.elapsed() < Duration::from_secs(10), "{:?}", recorder.counts());
        recorder.record(limit(0));
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn what_is_recorded_is_read_back_in_order_by_run() {
    let folder = Folder::new("back");
    for name in ["first", "second"] {
        let (recorder, writer) = start_writer(folder.spec(1 << 20, 4096)).expect("a file");
        recorder.record(EventKind::RunStarted { name: name.into(), version: "0".into() });
        for count in 0..500 {
            recorder.record(limit(count));
        }
        recorder.record(EventKind::RunEnded { requests_left: 0 });
        assert_eq!(end(&recorder, writer), RecordCounts { written: 502, dropped: 0, failed: 0 });
        recorder.record(limit(0));
    }
    let report = report(&folder.spec(0, 0).path);
    let of = |at: usize| {
        (report.runs[at].name.as_deref(), report.runs[at].records_by_kind["limit"], report.runs[at].has_ended)
    };
    assert_eq!((of(0), of(1)), ((Some("first"), 500, true), (Some("second"), 500, true)));
    assert!(report.runs.iter().all(|run| (run.missing(), run.out_of_order(), run.clock_steps) == (0, 0, 0)));
}

// A pipe that nobody reads stands for a disk that hangs: writes to it wait for good.
#[test]
fn a_disk_that_hangs_costs_records_and_no_time_and_leaves_a_gap() {
    let folder = Folder::new("hangs");
    let spec = folder.spec(1 << 20, 64);
    assert!(std::process::Command::new("mkfifo").arg(&spec.path).status().expect("it runs").success());
    let (recorder, writer) = start_writer(spec.clone()).expect("a pipe");
    let began = Instant::now();
    for count in 0..20_000 {
        recorder.record(limit(count));
    }
    let took = began.elapsed();
    let dropped = recorder.counts().dropped;
    assert!(dropped > 10_000, "{:?}", recorder.counts());
    assert!(took < Duration::from_secs(5), "the serving path waited: {took:?}");
    // The disk comes back: what waited is written, then what comes, after the gap.
    let mut pipe = fs::File::open(&spec.path).expect("a pipe");
    let read = std::thread::spawn(move || {
        let mut bytes = Vec::new();
        let mut part = [0; 1 << 16];
        while !bytes.ends_with(b"\"count\":77777}}\n") {
            let read = pipe.read(&mut part).expect("it reads");
            bytes.extend_from_slice(&part[..read]);
        }
        bytes
    });
    let before = recorder.counts().written;
    while recorder.counts().written < before + 64 {
        std::thread::sleep(Duration::from_millis(1));
    }
    recorder.record(limit(77_777));
    let bytes = read.join().expect("it ends");
    assert!(end(&recorder, writer).failed == 0);
    let mut report = StreamSummary::default();
    let lines = lines(&bytes);
    lines.iter().enumerate().for_each(|(number, line)| report.add(number as u64 + 1, line));
    let told: u64 = lines
        .iter()
        .filter_map(|line| match line {
            Line::Record(Record { event: EventKind::Gap { dropped }, .. }) => Some(*dropped),
            _ => None,
        })
        .sum();
    assert_eq!((told, report.runs[0].missing()), (dropped, dropped));
    assert_eq!((report.invalid_line_count, report.runs[0].out_of_order()), (0, 0));
}

#[test]
fn a_hanging_disk_does_not_hold_the_end_up() {
    let folder = Folder::new("hangs-end");
    let spec = folder.spec(1 << 20, 4096);
    assert!(std::process::Command::new("mkfifo").arg(&spec.path).status().expect("it runs").success());
    let (recorder, writer) = start_writer(spec).expect("a pipe");
    (0..4_000).for_each(|count| recorder.record(limit(count)));
    recorder.close();
    let began = Instant::now();
    assert!(!writer.finish(), "it says that not all was written");
    assert!(began.elapsed() < Duration::from_secs(5));
}

// A link to the device that is always full stands for a disk that fills up and is cleared.
#[test]
fn a_full_disk_loses_records_until_there_is_room_and_says_so() {
    let folder = Folder::new("full");
    let spec = folder.spec(1 << 20, 4096);
    std::os::unix::fs::symlink("/dev/full", &spec.path).expect("a link");
    let (recorder, writer) = start_writer(spec.clone()).expect("it opens");
    (0..100).for_each(|count| recorder.record(limit(count)));
    let began = Instant::now();
    while recorder.counts().failed < 100 {
        assert!(began.elapsed() < Duration::from_secs(10), "{:?}", recorder.counts());
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(recorder.counts().written, 0);
    fs::remove_file(&spec.path).expect("the link goes");
    until_written(&recorder);
    let counts = end(&recorder, writer);
    let report = report(&spec.path);
    assert_eq!(report.runs[0].missing(), counts.failed);
    assert_eq!(report.runs[0].records_by_kind["limit"], counts.written);
    assert!(report.runs[0].records_by_kind["gap"] >= 1 && report.invalid_line_count == 0);
}

#[test]
fn a_folder_that_vanishes_and_comes_back_is_written_again() {
    let folder = Folder::new("vanishes");
    let spec = folder.spec(1 << 20, 4096);
    let (recorder, writer) = start_writer(spec.clone()).expect("a file");
    until_written(&recorder);
    fs::remove_dir_all(&folder.0).expect("it goes");
    let began = Instant::now();
    while recorder.counts().failed == 0 {
        assert!(began.elapsed() < Duration::from_secs(10), "it is noticed");
        recorder.record(limit(1));
        std::thread::sleep(Duration::from_millis(20));
    }
    fs::create_dir_all(&folder.0).expect("it comes back");
    until_written(&recorder);
    end(&recorder, writer);
    let report = report(&spec.path);
    assert!(report.runs[0].records_by_kind["gap"] == 1 && report.runs[0].missing() > 0);
}

#[test]
fn rotation_keeps_as_many_files_as_asked_and_loses_nothing_between_them() {
    let folder = Folder::new("rotates");
    let spec = folder.spec(8_192, 4096);
    let (recorder, writer) = start_writer(spec.clone()).expect("a file");
    for count in 0..400 {
        recorder.record(limit(count));
        // Small batches, so that the files turn several times.
        while count % 8 == 7 && recorder.counts().written <= count {
            std::thread::yield_now();
        }
    }
    assert_eq!(end(&recorder, writer).written, 400);
    let files = [rotated_path(&spec.path, 2), rotated_path(&spec.path, 1), spec.path.clone()];
    assert!(!rotated_path(&spec.path, 3).exists());
    let mut whole = Vec::new();
    for file in &files {
        let bytes = fs::read(file).expect("it is there");
        assert!(bytes.len() <= 8_192 && bytes.ends_with(b"\n"), "{}", bytes.len());
        whole.extend(bytes);
    }
    let mut report = StreamSummary::default();
    lines(&whole).iter().for_each(|line| report.add(1, line));
    assert_eq!(
        (report.runs[0].missing(), report.runs[0].out_of_order(), report.invalid_line_count),
        (0, 0, 0)
    );
    let last = lines(&whole).pop().expect("a line");
    assert!(matches!(last, Line::Record(Record { event: EventKind::CounterReached { count: 399, .. }, .. })));
}

#[test]
fn a_line_that_a_crash_has_torn_spoils_no_other() {
    let folder = Folder::new("torn");
    let spec = folder.spec(1 << 20, 64);
    let (recorder, writer) = start_writer(spec.clone()).expect("a file");
    (0..3).for_each(|count| recorder.record(limit(count)));
    end(&recorder, writer);
    let bytes = fs::read(&spec.path).expect("a file");
    fs::write(&spec.path, &bytes[..bytes.len() - 20]).expect("cut");
    assert!(report(&spec.path).is_truncated);
    let (recorder, writer) = start_writer(spec.clone()).expect("a file");
    recorder.record(limit(9));
    end(&recorder, writer);
    let report = report(&spec.path);
    assert_eq!(
        (report.invalid_line_count, report.invalid_lines[0].number, report.is_truncated),
        (1, 3, false)
    );
    assert_eq!((report.runs[0].records_by_kind["limit"], report.runs[1].records_by_kind["limit"]), (2, 1));
}

#[test]
fn a_file_that_another_one_writes_is_refused() {
    let folder = Folder::new("two");
    let (_recorder, _writer) = start_writer(folder.spec(1 << 20, 64)).expect("a file");
    let refused = start_writer(folder.spec(1 << 20, 64)).err().expect("refused");
    assert!(refused.to_string().contains("another process"), "{refused}");
    assert!(start_writer(EventLogConfig { path: folder.0.join("no/such"), ..folder.spec(1, 1) }).is_err());
}

fn record(seq: u64, what: EventKind) -> Record {
    Record {
        format_version: FORMAT,
        run_id: "r".into(),
        sequence: seq,
        unix_us: 1_000 + seq,
        mono_us: seq,
        event: what,
    }
}

fn text(record: &Record) -> String {
    serde_json::to_string(record).expect("JSON") + "\n"
}

#[test]
fn newer_forms_and_kinds_are_told_from_garbage() {
    let good = text(&record(0, limit(1)));
    let cases = [
        (good.clone(), "record"),
        (good.replace("\"v\":1", "\"v\":2"), "bad"),
        (good.replace("\"limit\"", "\"lightning\""), "unknown"),
        (good.replace("\"count\":1", "\"count\":\"one\""), "bad"),
        (good.replace("\"count\":1", "\"count\":1,\"later\":true"), "record"),
        ("\n".into(), "bad"),
        ("{}\n".into(), "bad"),
        ("[".repeat(4_000) + "\n", "bad"),
        ("x".repeat(3 << 20) + "\n", "bad"),
        (good.trim().into(), "torn"),
    ];
    for (text, want) in cases {
        let read = lines(text.as_bytes());
        let got = match &read[..] {
            [Line::Record(_)] => "record",
            [Line::UnknownKind { .. }] => "unknown",
            [Line::Invalid { .. }] => "bad",
            [Line::Truncated] => "torn",
            _ => "more",
        };
        assert_eq!(got, want, "{}", &text[..text.len().min(90)]);
    }
}

// Guards against steps of the wall clock and gaps that a report smooths over.
#[test]
fn a_report_tells_clock_steps_gaps_and_answers() {
    let answered = |seq, answer: &str, after_us| {
        let (flow, class, answer) = ("0".repeat(16), "once".to_owned(), answer.to_owned());
        record(
            seq,
            EventKind::RequestFinished {
                request_id: flow,
                class,
                response: answer,
                elapsed_since_accepted_us: after_us,
            },
        )
    };
    let refuse = Decision::Reject { retry_after_us: 5, reason: "late".into(), late_by_us: Some(5) };
    let mut all = [
        record(0, EventKind::RunStarted { name: "n".into(), version: "1".into() }),
        answered(1, "served", 10_000),
        answered(2, "served", 30_000),
        record(6, EventKind::Gap { dropped: 4 }),
        record(7, EventKind::Decided { request_id: "f".into(), decision: refuse }),
        answered(9, "refused", 100),
    ];
    all[5].unix_us -= 900;
    all[4].unix_us += 60_000_000;
    let mut report = StreamSummary::default();
    let stream: String = all.iter().map(text).collect();
    lines(stream.as_bytes()).iter().for_each(|line| report.add(1, line));
    let run = &report.runs[0];
    assert_eq!((run.missing(), run.out_of_order(), run.clock_steps), (5, 0, 2), "four told, one not");
    assert_eq!(run.rejection_reasons["late"], 1);
    let text = report.to_text();
    assert!(
        text.contains("class once: taken 0, refused 1, served 2; served in 10.0 ms (median), 30.0 ms"),
        "{text}"
    );
    assert!(text.contains("5 records are missing") && text.contains("no end recorded"), "{text}");
}

fn fixed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn a_cut_stream_gives_all_its_whole_lines(count in 1_u64..30, at in any::<prop::sample::Index>()) {
        let stream: String = (0..count).map(|seq| text(&record(seq, limit(seq)))).collect();
        let cut = &stream.as_bytes()[..at.index(stream.len())];
        let whole = cut.iter().filter(|&&byte| byte == b'\n').count();
        let read = lines(cut);
        prop_assert_eq!(read.iter().filter(|line| matches!(line, Line::Record(_))).count(), whole);
        prop_assert_eq!(read.contains(&Line::Truncated), !cut.is_empty() && !cut.ends_with(b"\n"));
    }

    #[test]
    fn garbage_does_no_harm(bytes: Vec<u8>, text in "[{}\":,a-z0-9\n]{0,200}") {
        for input in [&bytes[..], text.as_bytes()] {
            let mut report = StreamSummary::default();
            lines(input).iter().for_each(|line| report.add(1, line));
            let _ = report.to_text();
        }
    }

    // Numbers in any order, some missing, some twice, against a count by sets.
    #[test]
    fn missing_numbers_are_counted_whatever_the_order(rest in prop::collection::vec(0_u64..60, 0..60)) {
        let mut report = StreamSummary::default();
        let numbers: Vec<u64> = std::iter::once(0).chain(rest).collect();
        numbers.iter().for_each(|&seq| report.add(1, &Line::Record(record(seq, limit(seq)))));
        let distinct: std::collections::BTreeSet<_> = numbers.iter().collect();
        let last = numbers.iter().max().copied().unwrap_or(0);
        let run = &report.runs[0];
        prop_assert_eq!(run.missing(), last + 1 - distinct.len() as u64);
        prop_assert_eq!(run.duplicates(), (numbers.len() - distinct.len()) as u64);
    }
}
