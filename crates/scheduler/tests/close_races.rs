//! Races between requests and connections that the scheduler closes. A request that it has read, or that has
//! arrived completely, is answered; a request that arrives after the close stays unread.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;

const DONE: &str = r#""state":"done","result":"ok""#;
/// The longest time until a client that stops in the middle of a request gets an error or a close.
const MAX_STALLED_TIME: Duration = Duration::from_secs(3);
/// The time within which the first request of a connection must arrive.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Asserts that the client gets this error status, and that its connection closes without a reset.
async fn assert_refused_and_closed(client: &mut Client, status: u16) {
    let response = client.next_response().await.expect("a response");
    assert_eq!((response.status(), response.headers["connection"].as_str()), (status, "close"));
    assert!(client.closes_cleanly().await, "unread bytes cause no reset");
}

// Covers a new connection, a reused one, and a head that arrived in one segment with the request before it.
#[tokio::test]
async fn a_request_with_a_partial_head_is_answered_in_time() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let partial = &request_text("once", 1, 9000)[..60];
    let (mut new, mut reused, mut pipelined) =
        (scheduler.client().await, scheduler.client().await, scheduler.client().await);
    assert_eq!(reused.exchange(READINESS_REQUEST).await.status(), 200);
    pipelined.send(&(request_text("once", 2, 9000) + partial)).await;
    let id = worker.next_request().await.accept();
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(pipelined.next_response().await.expect("a response").status(), 200);
    let started_at = Instant::now();
    for client in [&mut new, &mut reused] {
        client.send(partial).await;
    }
    for client in [&mut new, &mut reused, &mut pipelined] {
        assert_refused_and_closed(client, 408).await;
        assert!(started_at.elapsed() < MAX_STALLED_TIME, "{:?}", started_at.elapsed());
    }
    assert!(worker.is_idle());
}

// A client whose connection is idle for longer than a head may take, and that then writes slowly, is served
// on the same connection.
#[tokio::test]
async fn an_idle_time_between_requests_does_not_count_as_a_stalled_head() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
    tokio::time::sleep(Duration::from_millis(1_900)).await;
    let text = request_text("once", 2, 9000);
    for piece in [&text[..20], &text[20..60], &text[60..]] {
        client.send(piece).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    let id = worker.next_request().await.accept();
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a response").status(), 200);
}

// Clients that write slowly are served while many silent connections compete for permits, on a new connection
// and on a reused one.
#[tokio::test]
async fn a_slowly_written_head_is_not_evicted_for_silent_clients() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[worker.address]).await;
    let (mut new, mut reused) = (scheduler.client().await, scheduler.client().await);
    assert_eq!(reused.exchange(READINESS_REQUEST).await.status(), 200);
    for (number, client) in [(11, &mut new), (12, &mut reused)] {
        client.send(&request_text("once", number, 9000)[..60]).await;
    }
    let mut other_clients = Vec::new();
    for _ in 0..100 {
        other_clients.push(scheduler.client().await);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for (number, client) in [(11, &mut new), (12, &mut reused)] {
        client.send(&request_text("once", number, 9000)[60..]).await;
        let id = worker.next_request().await.accept();
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
        assert_eq!(client.next_response().await.expect("a response").status(), 200);
    }
}

// Connections with a partial head hold all permits: the evicted ones get an error, and the callback is
// accepted.
#[tokio::test]
async fn an_evicted_connection_with_part_of_a_head_gets_an_answer() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[worker.address]).await;
    let mut client_in_service = scheduler.client().await;
    client_in_service.send_request("once", 20, 9000).await;
    let id = worker.next_request().await.accept();
    let mut other_clients = Vec::new();
    for number in 0..60 {
        let mut client = scheduler.client().await;
        client.send(&request_text("once", 100 + number, 9000)[..60]).await;
        other_clients.push(client);
    }
    let started_at = Instant::now();
    // The evicted connections make room for the callback before the first-request timeout.
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert!(started_at.elapsed() < FIRST_REQUEST_TIMEOUT, "{:?}", started_at.elapsed());
    assert_eq!(client_in_service.next_response().await.expect("a response").status(), 200);
    let mut statuses = Vec::new();
    for client in &mut other_clients {
        statuses.push(client.next_response().await.expect("a response").status());
    }
    assert!(statuses.iter().all(|status| matches!(status, 500 | 408)), "{statuses:?}");
    assert!(statuses.contains(&500), "{statuses:?}");
}

/// Asserts that each request that arrives completely while the scheduler is stopped by SIGSTOP is answered,
/// although the scheduler is due to close the connection when it continues. There are more connections than
/// the runtime reports at one poll for events. `signals` are sent after the requests, SIGCONT last.
async fn assert_all_requests_answered(is_reused: bool, signals: &[&str]) {
    let command = "exec \"$PROGRAM\"";
    let allow_more_descriptors = |config: String| config.replace("\"sockets\":1024", "\"sockets\":4096");
    let scheduler = Scheduler::start_edited(command, &[], allow_more_descriptors).await;
    let mut other_clients = scheduler.crowd().await;
    if is_reused {
        for client in &mut other_clients {
            assert_eq!(client.exchange(READINESS_REQUEST).await.status(), 200);
        }
    }
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    scheduler.signal("STOP").await;
    for (number, client) in other_clients.iter_mut().enumerate() {
        client.send_request("once", 10_000 + number as u64, 9000).await;
    }
    if !is_reused {
        tokio::time::sleep(FIRST_REQUEST_TIMEOUT + Duration::from_millis(100)).await;
    }
    scheduler.signals(signals).await;
    for (number, client) in other_clients.iter_mut().enumerate() {
        let response =
            client.next_response().await.unwrap_or_else(|| panic!("connection {number}: no response"));
        assert!(matches!(response.status(), 503 | 500 | 408), "connection {number}: {}", response.status());
    }
}

#[tokio::test]
async fn requests_that_arrived_by_the_first_request_timeout_are_answered() {
    assert_all_requests_answered(false, &["CONT"]).await;
}

#[tokio::test]
async fn requests_that_arrived_by_sigterm_on_idle_connections_are_answered() {
    assert_all_requests_answered(true, &["TERM", "CONT"]).await;
}

/// Bytes of a client's connection that the scheduler has not read, as `/proc/net/tcp` shows them.
fn unread_bytes(scheduler: &Scheduler, client: &Client) -> Option<u64> {
    let ports =
        (format!(":{:04X}", scheduler.address.port()), format!(":{:04X}", client.local_address().port()));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp is readable");
    let mut rows = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let row = rows.find(|row| row[1].ends_with(&ports.0) && row[2].ends_with(&ports.1))?;
    u64::from_str_radix(row[4].split_once(':')?.1, 16).ok()
}

// A request that crosses the close of an idle connection is not read, so that its client can safely retry it.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_an_idle_connection_stays_unread() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let mut active_client = scheduler.client().await;
    active_client.send_request("once", 30, 9000).await;
    let id = worker.next_request().await.accept();
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut worker, 31, DONE).await;
    scheduler.terminate().await;
    assert!(client.closes_cleanly().await, "the connection ends without a reset");
    let text = request_text("once", 32, 9000);
    client.send(&text).await;
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 503);
    assert_eq!(unread_bytes(&scheduler, &client), Some(text.len() as u64));
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    active_client.expect_served_and_closed().await;
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
    assert!(worker.is_idle());
}
