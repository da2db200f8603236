//! Tests of reading the trace of a scenario from a scheduler's event log.
use copperspread_testbed::model::arrivals::Arrivals;
use copperspread_testbed::policy::PolicyKind;
use copperspread_testbed::scenario::Scenario;
use copperspread_testbed::simulation::simulate;
use copperspread_testbed::trace::{SkippedRecords, load_trace};

fn calm() -> Scenario {
    Scenario::parse(include_str!("../scenarios/calm.toml")).expect("the scenario is valid")
}

fn log_line(seq: u64, unix_us: u64, what: &str) -> String {
    format!(r#"{{"v":1,"run":"r","seq":{seq},"unix_us":{unix_us},"mono_us":{unix_us},"what":{what}}}"#) + "\n"
}

fn request_accepted(class: &str, rest: &str) -> String {
    format!(
        r#"{{"kind":"flow_taken","flow":"0000000000000001","class":"{class}"{rest},"time_left_us":5000000}}"#
    )
}

#[test]
fn accepted_requests_become_the_arrivals_of_the_scenario() {
    let text = [
        log_line(1, 5_000_000, r#"{"kind":"run_started","name":"n","program":"0"}"#),
        log_line(2, 7_500_000, &request_accepted("status", r#","cost_hint_s":0.25"#)),
        log_line(3, 7_000_000, &request_accepted("uitbetaling", r#","cost_hint_s":0.5,"slots":2.0"#)),
        log_line(4, 8_000_000, &request_accepted("status", "")),
        log_line(5, 8_000_000, &request_accepted("other", r#","cost_hint_s":0.5"#)),
        "garbage\n".to_owned(),
        log_line(7, 10_000_000, &request_accepted("status", r#","cost_hint_s":0.125"#)),
        log_line(8, 11_000_000, r#"{"kind":"from a later version"}"#),
        "{\"v\":1,\"ru".to_owned(),
    ]
    .concat();
    let mut scenario = calm();
    let skipped = load_trace(&mut scenario, text.as_bytes()).expect("the event log has a trace");
    assert_eq!(skipped, SkippedRecords { unknown_class: 1, no_hint: 1, unreadable: 2 });
    let arrivals: Vec<_> =
        Arrivals::new(&scenario, 1).map(|job| (job.at, job.class, job.work, job.slots)).collect();
    assert_eq!(arrivals, [(0, 3, 0.5, 2.0), (500_000, 0, 0.25, 1.0), (3_000_000, 0, 0.125, 1.0)]);
    // The scenario is the same after it is serialized and parsed again.
    let again = Scenario::parse(&toml::to_string(&scenario).expect("the scenario serializes to TOML"))
        .expect("the scenario is valid");
    assert_eq!(again, scenario);
    let outcome = simulate(&again, PolicyKind::Copperspread, 1).expect("the simulation accepts the settings");
    assert_eq!((outcome.jobs, outcome.weight.in_time_share()), (3, 1.0));
}

#[test]
fn an_event_log_without_a_usable_request_is_an_error() {
    let without_requests = log_line(1, 5, r#"{"kind":"run_started","name":"n","program":"0"}"#);
    for (text, expected) in [
        ("", "no request has both a class of the scenario and a cost hint"),
        (&without_requests, "no request has both a class of the scenario"),
        ("x\n", "line 1 is not an event log record"),
    ] {
        let error = load_trace(&mut calm(), text.as_bytes()).expect_err(text).to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}

#[test]
fn a_step_of_the_wall_clock_between_requests_changes_no_arrival_time() {
    let arrivals_with_step = |step_s: i64| -> Vec<u64> {
        let line = |sequence: u64, at_us: u64| {
            let clock_step_us = if at_us < 6_000_000 { 0 } else { step_s * 1_000_000 };
            let unix_us = 1_700_000_000_000_000_u64.saturating_add_signed(clock_step_us) + at_us;
            let accepted = request_accepted("status", r#","cost_hint_s":0.25"#);
            format!(
                r#"{{"v":1,"run":"r","seq":{sequence},"unix_us":{unix_us},"mono_us":{at_us},"what":{accepted}}}"#
            ) + "\n"
        };
        let text: String = [(0, 5_000_000), (1, 5_500_000), (2, 6_500_000), (3, 8_000_000)]
            .map(|(sequence, at_us)| line(sequence, at_us))
            .concat();
        let mut scenario = calm();
        load_trace(&mut scenario, text.as_bytes()).expect("the event log has a trace");
        Arrivals::new(&scenario, 1).map(|job| job.at).collect()
    };
    for step_s in [-3_600, -1, 0, 5, 3_600] {
        assert_eq!(arrivals_with_step(step_s), [0, 500_000, 1_500_000, 3_000_000], "clock set by {step_s} s");
    }
}
