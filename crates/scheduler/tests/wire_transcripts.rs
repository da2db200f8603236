//! Byte-exact transcripts of the program's output to workers, discovery and clients, and of its event log,
//! compared with snapshots. Values that differ between runs are masked; the bytes of a CRLF are shown as
//! `\r\n`.
#![cfg(feature = "standalone")]
mod sockets;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use copperspread_event_log::{EventKind, FORMAT_VERSION, Record};
use insta::assert_snapshot;
use sockets::{FakeServer, RecordingServer, Scheduler, endpoint, endpoint_list, request_text, within};

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n";
const CLUSTER: &str = "GET /-/cluster HTTP/1.1\r\nHost: s\r\n\r\n";
/// The fields of a callback that reports a completed request with a load report.
const DONE: &str = r#""state":"done","result":"paid","load":{"x0":1.5,"queue":3}"#;
/// Headers that concern only the client's connection and are not forwarded.
const HOP_BY_HOP: &str = "Connection: keep-alive\r\nKeep-Alive: timeout=5\r\nProxy-Connection: keep-alive\r\n\
                          TE: trailers\r\nTrailer: X-Sum\r\nUpgrade: h2c\r\nExpect: 100-continue\r\n";

/// Masks the value after each occurrence of `after`; a value consists of the characters that `belongs`
/// accepts.
fn mask_after(text: &str, after: &str, belongs: fn(char) -> bool) -> String {
    let mut parts = text.split(after);
    let mut masked = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(belongs);
        let mask = if rest.len() < part.len() { "[masked]" } else { "" };
        masked += &format!("{after}{mask}{rest}");
    }
    masked
}

/// Masks the numbers after each of these texts.
fn mask_numbers_after(text: &str, after: &[&str]) -> String {
    let is_number_part = |character: char| character.is_ascii_digit() || character == '.';
    after.iter().fold(text.to_owned(), |text, after| mask_after(&text, after, is_number_part))
}

/// Returns an HTTP message in the form of the snapshots.
fn transcript(message: &str) -> String {
    let message = mask_after(message, "\r\ndate: ", |character| character != '\r');
    let message = mask_numbers_after(&message, &["127.0.0.1:", "x-timeout: ", "retry-after: "]);
    message.replace("\r\n", "\\r\\n\n")
}

/// Returns the transcripts of several HTTP messages, each under its name.
fn with_names(transcripts: &[(&str, String)]) -> String {
    let texts = transcripts.iter().map(|(name, message)| format!("--- {name}\n{}\n", transcript(message)));
    texts.collect()
}

/// Returns a worker's response to a request line.
fn worker_response(first: &str) -> String {
    let status = if first.starts_with("POST") { "202 Accepted" } else { "200 OK" };
    format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n")
}

/// Returns the response of a discovery that sends complete lists and closes the connection of each watch.
fn discovery_response(first: &str) -> String {
    let body = endpoint_list(5, true, &[]);
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    if first.contains('?') { String::new() } else { response }
}

/// Returns the configuration with another address of discovery.
fn with_discovery(config: &str, address: SocketAddr) -> String {
    let (before, rest) = config.split_once(r#""discovery":""#).expect("a discovery address");
    let (_, after) = rest.split_once('"').expect("the end of the address");
    format!(r#"{before}"discovery":"{address}"{after}"#)
}

#[tokio::test]
async fn requests_sent_to_a_worker() {
    let mut worker = RecordingServer::start(worker_response).await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut requests = Vec::new();
    for (id, class) in (1..).zip(["safe", "keyed", "once"]) {
        let more = format!("{HOP_BY_HOP}X-Trace: one\r\nX-Trace: two\r\nX-Attrs: width=2,other=é\r\n");
        let text =
            request_text(class, id, 9000).replace("X-Cost", &format!("{more}X-Tenant-Id: big\r\nX-Cost"));
        let mut client = scheduler.client().await;
        client.send(&text).await;
        requests.push((class, worker.next_request().await));
        // The client stays until the request completes: disconnecting would cancel the attempt.
        assert_eq!(scheduler.call_back(&format!("{id:016x}"), "r0", DONE).await, 204);
        assert_eq!(client.next_response_bytes().await, "HTTP/1.1 100 Continue\r\n\r\n");
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
    let chunked_body = "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
    let mut client = scheduler.client().await;
    client.send(&request_text("once", 4, 9000).replace("Content-Length: 2\r\n\r\nhi", chunked_body)).await;
    requests.push(("once, in chunks", worker.next_request().await));
    let mut client = scheduler.client().await;
    client.send(&request_text("once", 5, 9000).replace("Content-Length: 2\r\n\r\nhi", "\r\n")).await;
    requests.push(("once, without a body", worker.next_request().await));
    assert_snapshot!("jobs_written_to_a_worker", with_names(&requests));
}

#[tokio::test]
async fn a_cancellation_sent_to_a_worker() {
    let mut worker = RecordingServer::start(worker_response).await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("safe", 1, 9000).await;
    worker.next_request().await;
    assert_eq!(scheduler.call_back("0000000000000001", "r0", r#""state":"started""#).await, 204);
    drop(client);
    assert_snapshot!("a_cancel_written_to_a_worker", transcript(&worker.next_request().await));
}

#[tokio::test]
async fn a_load_query_sent_to_a_worker() {
    let mut worker = RecordingServer::start(worker_response).await;
    let probed = |config: String| {
        let config = config.replace(r#""send_cap""#, r#""probes":true,"send_cap""#);
        config.replace(r#""unknown""#, r#""load_info":{"how":"pull"},"penalties":{"probe":0.002},"unknown""#)
    };
    let _scheduler = Scheduler::start_with(&[worker.address], probed).await;
    assert_snapshot!("a_load_probe_written_to_a_worker", transcript(&worker.next_request().await));
}

#[tokio::test]
async fn polls_and_watches_sent_to_discovery() {
    for kind in ["pushed", "on_request"] {
        let mut discovery = RecordingServer::start(discovery_response).await;
        let address = discovery.address;
        let watching = |config: String| {
            with_discovery(&config, address)
                .replace(r#""discovery":"pushed""#, &format!(r#""discovery":"{kind}""#))
        };
        let _scheduler = Scheduler::start_with(&[], watching).await;
        let mut calls = Vec::new();
        for name in ["the whole list", "a watch", "the whole list after a watch that broke"] {
            calls.push((name, discovery.next_request().await));
        }
        assert_snapshot!("calls_written_to_discovery", with_names(&calls));
    }
}

#[tokio::test]
async fn responses_to_clients() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut responses = Vec::new();
    let mut client = scheduler.client().await;
    for (id, name, fields) in [(1, "served", DONE), (2, "failed", r#""state":"failed""#)] {
        client.send_request("once", id, 9000).await;
        let id = worker.next_request().await.accept();
        assert_eq!(scheduler.call_back(&id, "r0", fields).await, 204);
        responses.push((name, client.next_response_bytes().await));
    }
    let good = request_text("keyed", 3, 9000);
    let large = good.replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 65537\r\n\r\n");
    let bad = [
        ("no HTTP", "nonsense\r\n\r\n".to_owned()),
        ("a bad header", good.replace("9000m", "soon")),
        ("a body framed in two ways", good.replace("Content-L", "Transfer-Encoding: chunked\r\nContent-L")),
        ("an id that came before", request_text("once", 1, 9000)),
        ("an unknown class", good.replace("/keyed/", "/other/")),
        ("a job by another method", good.replace("POST", "GET")),
        ("a call-back by another method", "GET /_jobs/news HTTP/1.1\r\nHost: s\r\n\r\n".to_owned()),
        ("a page by another method", READY.replace("GET", "POST")),
        ("a body that comes late", good[..good.len() - 1].to_owned()),
        ("a body too large", large),
    ];
    for (name, text) in bad {
        let mut client = scheduler.client().await;
        responses.push((name, client.exchange_bytes(&text).await));
        assert!(client.closes_cleanly().await, "the connection is closed: {name}");
    }
    let scheduler = Scheduler::start(&[]).await;
    responses
        .push(("refused", scheduler.client().await.exchange_bytes(&request_text("once", 1, 9000)).await));
    assert_snapshot!("answers_to_clients", with_names(&responses));
}

#[tokio::test]
async fn responses_to_callbacks() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    let mut lines = String::new();
    for (number, state) in (1..).zip(["done", "failed", "lost", "returned"]) {
        client.send_request("once", number, 9000).await;
        let id = worker.next_request().await.accept();
        let result = if state == "done" { r#","result":"paid""# } else { "" };
        let last = format!(r#""state":"{state}"{result},"load":{{"x0":4}}"#);
        for fields in [r#""state":"started""#, r#""state":"running","share":0.5"#, &last] {
            let body = format!(r#"{{"id":"{id}","from":"r0",{fields}}}"#);
            lines += &format!("{body}\n  {}\n", callback_response(&scheduler, &body).await);
        }
        lines += &format!(
            "  and the client: {}\n",
            client.next_response().await.expect("a final response").first_line
        );
    }
    for body in [
        "no JSON",
        r#"{"from":"r0","state":"started"}"#,
        r#"{"id":"1","from":"r0","state":"started"}"#,
        r#"{"id":"0000000000000001","state":"started"}"#,
        r#"{"id":"0000000000000001","from":"r0"}"#,
        r#"{"id":"0000000000000001","from":"r0","state":"other"}"#,
        r#"{"id":"0000000000000001","from":"r0","state":"running"}"#,
        r#"{"id":"0000000000000001","from":"r0","state":"done"}"#,
    ] {
        lines += &format!("{body}\n  {}\n", callback_response(&scheduler, body).await);
    }
    assert_snapshot!("answers_to_call_backs", lines);
}

/// Returns the transcript of the response to a callback, on one line.
async fn callback_response(scheduler: &Scheduler, body: &str) -> String {
    let length = body.len();
    let text = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
    transcript(&scheduler.client().await.exchange_bytes(&text).await).trim_end().replace('\n', " ")
}

#[tokio::test]
async fn readiness_before_and_after_sigterm() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let mut responses = vec![("ready", scheduler.client().await.exchange_bytes(READY).await)];
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker.next_request().await.accept();
    scheduler.terminate().await;
    scheduler.wait_for_log(r#""shutting down","requests":1"#).await;
    responses.push(("ends", scheduler.client().await.exchange_bytes(READY).await));
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    responses.push(("a job taken before", client.next_response_bytes().await));
    assert!(client.closes_cleanly().await);
    assert!(within("the exit", scheduler.child.wait()).await.expect("the process exits").success());
    assert_snapshot!("readiness_before_and_after_sigterm", with_names(&responses));
}

#[tokio::test]
async fn the_status_page_of_a_cluster() {
    let key =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("transcript-{}.key", std::process::id()));
    std::fs::write(&key, "a key for this test alone\n").expect("the key file is written");
    let toml = |name: &str, listen: SocketAddr, seeds: &[String]| {
        let key = key.display();
        let cluster = format!("bind = '127.0.0.1:0'\nkey_file = '{key}'\nregion = 'nl'\nseeds = {seeds:?}\n");
        format!("name = '{name}'\n[front.http]\nlisten = '{listen}'\n[cluster]\n{cluster}")
    };
    let one = Scheduler::standalone(|listen| toml("one", listen, &[]), &[]).await;
    let view: serde_json::Value =
        serde_json::from_str(&one.client().await.exchange(CLUSTER).await.body).expect("valid JSON");
    let seeds = [view["own"]["address"].as_str().expect("a socket address").to_owned()];
    let _two = Scheduler::standalone(|listen| toml("two", listen, &seeds), &[]).await;
    let seen = async {
        loop {
            let response = one.client().await.exchange_bytes(CLUSTER).await;
            if response.contains(r#""two""#) {
                return response;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    let seen = within("a view with both members", seen).await;
    let masked_fields =
        ["generation", "doubt", "pauses", "packets_in", "packets_out", "bytes_in", "bytes_out"];
    let masked_fields = masked_fields.map(|name| format!("\"{name}\":"));
    let masked_fields: Vec<&str> =
        masked_fields.iter().map(String::as_str).chain(["content-length: "]).collect();
    assert_snapshot!("the_view_of_a_cluster", transcript(&mask_numbers_after(&seen, &masked_fields)));
}

/// Returns a line of the event log in the form of the snapshots.
fn event_line(line: &str) -> String {
    let line = line.replace(env!("CARGO_PKG_VERSION"), "[version]");
    let line = mask_after(&line, r#""run":""#, |character| character != '"');
    let clocks = [r#""seq":"#, r#""unix_us":"#, r#""mono_us":"#];
    let spans = [r#""time_left_us":"#, r#""estimate_us":"#, r#""retry_after_us":"#, r#""late_by_us":"#];
    let line = mask_numbers_after(&mask_numbers_after(&line, &clocks), &spans);
    mask_numbers_after(&line, &[r#""elapsed_us":"#, r#""after_us":"#])
}

/// Returns a path for the event log of one test, where no file exists.
fn event_log_path(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("copperspread-{}-{name}.jsonl", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

#[tokio::test]
async fn events_of_each_kind() {
    let mut worker = FakeServer::start().await;
    let file = event_log_path("kinds");
    let at = worker.address;
    let text = |listen| {
        format!(
            "name = 'alone'\n[front.http]\nlisten = '{listen}'\n[[source.workers]]\nid = 'r0'\n\
             address = '{at}'\n[[classes]]\nname = 'once'\naim = '9s'\n"
        )
    };
    let flags = ["--records", file.to_str().expect("valid UTF-8")];
    let mut scheduler = Scheduler::standalone_with(&flags, text, &[]).await;
    let mut client = scheduler.client().await;
    let with_slots = request_text("once", 1, 9000).replace("X-Cost", "X-Attrs: slots=2\r\nX-Cost");
    for (text, fields) in [(with_slots, DONE), (request_text("once", 2, 9000), r#""state":"failed""#)] {
        client.send(&text).await;
        let id = worker.next_request().await.accept();
        scheduler.call_back(&id, "r0", fields).await;
        client.next_response().await.expect("a final response");
    }
    assert_eq!(scheduler.post_callback("no JSON").await, 400);
    client.send_request("once", 3, 0).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 503);
    // A request whose client disconnects.
    client.send_request("once", 4, 9000).await;
    let id = worker.next_request().await.accept();
    scheduler.call_back(&id, "r0", r#""state":"started""#).await;
    drop(client);
    worker.next_request().await.respond("200 OK", "", "");
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("the process exits").success());
    let written = std::fs::read_to_string(&file).expect("a readable event log");
    let _ = std::fs::remove_file(&file);
    // A gap event needs a full queue, which this test doesn't force: only its serialized form is compared.
    let (what, run) = (EventKind::Gap { dropped: 3 }, "none".to_owned());
    let gap = Record {
        format_version: FORMAT_VERSION,
        run_id: run,
        sequence: 9,
        unix_us: 1,
        mono_us: 1,
        event: what,
    };
    let gap = serde_json::to_string(&gap).expect("valid JSON");
    assert_snapshot!("records_of_each_kind", first_of_each(written.lines().chain([gap.as_str()])));
}

/// Returns the first event of each combination of kind, counter, choice, reason, outcome, response and form,
/// in this order.
fn first_of_each<'a>(lines: impl Iterator<Item = &'a str>) -> String {
    let mut first = BTreeMap::new();
    for line in lines {
        let record: serde_json::Value = serde_json::from_str(line).expect("valid JSON");
        let key_fields = ["kind", "what", "choice", "why", "outcome", "answer", "form"];
        let key = key_fields.map(|name| record["what"][name].to_string());
        first.entry(key).or_insert_with(|| event_line(line));
    }
    first.into_values().collect::<Vec<_>>().join("\n")
}

// Covers the events of endpoint updates, which a static list does not cause, and further reasons for a
// rejection.
#[tokio::test]
async fn events_of_endpoint_lists_and_rejections() {
    let mut worker = FakeServer::start().await;
    let file = event_log_path("lists");
    let command = format!(
        r#"sed -i 's/"up_since_ms":0/"up_since_ms":1000/' "$EDGE_CONFIG"; exec "$PROGRAM" serve --records '{}'"#,
        file.display()
    );
    let mut scheduler = Scheduler::start_by_command(&command, 1024, &[worker.address]).await;
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
    let long = request_text("once", 2, 9000).replace("X-Cost: 1000\r", "X-Cost: 100000000\r");
    assert_eq!(client.exchange(&long).await.status(), 503);
    let deleted_endpoint = endpoint_list(6, false, &[endpoint("r0", worker.address, "DELETED")]);
    // The next watch shows that the list was applied; a poll that was cancelled meanwhile is sent again.
    loop {
        let received = scheduler.discovery.next_request().await;
        if received.message.first_line.contains("from=6") {
            break;
        }
        received.respond("200 OK", "", &deleted_endpoint);
    }
    client.send_request("once", 3, 9000).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 503);
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("the process exits").success());
    let written = std::fs::read_to_string(&file).expect("a readable event log");
    let _ = std::fs::remove_file(&file);
    let is_selected =
        |line: &&str| line.contains(r#""kind":"roster""#) || line.contains(r#""choice":"refuse""#);
    assert_snapshot!("records_of_lists_and_refusals", first_of_each(written.lines().filter(is_selected)));
}
