//! Snapshot tests of the serialized line of each event kind, and of the summaries of a fixed stream.
use copperspread_event_log::fleet_summary::FleetSummary;
use copperspread_event_log::reader::{Line, Reader};
use copperspread_event_log::stream_summary::StreamSummary;
use copperspread_event_log::writer::{EventLogConfig, start_writer};
use copperspread_event_log::{Decision, EndpointEntry, EventKind, FORMAT_VERSION, Record, RequestCounts};

const REQUEST_ID: &str = "00000000000000a1";
const WORKER: &str = "worker-1:80";

fn decided(decision: Decision) -> EventKind {
    EventKind::Decided { request_id: REQUEST_ID.into(), decision }
}

fn rejected(reason: &str, late_by_us: Option<u64>) -> EventKind {
    decided(Decision::Reject { retry_after_us: 250_000, reason: reason.into(), late_by_us })
}

fn accepted(cost_hint_s: Option<f64>, slots: Option<f64>) -> EventKind {
    EventKind::RequestAccepted {
        request_id: REQUEST_ID.into(),
        class: "batch".into(),
        cost_hint_s,
        slots,
        time_left_us: 9_000_000,
    }
}

fn sent(attempt: u32) -> EventKind {
    EventKind::AttemptSent { request_id: REQUEST_ID.into(), attempt, worker: WORKER.into() }
}

fn ended(attempt: u32, outcome: &str, free_slots: Option<f64>, queue: Option<f64>) -> EventKind {
    EventKind::AttemptEnded {
        request_id: REQUEST_ID.into(),
        attempt,
        worker: WORKER.into(),
        outcome: outcome.into(),
        elapsed_us: 1_500_000,
        free_slots,
        queue,
    }
}

fn finished(response: &str) -> EventKind {
    let (class, response) = ("batch".into(), response.into());
    EventKind::RequestFinished {
        request_id: REQUEST_ID.into(),
        class,
        response,
        elapsed_since_accepted_us: 1_600_000,
    }
}

fn endpoint(state: &str, started_us: Option<u64>, size: Option<f64>) -> EndpointEntry {
    EndpointEntry { worker: WORKER.into(), state: state.into(), started_us, kind: 2, zone: 1, size }
}

/// Every event kind and every decision, with and without optional fields.
fn every_kind() -> Vec<EventKind> {
    let endpoints = vec![endpoint("ready", Some(1_000_000), Some(2.5)), endpoint("gone", None, None)];
    vec![
        EventKind::RunStarted { name: "scheduler-1".into(), version: "0.2.0".into() },
        EventKind::EndpointsChanged { form: "full".into(), endpoints },
        accepted(Some(0.5), Some(2.0)),
        accepted(None, None),
        decided(Decision::Send { worker: WORKER.into(), estimate_us: 1_000_000 }),
        sent(0),
        decided(Decision::Cancel { attempt: 0 }),
        ended(0, "cancelled", None, None),
        decided(Decision::Send { worker: WORKER.into(), estimate_us: 1_000_000 }),
        sent(1),
        ended(1, "served", Some(0.5), Some(3.0)),
        finished("served"),
        rejected("late", Some(40_000)),
        rejected("scarce", None),
        finished("refused"),
        decided(Decision::Fail),
        finished("failed"),
        EventKind::CounterReached { counter: "too many connections".into(), count: 4 },
        EventKind::Gap { dropped: 2 },
        // Without `requests`, as older versions wrote it, and with it.
        EventKind::RunEnded { requests_left: 1, requests: None },
        EventKind::RunEnded {
            requests_left: 1,
            requests: Some(RequestCounts { received: 5, answered: 3, disconnected: 1, unanswered: 1 }),
        },
    ]
}

/// The events as records of a run, 250 ms apart. The gap has the number of the last missing record.
fn records() -> Vec<Record> {
    let mut sequence = 0;
    let numbered = |(number, event): (u64, EventKind)| {
        if let EventKind::Gap { dropped } = event {
            sequence += dropped - 1;
        }
        let mono_us = number * 250_000;
        let unix_us = 1_700_000_000_000_000 + mono_us;
        let record = Record {
            format_version: FORMAT_VERSION,
            run_id: "run-1".into(),
            sequence,
            unix_us,
            mono_us,
            event,
        };
        sequence += 1;
        record
    };
    (0..).zip(every_kind()).map(numbered).collect()
}

fn stream() -> String {
    records()
        .iter()
        .map(|record| serde_json::to_string(record).expect("the record can be written as JSON") + "\n")
        .collect()
}

fn lines(text: &str) -> Vec<Line> {
    Reader::new(text.as_bytes()).map(|line| line.expect("reading from memory succeeds").1).collect()
}

#[test]
fn each_event_kind_matches_its_snapshot_and_is_read_back() {
    insta::assert_snapshot!("lines", stream());
    let expected: Vec<Line> = records().into_iter().map(Line::Record).collect();
    assert_eq!(lines(&stream()), expected);
}

#[test]
fn the_writer_writes_the_same_lines() {
    let directory = std::env::temp_dir().join(format!("copperspread-transcripts-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    let file = directory.join("records.jsonl");
    let (recorder, writer) = start_writer(EventLogConfig {
        path: file.clone(),
        max_file_bytes: 1 << 20,
        max_rotated_files: 1,
        queue_capacity: 64,
    })
    .expect("the writer starts");
    every_kind().into_iter().for_each(|event| recorder.record(event));
    recorder.close();
    let is_complete = writer.finish(std::time::Duration::from_secs(1));
    assert!(is_complete, "not all queued records were written within the time limit");
    let written = std::fs::read_to_string(&file).expect("the log file can be read");
    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
    // Run id, sequence numbers and times differ in each run and are taken from the file.
    let mut expected = String::new();
    for (line, event) in lines(&written).into_iter().zip(every_kind()) {
        let Line::Record(record) = line else { panic!("not a record: {line:?}") };
        expected += &(serde_json::to_string(&Record { event, ..record })
            .expect("the record can be written as JSON")
            + "\n");
    }
    assert_eq!(written, expected);
}

#[test]
fn the_summaries_of_a_stream_match_their_snapshots() {
    let other_lines = "12:00 INFO ready\n";
    let unknown =
        stream().lines().next_back().expect("the stream has a line").replace("run_ended", "run_paused");
    let truncated = "{\"v\":1,\"run\":";
    let text = format!("{}{other_lines}{unknown}\n{truncated}", stream());
    let (mut stream_summary, mut fleet_summary) = (StreamSummary::default(), FleetSummary::default());
    for (number, line) in (1..).zip(lines(&text)) {
        stream_summary.add(number, &line);
        fleet_summary.add(&line);
    }
    insta::assert_snapshot!("report", stream_summary.to_text());
    insta::assert_snapshot!("fleet", fleet_summary.to_text(2, 1));
}
