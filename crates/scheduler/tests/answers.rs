//! README's table of answers, row by row.
mod sockets;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use sockets::*;

const DONE: &str = r#""state":"done","result":"ok""#;

/// The first column of the table under "What clients get".
fn rows() -> BTreeSet<String> {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../README.md");
    let text = std::fs::read_to_string(path).expect("README.md");
    let table = text.split("## What clients get").nth(1).expect("the section");
    let table = table.split("\n## ").next().expect("a section");
    let cells =
        table.lines().filter_map(|line| Some(line.strip_prefix("| ")?.split(" | ").next()?.to_owned()));
    cells.filter(|cell| cell != "answer" && !cell.starts_with("---")).collect()
}

// Guards against a row that no test here plays.
#[test]
fn every_row_of_the_table_has_a_test() {
    let played = ["200", "503 with `Retry-After`", "500", "400", "404, 405", "408, 413", "a close"];
    assert_eq!(rows(), played.map(str::to_owned).into_iter().collect());
}

#[tokio::test]
async fn a_workers_result_is_200() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = server.next_request().await.accept();
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    let answer = client.next_response().await.expect("an answer");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "ok"));
}

#[tokio::test]
async fn a_rejection_by_the_policy_is_503_with_retry_after() {
    let scheduler = Scheduler::start(&[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let answer = client.next_response().await.expect("an answer");
    assert_eq!(answer.status(), 503);
    assert!(answer.headers["retry-after"].parse::<f64>().expect("seconds") > 0.0);
}

#[tokio::test]
async fn a_failure_with_nothing_promised_is_500() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = server.next_request().await.accept();
    assert_eq!(scheduler.call_back(&id, "r0", r#""state":"failed""#).await, 204);
    let answer = client.next_response().await.expect("an answer");
    assert_eq!(answer.status(), 500);
    assert!(!answer.headers.contains_key("retry-after"));
}

// At 64 descriptors there are 32 places, and the last four are the callbacks'.
#[tokio::test]
async fn client_requests_beyond_the_connection_permits_are_500() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[server.address]).await;
    let mut clients = Vec::new();
    let mut codes = Vec::new();
    for number in 0..32 {
        let mut client = scheduler.client().await;
        client.send_request("safe", 1 + number, 9000).await;
        clients.push(client);
        // Each is read before the next: it is sent on or it is answered.
        tokio::select! {
            asked = server.next_request() => drop(asked.accept()),
            answer = clients.last_mut().expect("one").next_response() => codes.push(answer.expect("an answer").status()),
        }
    }
    assert!(!codes.is_empty() && codes.iter().all(|&code| code == 500), "{codes:?}");
}

#[tokio::test]
async fn an_unreadable_or_duplicate_request_is_400() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let good = request_text("keyed", 1, 9000);
    let bad = [
        "nonsense\r\n\r\n".to_owned(),
        good.replace("X-Request-ID", "X-Other"),
        good.replace("X-Timeout: 9000m", "X-Timeout: soon"),
        good.replace("X-Timeout: 9000m", "X-Timeout: 9000m\r\nX-Timeout: 90m"),
        good.replace("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 3"),
        good.replace("Idempotency-Key", "X-Other"),
    ];
    for text in bad {
        assert_eq!(scheduler.client().await.exchange(&text).await.status(), 400, "{text}");
    }
    // An id in use, and one that was.
    let mut client = scheduler.client().await;
    client.send(&good).await;
    let id = server.next_request().await.accept();
    assert_eq!(scheduler.client().await.exchange(&good).await.status(), 400);
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    assert_eq!(scheduler.client().await.exchange(&good).await.status(), 400);
    assert!(server.is_idle());
}

#[tokio::test]
async fn an_unknown_class_is_404_and_another_method_405() {
    let scheduler = Scheduler::start(&[]).await;
    let good = request_text("safe", 1, 9000);
    assert_eq!(scheduler.client().await.exchange(&good.replace("/safe/", "/other/")).await.status(), 404);
    assert_eq!(scheduler.client().await.exchange(&good.replace("POST", "GET")).await.status(), 405);
}

#[tokio::test]
async fn a_late_body_is_408_and_one_over_64_kib_413() {
    let scheduler = Scheduler::start(&[]).await;
    let good = request_text("safe", 1, 9000);
    let large = good.replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 65537\r\n\r\n");
    assert_eq!(scheduler.client().await.exchange(&large).await.status(), 413);
    let mut late = scheduler.client().await;
    assert_eq!(late.exchange(&good[..good.len() - 1]).await.status(), 408);
    assert!(late.closes_cleanly().await);
}

#[tokio::test]
async fn a_connection_without_a_complete_head_within_2_s_gets_408_or_is_closed() {
    let scheduler = Scheduler::start(&[]).await;
    let since = Instant::now();
    let mut silent = scheduler.client().await;
    let mut half = scheduler.client().await;
    half.send("POST /safe/k HTTP/1.1\r\nHo").await;
    assert!(silent.next_response().await.is_none());
    assert_eq!(half.next_response().await.expect("an answer").status(), 408);
    assert!(half.closes_cleanly().await);
    let took = since.elapsed();
    assert!((Duration::from_millis(1_900)..Duration::from_secs(4)).contains(&took), "{took:?}");
}
