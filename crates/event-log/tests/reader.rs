//! Tests of the reader and the stream summary on valid, newer, truncated and arbitrary lines.
mod support;

use copperspread_event_log::reader::Line;
use copperspread_event_log::stream_summary::StreamSummary;
use copperspread_event_log::{Decision, EventKind, FORMAT_VERSION, Record};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use support::{counter_event, lines};

fn record(sequence: u64, event: EventKind) -> Record {
    Record {
        format_version: FORMAT_VERSION,
        run_id: "r".into(),
        sequence,
        unix_us: 1_000 + sequence,
        mono_us: sequence,
        event,
    }
}

fn line_of(record: &Record) -> String {
    serde_json::to_string(record).expect("the record can be written as JSON") + "\n"
}

#[test]
fn newer_formats_and_unknown_kinds_are_distinguished_from_invalid_lines() {
    let valid = line_of(&record(0, counter_event(1)));
    let cases = [
        (valid.clone(), "record"),
        (valid.replace("\"v\":1", "\"v\":2"), "invalid"),
        (valid.replace("\"limit\"", "\"lightning\""), "unknown"),
        (valid.replace("\"count\":1", "\"count\":\"one\""), "invalid"),
        (valid.replace("\"count\":1", "\"count\":1,\"later\":true"), "record"),
        ("\n".into(), "invalid"),
        ("{}\n".into(), "invalid"),
        ("[".repeat(4_000) + "\n", "invalid"),
        ("x".repeat(3 << 20) + "\n", "invalid"),
        (valid.trim().into(), "truncated"),
    ];
    for (text, expected) in cases {
        let read = lines(text.as_bytes());
        let actual = match &read[..] {
            [Line::Record(_)] => "record",
            [Line::UnknownKind { .. }] => "unknown",
            [Line::Invalid { .. }] => "invalid",
            [Line::Truncated] => "truncated",
            _ => "not one line",
        };
        assert_eq!(actual, expected, "{}", &text[..text.len().min(90)]);
    }
}

/// A scheduler's log file from before the counters were renamed; it has one of the old names.
const FILE_WITH_OLD_COUNTER_NAME: &str = include_str!("files/renamed_counters.jsonl");

fn counters(text: &str) -> Vec<String> {
    let counter = |line| match line {
        Line::Record(Record { event: EventKind::CounterReached { counter, .. }, .. }) => Some(counter),
        _ => None,
    };
    lines(text.as_bytes()).into_iter().filter_map(counter).collect()
}

#[test]
fn old_and_new_names_of_a_counter_are_read_as_the_new_one() {
    let old_name = "a kept connection broke under its next request";
    assert!(FILE_WITH_OLD_COUNTER_NAME.contains(old_name));
    let cases = [
        (old_name, "a reused connection broke under its request"),
        ("an action finds its flow", "an action finds its request"),
        ("a flow has one scheduling at a real server", "a request has one attempt at a worker"),
    ];
    for (old, new) in cases {
        for written in [old, new] {
            let text = FILE_WITH_OLD_COUNTER_NAME.replace(old_name, written);
            assert_eq!(counters(&text), [new, "a connection broke under an attempt"], "{written}");
        }
    }
}

// A summary prints the reasons. The type names `Head` and `What` in them must not change.
#[test]
fn the_reasons_of_invalid_lines_keep_their_texts() {
    let valid = line_of(&record(0, counter_event(1)));
    let event_start = valid.find("{\"kind\"").expect("the line has an event");
    let cases = [
        ("5\n".to_owned(), "invalid type: integer `5`, expected struct Head at line 1 column 1"),
        ("[]\n".to_owned(), "invalid length 0, expected struct Head with 6 elements at line 1 column 2"),
        (
            format!("{}5}}\n", &valid[..event_start]),
            ": invalid type: integer `5`, expected internally tagged enum What",
        ),
        (valid.replace("\"v\":1", "\"v\":2"), "is of version 2; this program reads up to 1"),
        ("x".repeat(1 << 20) + "\n", "longer than a megabyte"),
    ];
    for (text, expected) in cases {
        let Some(Line::Invalid { reason }) = lines(text.as_bytes()).pop() else {
            panic!("the line is not invalid")
        };
        assert_eq!(reason.to_string(), expected);
    }
}

#[test]
fn a_summary_states_clock_steps_gaps_and_responses() {
    let finished = |sequence, response: &str, elapsed_since_accepted_us| {
        let (request_id, class, response) = ("0".repeat(16), "once".to_owned(), response.to_owned());
        let event = EventKind::RequestFinished { request_id, class, response, elapsed_since_accepted_us };
        record(sequence, event)
    };
    let rejection = Decision::Reject { retry_after_us: 5, reason: "late".into(), late_by_us: Some(5) };
    let mut records = [
        record(0, EventKind::RunStarted { name: "n".into(), version: "1".into() }),
        finished(1, "served", 10_000),
        finished(2, "served", 30_000),
        record(6, EventKind::Gap { dropped: 4 }),
        record(7, EventKind::Decided { request_id: "f".into(), decision: rejection }),
        finished(9, "refused", 100),
    ];
    records[5].unix_us -= 900;
    records[4].unix_us += 60_000_000;
    let mut summary = StreamSummary::default();
    let stream: String = records.iter().map(line_of).collect();
    lines(stream.as_bytes()).iter().for_each(|line| summary.add(1, line));
    let run = &summary.runs[0];
    assert_eq!(
        (run.missing(), run.out_of_order(), run.clock_steps),
        (5, 0, 2),
        "a gap states four missing records, one is unstated"
    );
    assert_eq!(run.rejection_reasons["late"], 1);
    let text = summary.to_text();
    assert!(
        text.contains("class once: taken 0, refused 1, served 2; served in 10.0 ms (median), 30.0 ms"),
        "{text}"
    );
    assert!(text.contains("5 records are missing") && text.contains("no end recorded"), "{text}");
}

#[test]
fn the_duration_of_a_run_depends_only_on_the_monotonic_clock() {
    for (step_s, first_kind) in [(-3_600, "limit"), (5, "limit"), (3_600, "lightning")] {
        let mut records: Vec<_> = (0..4).map(|sequence| record(sequence, counter_event(sequence))).collect();
        for record in &mut records {
            record.mono_us = 40_000_000 + record.sequence * 1_000_000;
            record.unix_us = 1_700_000_000_000_000 + record.mono_us;
        }
        records[3].unix_us = records[3].unix_us.saturating_add_signed(step_s * 1_000_000);
        let mut stream: String = records.iter().map(line_of).collect();
        // The stream begins in the middle of its run, in one case with a kind that this reader does not know.
        stream = stream.replacen("limit", first_kind, 1);
        let mut summary = StreamSummary::default();
        lines(stream.as_bytes()).iter().for_each(|line| summary.add(1, line));
        let text = summary.to_text();
        let seconds = if first_kind == "limit" { "3.0" } else { "2.0" };
        assert!(text.contains(&format!("4 records over {seconds} s")), "set by {step_s} s: {text}");
        assert_eq!(summary.runs[0].clock_steps, 1);
    }
}

fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn all_complete_lines_of_a_truncated_stream_are_read(count in 1_u64..30, at in any::<prop::sample::Index>()) {
        let stream: String = (0..count).map(|sequence| line_of(&record(sequence, counter_event(sequence)))).collect();
        let cut = &stream.as_bytes()[..at.index(stream.len())];
        let complete = cut.iter().filter(|&&byte| byte == b'\n').count();
        let read = lines(cut);
        prop_assert_eq!(read.iter().filter(|line| matches!(line, Line::Record(_))).count(), complete);
        prop_assert_eq!(read.contains(&Line::Truncated), !cut.is_empty() && !cut.ends_with(b"\n"));
    }

    #[test]
    fn arbitrary_input_never_panics(bytes: Vec<u8>, text in "[{}\":,a-z0-9\n]{0,200}") {
        for input in [&bytes[..], text.as_bytes()] {
            let mut summary = StreamSummary::default();
            lines(input).iter().for_each(|line| summary.add(1, line));
            let _ = summary.to_text();
        }
    }

    // The expected counts are computed from a set of the numbers.
    #[test]
    fn missing_and_duplicate_sequence_numbers_are_counted_in_any_order(rest in prop::collection::vec(0_u64..60, 0..60)) {
        let mut summary = StreamSummary::default();
        let numbers: Vec<u64> = std::iter::once(0).chain(rest).collect();
        numbers.iter().for_each(|&sequence| summary.add(1, &Line::Record(record(sequence, counter_event(sequence)))));
        let distinct: std::collections::BTreeSet<_> = numbers.iter().collect();
        let last = numbers.iter().max().copied().unwrap_or(0);
        let run = &summary.runs[0];
        prop_assert_eq!(run.missing(), last + 1 - distinct.len() as u64);
        prop_assert_eq!(run.duplicates(), (numbers.len() - distinct.len()) as u64);
    }
}
