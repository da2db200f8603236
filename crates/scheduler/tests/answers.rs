//! The responses that the README's table "What clients get" lists, one test per row.
mod sockets;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use sockets::*;

const DONE: &str = r#""state":"done","result":"ok""#;

/// The first column of the table under "What clients get".
fn table_rows() -> BTreeSet<String> {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../README.md");
    let text = std::fs::read_to_string(path).expect("README.md");
    let table = text.split("## What clients get").nth(1).expect("the section");
    let table = table.split("\n## ").next().expect("a section");
    let cells =
        table.lines().filter_map(|line| Some(line.strip_prefix("| ")?.split(" | ").next()?.to_owned()));
    cells.filter(|cell| cell != "answer" && !cell.starts_with("---")).collect()
}

// Fails when the table's rows differ from this list. That each row has a test below is not checked.
#[test]
fn every_row_of_the_table_has_a_test() {
    let tested = ["200", "503 with `Retry-After`", "500", "400", "404, 405", "408, 413", "a close"];
    assert_eq!(table_rows(), tested.map(str::to_owned).into_iter().collect());
}

#[tokio::test]
async fn a_workers_result_is_200() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker.next_request().await.accept();
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    let response = client.next_response().await.expect("a response");
    assert_eq!((response.status(), response.body.as_str()), (200, "ok"));
}

#[tokio::test]
async fn a_rejection_by_the_policy_is_503_with_retry_after() {
    let scheduler = Scheduler::start(&[]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let response = client.next_response().await.expect("a response");
    assert_eq!(response.status(), 503);
    assert!(response.headers["retry-after"].parse::<f64>().expect("seconds") > 0.0);
}

#[tokio::test]
async fn a_workers_failure_is_500_without_retry_after() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker.next_request().await.accept();
    assert_eq!(scheduler.call_back(&id, "r0", r#""state":"failed""#).await, 204);
    let response = client.next_response().await.expect("a response");
    assert_eq!(response.status(), 500);
    assert!(!response.headers.contains_key("retry-after"));
}

// 64 descriptors allow 32 connection permits, the last four of which are reserved for callbacks.
#[tokio::test]
async fn client_requests_beyond_the_connection_permits_are_500() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[worker.address]).await;
    let mut clients = Vec::new();
    let mut codes = Vec::new();
    for number in 0..32 {
        let mut client = scheduler.client().await;
        client.send_request("safe", 1 + number, 9000).await;
        clients.push(client);
        // Waits until this request is dispatched or answered before the next is sent.
        tokio::select! {
            received = worker.next_request() => drop(received.accept()),
            response = clients.last_mut().expect("a client").next_response() =>
                codes.push(response.expect("a response").status()),
        }
    }
    assert!(!codes.is_empty() && codes.iter().all(|&code| code == 500), "{codes:?}");
}

#[tokio::test]
async fn an_unreadable_or_duplicate_request_is_400() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let valid_request = request_text("keyed", 1, 9000);
    let invalid_requests = [
        "nonsense\r\n\r\n".to_owned(),
        valid_request.replace("X-Request-ID", "X-Other"),
        valid_request.replace("X-Timeout: 9000m", "X-Timeout: soon"),
        valid_request.replace("X-Timeout: 9000m", "X-Timeout: 9000m\r\nX-Timeout: 90m"),
        valid_request.replace("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 3"),
        valid_request.replace("Idempotency-Key", "X-Other"),
    ];
    for text in invalid_requests {
        assert_eq!(scheduler.client().await.exchange(&text).await.status(), 400, "{text}");
    }
    // A request id that is in use, and one whose request has ended.
    let mut client = scheduler.client().await;
    client.send(&valid_request).await;
    let id = worker.next_request().await.accept();
    assert_eq!(scheduler.client().await.exchange(&valid_request).await.status(), 400);
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a response").status(), 200);
    assert_eq!(scheduler.client().await.exchange(&valid_request).await.status(), 400);
    assert!(worker.is_idle());
}

#[tokio::test]
async fn an_unknown_class_is_404_and_another_method_405() {
    let scheduler = Scheduler::start(&[]).await;
    let valid_request = request_text("safe", 1, 9000);
    assert_eq!(
        scheduler.client().await.exchange(&valid_request.replace("/safe/", "/other/")).await.status(),
        404
    );
    assert_eq!(scheduler.client().await.exchange(&valid_request.replace("POST", "GET")).await.status(), 405);
}

#[tokio::test]
async fn a_late_body_is_408_and_one_over_64_kib_413() {
    let scheduler = Scheduler::start(&[]).await;
    let valid_request = request_text("safe", 1, 9000);
    let large = valid_request.replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 65537\r\n\r\n");
    assert_eq!(scheduler.client().await.exchange(&large).await.status(), 413);
    let mut late = scheduler.client().await;
    assert_eq!(late.exchange(&valid_request[..valid_request.len() - 1]).await.status(), 408);
    assert!(late.closes_cleanly().await);
}

#[tokio::test]
async fn a_connection_without_a_complete_head_within_2_s_gets_408_or_is_closed() {
    let scheduler = Scheduler::start(&[]).await;
    let started_at = Instant::now();
    let mut silent = scheduler.client().await;
    let mut partial = scheduler.client().await;
    partial.send("POST /safe/k HTTP/1.1\r\nHo").await;
    assert!(silent.next_response().await.is_none());
    assert_eq!(partial.next_response().await.expect("a response").status(), 408);
    assert!(partial.closes_cleanly().await);
    let elapsed_time = started_at.elapsed();
    assert!(
        (Duration::from_millis(1_900)..Duration::from_secs(4)).contains(&elapsed_time),
        "{elapsed_time:?}"
    );
}
