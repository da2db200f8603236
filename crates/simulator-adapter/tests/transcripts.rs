//! Snapshot test of a session: the adapter's standard output and standard error.
mod common;

use common::{PROVISION, run_adapter};

/// The wire code of a successful outcome.
const SERVED: u32 = 1;
/// The wire code of a connection that was reset.
const RESET: u32 = 5;

fn batch(turn: u64, time: f64, lines: &[String]) -> String {
    let lines: String = lines.iter().map(|line| format!("{line}\n")).collect();
    format!("{{\"kind\":\"batch\",\"ts_s\":{time},\"turn\":{turn}}}\n{lines}{{\"kind\":\"your_turn\"}}\n")
}

fn topology(mode: &str, serial: u64, statuses: [&str; 2]) -> String {
    let entry = |(number, status): (usize, &str)| {
        format!(
            r#"{{"executor":"10.0.0.{number}:80","dc":0,"class_of_host":0,"cluster":0,"status":"{status}","nominal":1,"online_since_s":null}}"#
        )
    };
    let entries: Vec<String> = statuses.into_iter().enumerate().map(entry).collect();
    let entries = entries.join(",");
    format!(
        r#"{{"kind":"topology","node_id":"node-3","mode":"{mode}","serial":{serial},"nodes_list":[{entries}]}}"#
    )
}

fn work(request: &str, expires_in_s: f64) -> String {
    format!(
        r#"{{"kind":"work_item","node_id":"node-3","req":"{request}","width":1,"org":0,"category":0,"expires_in_s":{expires_in_s},"work_s":0.5}}"#
    )
}

fn answer(request: &str, attempt: u32, executor: usize, state_code: u32) -> String {
    let is_over = state_code == SERVED;
    format!(
        r#"{{"kind":"answer","node_id":"node-3","req":"{request}","over":{is_over},"try":{attempt},"executor":"10.0.0.{executor}:80","state_code":{state_code},"elapsed_s":0.5,"load":{{"waiting":1,"active":1,"x0":0.5}}}}"#
    )
}

fn node_message(kind: &str, rest: &str) -> String {
    format!(r#"{{"kind":"{kind}","node_id":"node-3"{rest}}}"#)
}

fn session_input() -> String {
    const FIRST: &str = "1693fe8a5d3a91c4";
    const SECOND: &str = "11eeb9740e6f2b19";
    const THIRD: &str = "00000000000000a3";
    let invalid_provision =
        PROVISION.replace("\"fleet_size\":1", "\"fleet_size\":0").replace("node-3", "node-4");
    let with_retry_after = PROVISION.replace("\"permissions\":{", "\"permissions\":{\"retry_after\":true,");
    let non_idempotent = PROVISION.replace("pure", "side_effect");
    let bell = |cookie: &str| node_message("bell", &format!(r#","cookie":"{cookie}""#));
    let attempt_of = |request: &str| format!(r#","req":"{request}","try":0"#);
    let load_reply = r#","executor":"10.0.0.1:80","state_code":1,"load":{"waiting":0,"active":0}"#;
    [
        batch(1, 1.0, &[PROVISION.into(), invalid_provision, topology("F", 41, ["live", "live"])]),
        batch(2, 1.1, &[work(FIRST, 5.0), work(SECOND, 5.0), work(THIRD, 0.001)]),
        batch(3, 1.2, &[node_message("progress", &(attempt_of(FIRST) + r#","what":1"#))]),
        batch(4, 1.3, &[node_message("progress", &(attempt_of(FIRST) + r#","what":2,"level":0.5"#))]),
        batch(5, 1.4, &[node_message("started", &attempt_of(FIRST)), answer(FIRST, 0, 0, SERVED)]),
        batch(6, 1.6, &[answer(SECOND, 0, 1, RESET)]),
        batch(7, 2.0, &[bell("sweep"), bell("probe"), bell(SECOND), node_message("checked", load_reply)]),
        batch(8, 2.1, &[work(THIRD, 9.0), node_message("aborted", &attempt_of(THIRD))]),
        batch(9, 2.2, &[topology("D", 42, ["quiescing", "dead"]), work(FIRST, 5.0)]),
        batch(10, 9.9, &[topology("X", 0, ["dead", "dead"]), bell("discovery"), work(FIRST, 5.0)]),
        batch(
            11,
            10.0,
            &[node_message("weather", ""), node_message("from_peer", ""), node_message("down", "")],
        ),
        batch(12, 10.1, &[with_retry_after, work(THIRD, 5.0)]),
        batch(13, 11.0, &[non_idempotent, topology("C", 1, ["live", "live"]), work(THIRD, 5.0)]),
        batch(14, 11.5, &[answer(THIRD, 0, 1, RESET)]),
    ]
    .concat()
}

#[test]
fn the_output_of_a_session_matches_the_snapshot() {
    let output = run_adapter(&session_input());
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("the output is UTF-8");
    assert!(output.status.success());
    let (stdout, stderr) = (text(output.stdout), text(output.stderr));
    insta::assert_snapshot!("dialogue", format!("{stdout}--- standard error ---\n{stderr}"));
}
