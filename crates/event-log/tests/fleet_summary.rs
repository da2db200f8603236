//! Tests of the fleet summary on fixed streams of one and two schedulers.
use copperspread_event_log::fleet_summary::FleetSummary;
use copperspread_event_log::reader::Reader;

/// A scheduler's stream with one request, which is sent to r0 at `sent_at_s` and ends there at `ended_at_s`.
/// The final response is recorded before the attempt's end, which is a valid order.
fn stream(run: &str, sent_at_s: u64, ended_at_s: u64, outcome: &str) -> Vec<String> {
    stream_with_step(run, sent_at_s, ended_at_s, outcome, 0)
}

/// The stream of [`stream`] with the wall clock set by `step_s` seconds while the attempt is in flight.
fn stream_with_step(run: &str, sent_at_s: u64, ended_at_s: u64, outcome: &str, step_s: i64) -> Vec<String> {
    let (request, elapsed_us) = (format!(r#""flow":"{run:0>16}""#), (ended_at_s - sent_at_s) * 1_000_000);
    let response = if outcome == "served" { "served" } else { "failed" };
    let events = [
        format!(r#""kind":"run_started","name":"n{run}","program":"0""#),
        format!(r#""kind":"flow_taken",{request},"class":"once","time_left_us":9000000"#),
        format!(r#""kind":"decided",{request},"choice":"send","real_server":"r0","estimate_us":1000000"#),
        format!(r#""kind":"scheduling_sent",{request},"attempt":0,"real_server":"r0""#),
        format!(
            r#""kind":"answered",{request},"class":"once","answer":"{response}","after_us":{elapsed_us}"#
        ),
        format!(
            r#""kind":"scheduling_ended",{request},"attempt":0,"real_server":"r0","outcome":"{outcome}","elapsed_us":{elapsed_us}"#
        ),
    ];
    let line = |(sequence, event): (usize, String)| {
        let (at_s, step_s) = if sequence < 4 { (sent_at_s, 0) } else { (ended_at_s, step_s) };
        let (unix_s, mono_us) = (at_s.saturating_add_signed(step_s), (at_s - sent_at_s) * 1_000_000);
        let clocks = format!(r#""unix_us":{unix_s}000000,"mono_us":{mono_us}"#);
        format!(r#"{{"v":1,"run":"{run}","seq":{sequence},{clocks},"what":{{{event}}}}}"#) + "\n"
    };
    events.into_iter().enumerate().map(line).collect()
}

fn summarize(text: &str) -> FleetSummary {
    let mut fleet = FleetSummary::default();
    for line in Reader::new(text.as_bytes()) {
        fleet.add(&line.expect("reading from memory succeeds").1);
    }
    fleet
}

fn summary_text(streams: &[Vec<String>]) -> String {
    summarize(&streams.concat().concat()).to_text(5, 10)
}

#[test]
fn attempts_of_two_schedulers_at_one_worker_are_counted_together() {
    let text = summary_text(&[stream("1", 100, 103, "served"), stream("2", 102, 104, "reset")]);
    assert!(text.starts_with("2 schedulers, 2 runs, 0 records missing, 0 other lines\n"), "{text}");
    assert!(text.contains("    0 s: taken 2, sent 2, lists 0; answers: failed 1, served 1;"), "{text}");
    let worker = "worker r0: sent 2 (100.0 %), at most 2 out at once; reset 1, served 1; took 3.0";
    assert!(text.contains(worker), "{text}");
}

#[test]
fn an_attempt_that_ends_as_the_next_starts_is_not_in_flight_with_it() {
    let text = summary_text(&[stream("1", 100, 102, "served"), stream("2", 102, 104, "served")]);
    assert!(text.contains("at most 1 out at once"), "{text}");
}

/// Records must not be placed by the wall clock: if it is set back, the attempt would end before its start;
/// if it is set forward by an hour, its end would be in another window.
#[test]
fn a_wall_clock_that_is_set_during_a_run_moves_no_record_to_another_window() {
    for step_s in [-3_600, -5, 5, 3_600] {
        let streams =
            [stream_with_step("1", 9_100, 9_103, "served", step_s), stream("2", 9_102, 9_104, "reset")];
        let text = summary_text(&streams);
        assert!(text.contains("\n1 times a wall clock was set while a run went on\n"), "{text}");
        let windows: Vec<_> = text.lines().filter(|line| line.contains(" s: taken ")).collect();
        assert_eq!(windows.len(), 1, "set by {step_s} s: {text}");
        assert!(windows[0].starts_with("    0 s: taken 2, sent 2, lists 0; answers: failed 1, served 1;"));
        let worker = "worker r0: sent 2 (100.0 %), at most 2 out at once; reset 1, served 1; took 3.0";
        assert!(text.contains(worker), "set by {step_s} s: {text}");
    }
}

#[test]
fn missing_records_are_counted_and_an_end_without_a_start_is_not_in_flight() {
    let mut incomplete = stream("1", 100, 103, "served");
    incomplete.remove(3);
    let text = summary_text(&[incomplete]);
    assert!(text.contains("1 records missing"), "{text}");
    assert!(text.contains("sent 0 (0.0 %), at most 0 out at once; served 1"), "{text}");
}

#[test]
fn log_lines_between_the_records_are_counted_and_skipped() {
    // A collector's timestamp before each record, and a truncated record that is joined with another one.
    let with_timestamps =
        stream("1", 100, 101, "served").iter().map(|line| format!("[0.54] {line}")).collect::<String>();
    let fleet = summarize(&format!("12:00 INFO ready\n{with_timestamps}{}\n", r#"{"v":1,"run":"2",{"v":1}"#));
    assert!(fleet.to_text(1, 0).starts_with("1 schedulers, 1 runs, 0 records missing, 2 other lines\n"));
    assert!(fleet.to_text(0, 0).ends_with("1 more workers\n"), "a window of 0 is taken as 1");
    assert_eq!(summarize("").to_text(5, 5), "0 schedulers, 0 runs, 0 records missing, 0 other lines\n");
}
