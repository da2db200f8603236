//! Sums over schedulers, of streams that are written here.
use copperspread_records::fleet::Fleet;
use copperspread_records::reader::{Line, Reader};
use copperspread_records::{Choice, FORMAT, Record, What};

const WORKER: &str = "r0";

/// One scheduler's stream: a flow that is sent at a second and ends some seconds later.
fn stream(run: &str, sent_at: u64, ends_at: u64, outcome: &str) -> Vec<Record> {
    let flow = format!("{run:0>16}");
    let whats = [
        (sent_at, What::RunStarted { name: format!("n{run}"), program: "0".into() }),
        (
            sent_at,
            What::FlowTaken {
                flow: flow.clone(),
                class: "once".into(),
                cost_hint_s: None,
                slots: None,
                time_left_us: 9_000_000,
            },
        ),
        (
            sent_at,
            What::Decided {
                flow: flow.clone(),
                choice: Choice::Send { real_server: WORKER.into(), estimate_us: 1_000_000 },
            },
        ),
        (sent_at, What::SchedulingSent { flow: flow.clone(), attempt: 0, real_server: WORKER.into() }),
        (
            ends_at,
            What::SchedulingEnded {
                flow: flow.clone(),
                attempt: 0,
                real_server: WORKER.into(),
                outcome: outcome.into(),
                elapsed_us: (ends_at - sent_at) * 1_000_000,
                free_slots: None,
                queue: None,
            },
        ),
        (
            ends_at,
            What::Answered {
                flow,
                class: "once".into(),
                answer: if outcome == "served" { "served" } else { "failed" }.into(),
                after_us: (ends_at - sent_at) * 1_000_000,
            },
        ),
    ];
    let record = |(seq, (at, what)): (usize, (u64, What))| Record {
        v: FORMAT,
        run: run.into(),
        seq: seq as u64,
        unix_us: at * 1_000_000,
        mono_us: (at - sent_at) * 1_000_000,
        what,
    };
    whats.into_iter().enumerate().map(record).collect()
}

fn summed(streams: &[Vec<Record>]) -> String {
    let mut fleet = Fleet::default();
    for record in streams.iter().flatten() {
        fleet.add(&Line::Record(record.clone()));
    }
    fleet.text(5, 10)
}

#[test]
fn jobs_of_two_schedulers_at_one_worker_are_counted_together() {
    let text = summed(&[stream("1", 100, 103, "served"), stream("2", 102, 104, "reset")]);
    assert!(text.starts_with("2 schedulers, 2 runs, 0 records missing, 0 other lines\n"), "{text}");
    assert!(text.contains("    0 s: taken 2, sent 2, lists 0; answers: failed 1, served 1;"), "{text}");
    let worker = "worker r0: sent 2 (100.0 %), at most 2 out at once; reset 1, served 1; took 3.0";
    assert!(text.contains(worker), "{text}");
}

#[test]
fn one_that_ends_as_the_next_begins_was_not_there_with_it() {
    let text = summed(&[stream("1", 100, 102, "served"), stream("2", 102, 104, "served")]);
    assert!(text.contains("at most 1 out at once"), "{text}");
}

#[test]
fn what_is_missing_is_told_and_an_end_without_its_sending_is_not_out() {
    let mut one = stream("1", 100, 103, "served");
    one.remove(3);
    let text = summed(&[one]);
    assert!(text.contains("1 records missing"), "{text}");
    assert!(text.contains("sent 0 (0.0 %), at most 0 out at once; served 1"), "{text}");
}

#[test]
fn log_lines_between_the_records_are_counted_and_passed_over() {
    let mut bytes = b"12:00 INFO ready\n".to_vec();
    for record in stream("1", 100, 101, "served") {
        // A stamp of whoever gathered them.
        bytes.extend(b"[0.54] ");
        bytes.extend(serde_json::to_vec(&record).expect("JSON"));
        bytes.push(b'\n');
    }
    bytes.extend(b"{\"v\":1,\"run\":\"2\",{\"v\":1}\n");
    let mut fleet = Fleet::default();
    for line in Reader::new(&bytes[..]) {
        fleet.add(&line.expect("a line").1);
    }
    assert!(fleet.text(1, 0).starts_with("1 schedulers, 1 runs, 0 records missing, 2 other lines\n"));
    assert!(fleet.text(0, 0).ends_with("1 more workers\n"), "a window of 0 is taken as 1");
    assert_eq!(Fleet::default().text(5, 5), "0 schedulers, 0 runs, 0 records missing, 0 other lines\n");
}
