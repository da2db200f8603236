//! Sums over schedulers, of streams that are written here.
use copperspread_event_log::fleet_summary::FleetSummary;
use copperspread_event_log::reader::Reader;

/// One scheduler's stream: a flow that is sent at a second to r0 and ends there some seconds later. The
/// answer is recorded before the scheduling's end, as it may be.
fn stream(run: &str, sent_at: u64, ends_at: u64, outcome: &str) -> Vec<String> {
    let (flow, took) = (format!(r#""flow":"{run:0>16}""#), (ends_at - sent_at) * 1_000_000);
    let answer = if outcome == "served" { "served" } else { "failed" };
    let whats = [
        format!(r#""kind":"run_started","name":"n{run}","program":"0""#),
        format!(r#""kind":"flow_taken",{flow},"class":"once","time_left_us":9000000"#),
        format!(r#""kind":"decided",{flow},"choice":"send","real_server":"r0","estimate_us":1000000"#),
        format!(r#""kind":"scheduling_sent",{flow},"attempt":0,"real_server":"r0""#),
        format!(r#""kind":"answered",{flow},"class":"once","answer":"{answer}","after_us":{took}"#),
        format!(
            r#""kind":"scheduling_ended",{flow},"attempt":0,"real_server":"r0","outcome":"{outcome}","elapsed_us":{took}"#
        ),
    ];
    let line = |(seq, what): (usize, String)| {
        let at = if seq < 4 { sent_at } else { ends_at };
        format!(r#"{{"v":1,"run":"{run}","seq":{seq},"unix_us":{at}000000,"mono_us":0,"what":{{{what}}}}}"#)
            + "\n"
    };
    whats.into_iter().enumerate().map(line).collect()
}

fn sum(text: &str) -> FleetSummary {
    let mut fleet = FleetSummary::default();
    for line in Reader::new(text.as_bytes()) {
        fleet.add(&line.expect("a line").1);
    }
    fleet
}

fn summed(streams: &[Vec<String>]) -> String {
    sum(&streams.concat().concat()).to_text(5, 10)
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
    // A stamp of whoever gathered them; and half a record with another behind it.
    let stamped =
        stream("1", 100, 101, "served").iter().map(|line| format!("[0.54] {line}")).collect::<String>();
    let fleet = sum(&format!("12:00 INFO ready\n{stamped}{}\n", r#"{"v":1,"run":"2",{"v":1}"#));
    assert!(fleet.to_text(1, 0).starts_with("1 schedulers, 1 runs, 0 records missing, 2 other lines\n"));
    assert!(fleet.to_text(0, 0).ends_with("1 more workers\n"), "a window of 0 is taken as 1");
    assert_eq!(sum("").to_text(5, 5), "0 schedulers, 0 runs, 0 records missing, 0 other lines\n");
}
