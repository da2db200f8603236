//! Approved transcripts: a line of every kind of record, and what the reports print of a fixed stream.
use copperspread_event_log::fleet_summary::FleetSummary;
use copperspread_event_log::reader::{Line, Reader};
use copperspread_event_log::stream_summary::StreamSummary;
use copperspread_event_log::writer::{EventLogConfig, start_writer};
use copperspread_event_log::{Decision, EndpointEntry, EventKind, FORMAT, Record};

const FLOW: &str = "00000000000000a1";
const REAL_SERVER: &str = "worker-1:80";

fn decided(choice: Decision) -> EventKind {
    EventKind::Decided { request_id: FLOW.into(), decision: choice }
}

fn refuse(why: &str, late_by_us: Option<u64>) -> EventKind {
    decided(Decision::Reject { retry_after_us: 250_000, reason: why.into(), late_by_us })
}

fn taken(cost_hint_s: Option<f64>, slots: Option<f64>) -> EventKind {
    EventKind::RequestAccepted {
        request_id: FLOW.into(),
        class: "batch".into(),
        cost_hint_s,
        slots,
        time_left_us: 9_000_000,
    }
}

fn sent(attempt: u32) -> EventKind {
    EventKind::AttemptSent { request_id: FLOW.into(), attempt, worker: REAL_SERVER.into() }
}

fn ended(attempt: u32, outcome: &str, free_slots: Option<f64>, queue: Option<f64>) -> EventKind {
    EventKind::AttemptEnded {
        request_id: FLOW.into(),
        attempt,
        worker: REAL_SERVER.into(),
        outcome: outcome.into(),
        elapsed_us: 1_500_000,
        free_slots,
        queue,
    }
}

fn answered(answer: &str) -> EventKind {
    let (class, answer) = ("batch".into(), answer.into());
    EventKind::RequestFinished {
        request_id: FLOW.into(),
        class,
        response: answer,
        elapsed_since_accepted_us: 1_600_000,
    }
}

fn entry(state: &str, started_us: Option<u64>, size: Option<f64>) -> EndpointEntry {
    EndpointEntry { worker: REAL_SERVER.into(), state: state.into(), started_us, kind: 2, zone: 1, size }
}

/// Every kind of record and of choice, with and without what may be absent.
fn every_kind() -> Vec<EventKind> {
    let entries = vec![entry("ready", Some(1_000_000), Some(2.5)), entry("gone", None, None)];
    vec![
        EventKind::RunStarted { name: "scheduler-1".into(), version: "0.2.0".into() },
        EventKind::EndpointsChanged { form: "full".into(), endpoints: entries },
        taken(Some(0.5), Some(2.0)),
        taken(None, None),
        decided(Decision::Send { worker: REAL_SERVER.into(), estimate_us: 1_000_000 }),
        sent(0),
        decided(Decision::Cancel { attempt: 0 }),
        ended(0, "cancelled", None, None),
        decided(Decision::Send { worker: REAL_SERVER.into(), estimate_us: 1_000_000 }),
        sent(1),
        ended(1, "served", Some(0.5), Some(3.0)),
        answered("served"),
        refuse("late", Some(40_000)),
        refuse("scarce", None),
        answered("refused"),
        decided(Decision::Fail),
        answered("failed"),
        EventKind::CounterReached { counter: "too many connections".into(), count: 4 },
        EventKind::Gap { dropped: 2 },
        EventKind::RunEnded { requests_left: 1 },
    ]
}

/// The kinds as records of a run with a record each quarter of a second; the gap's number follows those missing.
fn records() -> Vec<Record> {
    let mut seq = 0;
    let numbered = |(number, what): (u64, EventKind)| {
        if let EventKind::Gap { dropped } = what {
            seq += dropped - 1;
        }
        let mono_us = number * 250_000;
        let unix_us = 1_700_000_000_000_000 + mono_us;
        let record = Record {
            format_version: FORMAT,
            run_id: "run-1".into(),
            sequence: seq,
            unix_us,
            mono_us,
            event: what,
        };
        seq += 1;
        record
    };
    (0..).zip(every_kind()).map(numbered).collect()
}

fn stream() -> String {
    records().iter().map(|record| serde_json::to_string(record).expect("JSON") + "\n").collect()
}

fn lines(text: &str) -> Vec<Line> {
    Reader::new(text.as_bytes()).map(|line| line.expect("memory reads").1).collect()
}

#[test]
fn a_line_of_every_kind_is_as_approved_and_is_read_back() {
    insta::assert_snapshot!("lines", stream());
    let expected: Vec<Line> = records().into_iter().map(Line::Record).collect();
    assert_eq!(lines(&stream()), expected);
}

#[test]
fn the_writer_writes_the_same_lines() {
    let folder = std::env::temp_dir().join(format!("copperspread-transcripts-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("records.jsonl");
    let (recorder, writer) = start_writer(EventLogConfig {
        path: file.clone(),
        max_file_bytes: 1 << 20,
        max_rotated_files: 1,
        queue_capacity: 64,
    })
    .expect("a file");
    every_kind().into_iter().for_each(|what| recorder.record(what));
    recorder.close();
    assert!(writer.finish(), "all that waited is written");
    let written = std::fs::read_to_string(&file).expect("text");
    std::fs::remove_dir_all(&folder).expect("removed");
    // The run, its numbers and its times are of this run: they are put in the place of the fixed ones.
    let mut expected = String::new();
    for (line, what) in lines(&written).into_iter().zip(every_kind()) {
        let Line::Record(record) = line else { panic!("no record: {line:?}") };
        expected += &(serde_json::to_string(&Record { event: what, ..record }).expect("JSON") + "\n");
    }
    assert_eq!(written, expected);
}

#[test]
fn what_the_reports_print_of_a_stream_is_as_approved() {
    let other_lines = "12:00 INFO ready\n";
    let unknown = stream().lines().next_back().expect("a line").replace("run_ended", "run_paused");
    let torn = "{\"v\":1,\"run\":";
    let text = format!("{}{other_lines}{unknown}\n{torn}", stream());
    let (mut report, mut fleet) = (StreamSummary::default(), FleetSummary::default());
    for (number, line) in (1..).zip(lines(&text)) {
        report.add(number, &line);
        fleet.add(&line);
    }
    insta::assert_snapshot!("report", report.to_text());
    insta::assert_snapshot!("fleet", fleet.to_text(2, 1));
}
