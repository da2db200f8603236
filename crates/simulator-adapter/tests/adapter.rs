//! End-to-end tests of the adapter process with messages as on the wire, including invalid input.
mod common;

use std::process::Output;

use common::{PROVISION, run_adapter};

const TOPOLOGY: &str = r#"{"kind":"topology","node_id":"node-3","mode":"C","serial":41,"nodes_list":[{"executor":"10.18.74.7:11203","dc":0,"class_of_host":0,"cluster":0,"status":"live","nominal":1,"online_since_s":null}]}"#;
const WORK: &str = r#"{"kind":"work_item","node_id":"node-3","req":"1693fe8a5d3a91c4","width":2,"again":false,"org":0,"path_key":"fn:kd6b5sum7ecwe","is_retry":false,"memory":null,"category":0,"expires_in_s":5,"mutates":false,"work_s":0.012}"#;

fn batch(turn: u64, time: f64, lines: &[&str]) -> String {
    let mut text = format!("{{\"kind\":\"batch\",\"ts_s\":{time},\"turn\":{turn}}}\n");
    for line in lines {
        text.push_str(line);
        text.push('\n');
    }
    text + "{\"kind\":\"your_turn\"}\n"
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).expect("stdout is UTF-8")
}

fn stderr(output: &Output) -> &str {
    std::str::from_utf8(&output.stderr).expect("stderr is UTF-8")
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_a_success() {
    let output = run_adapter(&batch(1, 8.41225, &[]));
    assert!(output.status.success());
    assert_eq!(stdout(&output), "{\"kind\":\"end\",\"turn\":1}\n");
    assert!(run_adapter("").status.success());
}

#[test]
fn a_request_is_sent_and_rejected_when_its_only_worker_failed() {
    let outcome = r#"{"kind":"answer","node_id":"node-3","req":"1693fe8a5d3a91c4","over":false,"try":0,"detail":null,"executor":"10.18.74.7:11203","state_code":0,"elapsed_s":0.0185,"load":{"waiting":3,"avg_ms":14.5,"x0":0.4}}"#;
    let input = batch(1, 1.0, &[PROVISION, TOPOLOGY])
        + &batch(2, 1.1, &[WORK])
        + &batch(3, 1.2, &[outcome])
        + &batch(4, 9.9, &[r#"{"kind":"bell","node_id":"node-3","cookie":"discovery"}"#]);
    let output = run_adapter(&input);
    assert!(output.status.success(), "{}", stderr(&output));
    let text = stdout(&output);
    let lines: Vec<_> = text.lines().collect();
    assert!(lines[0].starts_with(r#"{"kind":"wake_at","node_id":"node-3","span_s":1,"cookie":"sweep"#));
    let send =
        r#"{"kind":"pass_on","node_id":"node-3","req":"1693fe8a5d3a91c4","executor":"10.18.74.7:11203"}"#;
    assert!(lines.contains(&send), "{text}");
    let busy = r#"{"kind":"busy","node_id":"node-3","req":"1693fe8a5d3a91c4"}"#;
    assert!(lines.contains(&busy), "the request must be rejected, as no other worker is listed: {text}");
    assert!(lines.contains(&r#"{"kind":"listen","node_id":"node-3","enable":true}"#), "{text}");
    for line in lines {
        let value: serde_json::Value = serde_json::from_str(line).expect("each output line is JSON");
        assert!(value["kind"].is_string());
    }
}

#[test]
fn instances_share_no_state() {
    let lines = [PROVISION, TOPOLOGY, WORK].map(|line| line.replace("node-3", "node-5"));
    let other_messages: Vec<_> = lines.iter().map(String::as_str).collect();
    let alone = run_adapter(&batch(1, 1.0, &other_messages));
    let mut both = vec![PROVISION, TOPOLOGY, WORK];
    both.extend(&other_messages);
    let together = run_adapter(&batch(1, 1.0, &both));
    let lines_of_node_5 = |output: &Output| -> Vec<String> {
        stdout(output).lines().filter(|line| line.contains("node-5")).map(String::from).collect()
    };
    assert_eq!(lines_of_node_5(&alone), lines_of_node_5(&together));
    assert!(!lines_of_node_5(&alone).is_empty());
}

#[test]
fn a_stopped_instance_handles_no_more_messages() {
    let down = r#"{"kind":"down","node_id":"node-3"}"#;
    let output = run_adapter(&batch(1, 1.0, &[PROVISION, TOPOLOGY, down, WORK]));
    assert!(output.status.success());
    assert!(!stdout(&output).contains("pass_on"));
    assert!(stderr(&output).contains("unprovisioned"), "{}", stderr(&output));
}

#[test]
fn unknown_kinds_and_instances_are_reported_and_unknown_keys_are_ignored() {
    let input = batch(
        4,
        1.0,
        &[
            r#"{"kind":"weather","node_id":"node-3","sun":true}"#,
            r#"{"kind":"aborted","node_id":"node-9","req":"11eeb9740e6f2b19","colour":1}"#,
        ],
    );
    let output = run_adapter(&input);
    assert!(output.status.success());
    assert_eq!(stdout(&output), "{\"kind\":\"end\",\"turn\":4}\n");
    let reports = stderr(&output);
    assert!(reports.contains("weather") && reports.contains("node-9") && reports.contains("batch 4"));
}

#[test]
fn invalid_input_is_reported_with_its_batch_and_the_exit_code_is_failure() {
    let without = |field: &str| {
        let mut value: serde_json::Value = serde_json::from_str(WORK).expect("the message is JSON");
        value.as_object_mut().expect("the message is a JSON object").remove(field);
        value.to_string()
    };
    let mistyped = WORK.replace(r#""category":0"#, r#""category":"x""#);
    let unfinished_batch = format!("{}{}\n", r#"{"kind":"batch","ts_s":1,"turn":6}"#, "\n{\"kind\":\"bell\"");
    let cases = [
        (batch(6, 1.0, &[PROVISION, TOPOLOGY, "{broken"]), "batch 6"),
        (batch(6, 1.0, &[PROVISION, TOPOLOGY, &without("category")]), "category"),
        (batch(6, 1.0, &[PROVISION, TOPOLOGY, &without("req")]), "req"),
        (batch(6, 1.0, &[PROVISION, TOPOLOGY, &without("node_id")]), "node_id"),
        (batch(6, 1.0, &[PROVISION, TOPOLOGY, &mistyped]), "batch 6"),
        (batch(6, 1.0, &[&PROVISION.replace("pure", "sometimes")]), "sometimes"),
        (batch(6, 1.0, &[&PROVISION.replace("\"params\"", "\"parms\"")]), "params"),
        (unfinished_batch, "batch 6"),
        ("{\"kind\":\"batch\",\"ts_s\":1,\"turn\":6}\n".into(), "batch 6"),
        ("{\"kind\":\"bell\",\"node_id\":\"node-1\"}\n".into(), "outside a batch"),
    ];
    for (input, expected) in cases {
        let output = run_adapter(&input);
        assert!(!output.status.success(), "{expected}: the adapter must exit with a failure");
        assert!(stderr(&output).contains(expected), "{expected}: {}", stderr(&output));
        for line in stdout(&output).lines() {
            assert!(line.starts_with("{\"kind\":"), "standard output must hold messages only: {line}");
        }
    }
}

#[test]
fn settings_that_the_dispatcher_rejects_are_reported_as_a_fault() {
    let empty_fleet = PROVISION.replace("\"fleet_size\":1", "\"fleet_size\":0");
    let output = run_adapter(&batch(1, 1.0, &[&empty_fleet]));
    assert!(stdout(&output).contains(r#""kind":"fault""#), "{}", stdout(&output));
}
