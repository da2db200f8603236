//! Support for the adapter's tests: a `provision` message, and a function that runs the adapter.
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// The message that starts the instance `node-3`.
pub(crate) const PROVISION: &str = r#"{"kind":"provision","node_id":"node-3","prng":7,"params":{"fleet_size":1,"zone":0,"new_key":[1],"classes":[{"aim_s":1.0,"deadline_s":5.0,"importance":1.0,"key_scope":"all","late_worth":0.0,"name":"a","semantics":"pure","stream":false,"window_s":5.0}],"discovery":"on_request","family_info":{"class_kind":[-1],"class_stretch":[2.0],"queue_order":"fifo","tells_start":true},"permissions":{"send_cap":4,"second_copies":true,"may_cancel":true},"safety":{"ask_within_s":10.0,"drain_grace_s":1.0,"cold_from":0.3,"cold_s":9.0,"fall_multiple":2.5,"fall_s":3.0},"weights":"rough","worth_by":"work"}}"#;

/// Runs the adapter with this input until it exits. After an invalid line it may leave the rest unread, but a
/// successful run must have read the whole input.
pub(crate) fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_copperspread-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let written = child.stdin.take().expect("standard input is piped").write_all(input.as_bytes());
    let output = child.wait_with_output().expect("the adapter exits");
    if output.status.success() {
        written.expect("a successful run reads the whole input");
    }
    output
}
