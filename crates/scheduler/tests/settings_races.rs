//! Tests that each request keeps its own settings until it completes, across reused connections and reloads.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;

/// The fields of a callback that reports a completed request.
const DONE: &str = r#""state":"done","result":"ok""#;

// Guards against a class, deadline or key that is taken from the previous request on the same connection.
#[tokio::test]
async fn requests_on_one_connection_keep_their_own_class_deadline_and_key() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    let timeout_millis = |received: &ReceivedRequest| -> u64 {
        let text = received.message.headers["x-timeout"].strip_suffix('m').expect("milliseconds");
        text.parse().expect("an integer")
    };
    // A request with a long deadline, one with a short deadline that is never completed, and again one with a
    // long deadline, each of another class and with other headers.
    client.send(&request_text("once", 1, 9000).replace("k7", "first")).await;
    let first = worker.next_request().await;
    assert!((8_000..9_000).contains(&timeout_millis(&first)), "{}", timeout_millis(&first));
    assert_eq!(first.message.headers["idempotency-key"], "first");
    assert!(first.message.first_line.starts_with("POST /once/"));
    let id = first.accept();
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);

    let since = Instant::now();
    let plain = request_text("safe", 2, 600)
        .replace("Idempotency-Key: k7\r\n", "")
        .replace("Cost: 1000", "Cost: 2000");
    client.send(&plain).await;
    let second = worker.next_request().await;
    assert!((300..600).contains(&timeout_millis(&second)), "{}", timeout_millis(&second));
    assert!(!second.message.headers.contains_key("idempotency-key"));
    assert_eq!(second.message.headers["x-cost"], "2000");
    second.accept();
    // It fails at its own deadline, not at that of the first request.
    assert_eq!(client.next_response().await.expect("a final response").status(), 500);
    assert!(since.elapsed() < Duration::from_millis(1_500), "{:?}", since.elapsed());

    let cancellation = worker.next_request().await;
    assert_eq!(cancellation.message.first_line, format!("DELETE /jobs/{:016x} HTTP/1.1", 2));
    cancellation.respond("200 OK", "", "");
    client.send(&request_text("keyed", 3, 7000).replace("k7", "third")).await;
    let third = worker.next_request().await;
    assert!((6_000..7_000).contains(&timeout_millis(&third)), "{}", timeout_millis(&third));
    assert_eq!(third.message.headers["idempotency-key"], "third");
    let id = third.accept();
    // Waits until after the deadline of the second request.
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
}

// The reloaded file declares every class as idempotent. Neither a request that began before the reload nor a
// later one is retried, since such settings take effect only with a restart.
#[tokio::test]
async fn a_reload_during_an_attempt_changes_no_requests_settings() {
    let (mut worker_a, mut worker_b) = (FakeServer::start().await, FakeServer::start().await);
    let mut scheduler = Scheduler::start(&[worker_a.address, worker_b.address]).await;
    for (number, reloads) in [(1, true), (2, false)] {
        let mut client = scheduler.client().await;
        client.send_request("once", number, 9000).await;
        let received = tokio::select! {
            received = worker_a.next_request() => received,
            received = worker_b.next_request() => received,
        };
        if reloads {
            let text = std::fs::read_to_string(&scheduler.path).expect("a readable configuration");
            let changed = text.replace("side_effect", "pure").replace("\"deadline_s\":9", "\"deadline_s\":1");
            assert_ne!(text, changed);
            let lines = scheduler.reload(&changed).await;
            assert!(
                lines.iter().any(|line| line.contains(r#"only with a restart","parts":"settings"#)),
                "{lines:?}"
            );
        }
        // The connection breaks during the attempt: the request may have run.
        drop(received);
        assert_eq!(client.next_response().await.expect("a final response").status(), 500);
        assert!(worker_a.is_idle() && worker_b.is_idle(), "the request is not retried");
    }
}
