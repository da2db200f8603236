//! Races between a dispatch and other events, forced over sockets: an endpoint update between a decision and
//! its write, a response just before the next request on its connection, a reset just before a retry.
#[path = "sockets/raw_worker.rs"]
mod raw_worker;
mod sockets;

use copperspread_dispatcher::{Idempotency, KeyScope, WorkerId};
use copperspread_proxy::clock::{Clock, from_now};
use copperspread_proxy::descriptors::DescriptorBudget;
use copperspread_proxy::endpoints::{EndpointTable, ListOrigin};
use copperspread_proxy::messages::{DispatchControl, UpstreamRequest};
use copperspread_proxy::upstream::{Upstream, http::HttpUpstream};
use copperspread_settings::{json, platform};
use futures_util::FutureExt;
use raw_worker::{Connection, RawWorker, read_to_end, write};
use sockets::*;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::time::timeout;

/// The fields of a callback that reports a completed request.
const DONE: &str = r#""state":"done","result":"paid""#;
const NOT_PROCESSED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

/// Starts a scheduler whose connect timeout is 20 s.
async fn start_with_long_connect_timeout(known: &[SocketAddr]) -> Scheduler {
    start_edited_with_sed("s/\"connect_timeout_s\":0.25/\"connect_timeout_s\":20/", 1024, known).await
}

/// Starts a scheduler whose configuration is edited by a sed expression, with so many descriptors and with
/// these workers in its cached list.
async fn start_edited_with_sed(edit: &str, sockets: u32, known: &[SocketAddr]) -> Scheduler {
    let command = format!("sed -i -e '{edit}' \"$EDGE_CONFIG\" && exec \"$PROGRAM\"");
    Scheduler::start_by_command(&command, sockets, known).await
}

/// Publishes an endpoint update, and waits until the scheduler has applied it and sends its next watch.
async fn publish_and_wait(scheduler: &mut Scheduler, revision: u64, members: &[String]) {
    scheduler.discovery.next_request().await.respond("200 OK", "", &endpoint_list(revision, false, members));
    // Polls for the complete list, repeated until it arrives, may come before the watch.
    let mut next = scheduler.discovery.next_request().await;
    while next.message.first_line == "GET /api/targets HTTP/1.1" {
        next = scheduler.discovery.next_request().await;
    }
    assert!(next.message.first_line.contains(&format!("from={revision}")), "{}", next.message.first_line);
}

fn with_empty_body(request: String) -> String {
    request.replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 0\r\n\r\n")
}

// Guards against a dispatch that waits for a connection while its worker begins to drain, and is then written
// to a connection that another request has just released. The endpoint table is read in the step that writes.
#[tokio::test]
async fn a_released_connection_is_not_used_for_a_worker_that_began_to_drain() {
    for second in [request_text("once", 2, 9000), with_empty_body(request_text("once", 2, 9000))] {
        let worker = RawWorker::new();
        let mut scheduler = start_with_long_connect_timeout(&[worker.address]).await;
        let (mut first_client, mut second_client) = (scheduler.client().await, scheduler.client().await);
        first_client.send_request("once", 1, 9000).await;
        let (mut reused, first) = worker.next_request().await;
        let _queue_filler = worker.fill_queue().await;
        second_client.send(&second).await;
        worker.wait_for_connect().await;
        publish_and_wait(&mut scheduler, 6, &[endpoint("r0", worker.address, "DRAINING")]).await;
        write(&mut reused, ACCEPTED).await;
        assert_eq!(read_to_end(&mut reused).await, "", "nothing is written to the draining worker");
        assert_eq!(
            second_client.next_response().await.expect("a final response").status(),
            503,
            "the final response says that the request never ran"
        );
        assert_eq!(scheduler.call_back(&first.headers["x-request-id"], "r0", DONE).await, 204);
        assert_eq!(first_client.next_response().await.expect("a final response").status(), 200);
    }
}

// Guards against a request that is written to a connection which was established only after its worker began
// to drain or changed its address.
#[tokio::test]
async fn a_late_connection_is_not_used_for_a_worker_that_drains_or_moved() {
    let moved_worker = FakeServer::start().await;
    for (drains, text) in
        [(true, request_text("once", 3, 9000)), (false, with_empty_body(request_text("safe", 3, 9000)))]
    {
        let worker = RawWorker::new();
        let mut scheduler = start_with_long_connect_timeout(&[worker.address]).await;
        let queue_filler = worker.fill_queue().await;
        let mut client = scheduler.client().await;
        client.send(&text).await;
        worker.wait_for_connect().await;
        let change = match drains {
            true => endpoint("r0", worker.address, "DRAINING"),
            false => endpoint("r0", moved_worker.address, "SERVING"),
        };
        publish_and_wait(&mut scheduler, 6, &[change]).await;
        // Frees the worker's accept queue, so that the kernel establishes the waiting connection.
        drop((queue_filler, worker.accept().await));
        let mut late = worker.accept().await;
        assert_eq!(read_to_end(&mut late).await, "", "drains: {drains}");
        assert_eq!(client.next_response().await.expect("a final response").status(), 503, "drains: {drains}");
    }
}

// Guards against a connection that is established after its request has completed: it must carry no request,
// hold no connection permit, and be closed before the worker's keep-alive timeout.
#[tokio::test]
async fn a_connection_established_after_its_request_completed_is_closed_unused() {
    let worker = RawWorker::new();
    let scheduler = start_with_long_connect_timeout(&[worker.address]).await;
    let (mut first_client, mut second_client) = (scheduler.client().await, scheduler.client().await);
    first_client.send_request("once", 4, 9000).await;
    let (mut reused, first) = worker.next_request().await;
    let queue_filler = worker.fill_queue().await;
    second_client.send_request("once", 5, 9000).await;
    worker.wait_for_connect().await;
    // The second request is written to the first one's connection, and both complete.
    write(&mut reused, ACCEPTED).await;
    let second = next_message(&mut reused).await.expect("the second request");
    write(&mut reused, ACCEPTED).await;
    for (message, client) in [(first, &mut first_client), (second, &mut second_client)] {
        assert_eq!(scheduler.call_back(&message.headers["x-request-id"], "r0", DONE).await, 204);
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
    // No request waits any more for the connection that the second request opened. It is established
    // nevertheless, and closed unused.
    drop((queue_filler, worker.accept().await));
    let mut late = worker.accept().await;
    assert_eq!(read_to_end(&mut late).await, "");
    assert_eq!(read_to_end(&mut reused).await, "");
}

// Guards against a response whose head or body never ends: it must not hold a connection permit, nor delay
// the final response of a request whose outcome is already known.
#[tokio::test]
async fn a_response_that_never_ends_holds_no_permit_and_delays_no_final_response() {
    let worker = RawWorker::new();
    // 64 descriptors allow eight dispatches at once.
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[worker.address]).await;
    let mut client = scheduler.client().await;
    let bodies =
        ["Content-Length: 9\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", "\r\nthe rest"];
    for (number, body) in (10..30).zip(bodies.iter().cycle()) {
        client.send_request("once", number, 9000).await;
        let (mut connection, message) = worker.next_request().await;
        if number % 2 == 0 {
            write(&mut connection, &format!("HTTP/1.1 202 Accepted\r\n{body}")).await;
            // The callback counts, and the connection is closed long before the request's deadline.
            assert_eq!(scheduler.call_back(&message.headers["x-request-id"], "r0", DONE).await, 204);
            assert_eq!(client.next_response().await.expect("a final response").status(), 200, "{body}");
        } else {
            let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\n";
            write(&mut connection, &format!("{head}{body}")).await;
            assert_eq!(client.next_response().await.expect("a final response").status(), 503, "{body}");
        }
        assert_eq!(read_to_end(&mut connection).await, "");
    }
    // The scheduler ends an attempt whose response head does not end; whether the request ran is unknown.
    client.send_request("once", 30, 9000).await;
    let (mut connection, _) = worker.next_request().await;
    let endless = format!("HTTP/1.1 202 Accepted\r\nX-Long: {}", "x".repeat(60_000));
    let since = std::time::Instant::now();
    let _ = connection.write_all(endless.as_bytes()).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 500);
    assert!(
        since.elapsed() < Duration::from_secs(3),
        "the attempt with the endless head ended only after {:?}",
        since.elapsed()
    );
    assert_eq!(read_to_end(&mut connection).await, "");
}

// Guards against a response that is matched to the next request. A connection is not reused after a response
// other than a complete 202, or after one with further bytes directly behind it.
#[tokio::test]
async fn a_second_response_is_never_matched_to_the_next_request() {
    let accepted_then_not_processed = format!("{ACCEPTED}{NOT_PROCESSED}");
    let accepted_then_garbage = format!("{ACCEPTED}\u{1}\u{2}trailing");
    let server_error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    for (first_response, status) in [
        (NOT_PROCESSED, 503),
        (server_error, 500),
        (&accepted_then_not_processed, 200),
        (&accepted_then_garbage, 200),
    ] {
        let worker = RawWorker::new();
        let scheduler = Scheduler::start(&[worker.address]).await;
        let mut client = scheduler.client().await;
        client.send_request("once", 40, 9000).await;
        let (mut first, message) = worker.next_request().await;
        write(&mut first, first_response).await;
        if status == 200 {
            assert_eq!(scheduler.call_back(&message.headers["x-request-id"], "r0", DONE).await, 204);
        }
        assert_eq!(client.next_response().await.expect("a final response").status(), status);
        client.send_request("once", 41, 9000).await;
        let (mut second, message) = tokio::select! {
            received = worker.next_request() => received,
            Some(message) = next_message(&mut first) =>
                panic!("unexpected {message:?} after {first_response:?}"),
        };
        // A late response, which belongs to no request.
        let _ = first.write_all(NOT_PROCESSED.as_bytes()).await;
        write(&mut second, ACCEPTED).await;
        assert_eq!(scheduler.call_back(&message.headers["x-request-id"], "r0", DONE).await, 204);
        assert_eq!(
            client.next_response().await.expect("a final response").status(),
            200,
            "after {first_response:?}"
        );
    }
}

// Guards against a second run because of a response that may belong to the previous request. For a request
// that must not run twice, "not processed" counts only if no other response came just before on that
// connection.
#[tokio::test]
async fn a_response_that_may_belong_to_the_previous_request_proves_nothing() {
    for (class, retries) in [("once", false), ("keyed", false), ("safe", true)] {
        let (worker, mut other) = (RawWorker::new(), FakeServer::start().await);
        let mut scheduler = start_with_long_connect_timeout(&[worker.address]).await;
        let (mut first_client, mut second_client) = (scheduler.client().await, scheduler.client().await);
        first_client.send_request("once", 50, 9000).await;
        let (mut reused, _) = worker.next_request().await;
        let _queue_filler = worker.fill_queue().await;
        second_client.send_request(class, 51, 9000).await;
        worker.wait_for_connect().await;
        let other_endpoint = endpoint("r1", other.address, "SERVING").replace("\"cell\":0", "\"cell\":1");
        publish_and_wait(&mut scheduler, 6, &[other_endpoint]).await;
        // The first request's response releases the connection to the second request. A second, different
        // response to the first request follows.
        write(&mut reused, ACCEPTED).await;
        next_message(&mut reused).await.expect("the second request");
        write(&mut reused, NOT_PROCESSED).await;
        if retries {
            let id = other.next_request().await.accept();
            assert_eq!(scheduler.call_back(&id, "r1", DONE).await, 204);
        }
        let status = if retries { 200 } else { 500 };
        assert_eq!(
            second_client.next_response().await.expect("a final response").status(),
            status,
            "{class}"
        );
        assert!(other.is_idle(), "{class}");
    }
}

// Guards against a second run that the request class forbids: after a reset during an attempt, a request is
// retried only within its class's limits, and its final response says whether it may have run.
#[tokio::test]
async fn a_request_whose_attempt_is_reset_is_retried_only_as_its_class_allows() {
    let short = "s/\"window_s\":9/\"window_s\":0.29/";
    let cases = [
        ("once", 0, "", None),
        ("safe", 1, "", Some(200)),
        ("keyed", 0, "", Some(200)),
        // The only other worker is in another cell, which does not remember the idempotency key.
        ("keyed", 1, "", None),
        // A retry could be written up to 0.25 s later, when the key may no longer be remembered.
        ("keyed", 0, short, None),
    ];
    for (class, cell, edit, status_after_retry) in cases {
        let (worker, mut other) = (RawWorker::new(), FakeServer::start().await);
        let mut scheduler = start_edited_with_sed(edit, 1024, &[worker.address]).await;
        let mut client = scheduler.client().await;
        client.send_request(class, 60, 9000).await;
        let (connection, _) = worker.next_request().await;
        let other_endpoint =
            endpoint("r1", other.address, "SERVING").replace("\"cell\":0", &format!("\"cell\":{cell}"));
        publish_and_wait(&mut scheduler, 6, &[other_endpoint]).await;
        reset(connection);
        if status_after_retry.is_some() {
            let id = other.next_request().await.accept();
            assert_eq!(scheduler.call_back(&id, "r1", DONE).await, 204);
        }
        let response = client.next_response().await.expect("a final response").status();
        assert_eq!(response, status_after_retry.unwrap_or(500), "{class}, cell {cell}, {edit:?}");
        assert!(other.is_idle(), "{class}, cell {cell}, {edit:?}");
    }
}

fn reset(connection: Connection) {
    connection.into_inner().set_zero_linger().expect("the linger option is set");
}

// Guards against a response that is lost because a reset arrives together with it. The scheduler is stopped until
// its kernel has both, so that it finds them at once. Without the wait the reset may come later than the next
// request: while another test starts a process, the child holds a copy of the worker's socket until it executes
// its program, and the scheduler would reuse the connection.
#[tokio::test]
async fn a_response_counts_even_if_a_reset_comes_with_it() {
    let worker = RawWorker::new();
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    for (number, response, status) in [(70, ACCEPTED, 200), (71, NOT_PROCESSED, 503), (72, ACCEPTED, 500)] {
        client.send_request("once", number, 9000).await;
        let (mut connection, message) = worker.next_request().await;
        scheduler.signal("STOP").await;
        write(&mut connection, response).await;
        reset(connection);
        worker.wait_for_reset().await;
        scheduler.signal("CONT").await;
        let id = &message.headers["x-request-id"];
        // The worker lost the third request, which fails therefore.
        let fields = if status == 200 { DONE } else { r#""state":"lost""# };
        if response == ACCEPTED {
            // The second callback finds no request.
            assert_eq!(scheduler.call_back(id, "r0", fields).await, 204);
            assert_eq!(scheduler.call_back(id, "r0", DONE).await, 204);
        }
        assert_eq!(client.next_response().await.expect("a final response").status(), status);
    }
}

// Guards against a wrong outcome if a worker hangs during an attempt: the final response says that the
// request may have run, and the request is not retried in a cell that does not remember its idempotency key.
#[tokio::test]
async fn a_request_that_hangs_at_its_worker_fails_in_time_and_is_not_retried() {
    for class in ["once", "keyed"] {
        let (mut worker, mut other) = (FakeServer::start().await, FakeServer::start().await);
        let mut scheduler = Scheduler::start(&[worker.address]).await;
        let mut client = scheduler.client().await;
        client.send_request(class, 75, 1500).await;
        let id = worker.next_request().await.accept();
        assert_eq!(scheduler.call_back(&id, "r0", r#""state":"started""#).await, 204);
        let other_endpoint = endpoint("r1", other.address, "SERVING").replace("\"cell\":0", "\"cell\":1");
        publish_and_wait(&mut scheduler, 6, &[other_endpoint]).await;
        assert_eq!(client.next_response().await.expect("a final response").status(), 500, "{class}");
        assert_eq!(worker.next_request().await.message.first_line, format!("DELETE /jobs/{id} HTTP/1.1"));
        // The late callback finds no request.
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
        assert!(other.is_idle(), "{class}");
    }
}

// Guards against a second run of a request that arrives just as the worker closes the connection it would
// reuse: the scheduler sees the request and the close at once.
#[tokio::test]
async fn a_request_that_races_with_the_close_of_a_reused_connection_runs_at_most_once() {
    let worker = RawWorker::new();
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 200, 9000).await;
    let mut reused = complete_request(worker.next_request().await, &scheduler, &mut client, 200).await;
    for number in 201..204 {
        scheduler.signal("STOP").await;
        drop(reused);
        client.send_request("once", number, 9000).await;
        scheduler.signal("CONT").await;
        let received = tokio::select! {
            // The request was sent on a new connection; nothing was written to the closed one.
            received = worker.next_request() => Some(received),
            response = client.next_response() => {
                // Either it was written before the close was seen, so that it may have run (500), or nothing
                // of it was written (503).
                assert!(matches!(response.expect("a final response").status(), 500 | 503));
                None
            }
        };
        reused = match received {
            Some(received) => complete_request(received, &scheduler, &mut client, number).await,
            None => {
                // The worker receives the next request, not this one.
                client.send_request("once", number + 100, 9000).await;
                complete_request(worker.next_request().await, &scheduler, &mut client, number + 100).await
            }
        };
    }
}

/// Completes a received request; returns its connection.
async fn complete_request(
    (mut connection, message): (Connection, Message),
    scheduler: &Scheduler,
    client: &mut Client,
    number: u64,
) -> Connection {
    assert_eq!(message.headers["x-request-id"], format!("{number:016x}"));
    write(&mut connection, ACCEPTED).await;
    assert_eq!(scheduler.call_back(&message.headers["x-request-id"], "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    connection
}

// The request head sent to a worker gives the time left as of the attempt's preparation. If the scheduler is
// held up between the preparation and the write, this value is too high, and a retry may come after the end
// of the key's window.
#[tokio::test]
async fn an_attempt_is_written_in_time_or_not_at_all() {
    let mut worker = FakeServer::start().await;
    let config =
        platform::read_startup_config(&config(worker.address, worker.address, &endpoint_list(1, true, &[])));
    let settings = config.expect("a valid configuration").settings;
    let endpoints = Arc::new(EndpointTable::new(&settings.proxy));
    let parsed = json::parse(&endpoint_list(2, true, &[endpoint("r0", worker.address, "SERVING")]));
    let list =
        parsed.and_then(|json_list| platform::read_endpoint_list(&json_list)).expect("a valid endpoint list");
    endpoints.apply(&list, ListOrigin::Discovery, Clock::start().read());
    let upstream = HttpUpstream::new(&settings.proxy, endpoints, DescriptorBudget::new(1024));
    let keyed = Idempotency::IdempotentWithKey { scope: KeyScope::All, window: 9_000_000 };
    for idempotency in [keyed, Idempotency::Idempotent, Idempotency::NonIdempotent] {
        for is_late in [true, false] {
            let (headers, body) = (Default::default(), "hi".into());
            let path = "/keyed/k".parse().expect("a path");
            let upstream_request = UpstreamRequest {
                id: String::new(),
                path,
                headers,
                idempotency,
                body,
                client: Default::default(),
            };
            let (target, control) = (upstream.target(WorkerId(0)), DispatchControl::default());
            let mut dispatch = upstream.dispatch(&target, &upstream_request, from_now(9_000_000), &control);
            assert!((&mut dispatch).now_or_never().is_none(), "the dispatch waits for a connection");
            if is_late {
                std::thread::sleep(
                    Duration::from_micros(settings.proxy.connect_timeout) + Duration::from_millis(100),
                );
            }
            let accepted = async { worker.next_request().await.respond("202 Accepted", "", "") };
            if is_late {
                tokio::select! {
                    ended = dispatch => assert!(ended.is_err_and(|failure| failure.outcome.never_ran())),
                    () = accepted => panic!("the attempt was written late"),
                }
            } else {
                assert_eq!(tokio::join!(dispatch, accepted).0, Ok(()));
            }
        }
    }
    assert!(worker.is_idle(), "no late attempt reached the worker");
}

// Guards against silent workers whose dispatches never release their permits.
#[tokio::test]
async fn silent_workers_release_their_dispatch_permits_at_the_deadline() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[worker.address]).await;
    let mut clients = Vec::new();
    let mut silent = Vec::new();
    for number in 80..88 {
        let mut client = scheduler.client().await;
        client.send_request("once", number, 1500).await;
        silent.push(worker.next_request().await);
        clients.push(client);
    }
    for client in &mut clients {
        assert_eq!(client.next_response().await.expect("a final response").status(), 500);
    }
    for received in silent {
        received.wait_until_closed().await;
    }
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut worker, 88, DONE).await;
}

// Guards against a request that is written to a connection which the worker closes at its keep-alive timeout.
#[tokio::test]
async fn an_idle_connection_is_closed_before_the_workers_keep_alive_timeout() {
    let worker = RawWorker::new();
    let scheduler =
        start_edited_with_sed("s/\"keepalive_s\":5/\"keepalive_s\":1/", 1024, &[worker.address]).await;
    let mut client = scheduler.client().await;
    for number in 90..92 {
        client.send_request("once", number, 9000).await;
        let (mut connection, message) = worker.next_request().await;
        write(&mut connection, ACCEPTED).await;
        assert_eq!(scheduler.call_back(&message.headers["x-request-id"], "r0", DONE).await, 204);
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
        // The worker side stays open: the scheduler closes the connection by itself.
        assert_eq!(read_to_end(&mut connection).await, "");
    }
}

// Guards against headers of one request that are forwarded with the next one on the same connection.
#[tokio::test]
async fn requests_on_one_connection_are_forwarded_each_with_its_own_headers() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    let requests = [
        ("once", 9000, "Idempotency-Key: k7\r\nX-Attrs: width=2\r\n"),
        ("keyed", 4000, "Idempotency-Key: k8\r\nX-Retried: 1\r\n"),
        ("safe", 6000, "X-Other: 3\r\n"),
        ("safe", 3000, ""),
    ];
    let long = "x".repeat(65_536);
    let names = ["idempotency-key", "x-attrs", "x-retried", "x-other"];
    let mut connection = None;
    for (number, (class, millis, own)) in (100..).zip(requests) {
        let text = request_text(class, number, millis).replace("Idempotency-Key: k7\r\n", own);
        let (text, body) = match own {
            "" => (text.replace("Length: 2\r\n\r\nhi", &format!("Length: 65536\r\n\r\n{long}")), &*long),
            _ => (text, "hi"),
        };
        client.send(&text).await;
        let received = worker.next_request().await;
        assert_eq!(
            *connection.get_or_insert(received.peer),
            received.peer,
            "all requests use one connection"
        );
        assert_eq!(received.message.first_line, format!("POST /{class}/k?q=1 HTTP/1.1"));
        assert!(received.message.body == body, "{class}: the body is complete");
        let headers = &received.message.headers;
        for name in names {
            let sent = own.lines().find_map(|line| {
                line.split_once(": ")
                    .filter(|(own, _)| own.to_ascii_lowercase() == name)
                    .map(|(_, value)| value)
            });
            assert_eq!(headers.get(name).map(String::as_str), sent, "{class}: {name}");
        }
        let left: u64 =
            headers["x-timeout"].strip_suffix('m').and_then(|m| m.parse().ok()).expect("milliseconds");
        assert!((millis - 1000..millis).contains(&left), "{class}: {left} of {millis}");
        let id = received.accept();
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
    // An empty body is forwarded as an empty body, and the connection is reused.
    for number in 110..112 {
        client.send(&with_empty_body(request_text("once", number, 9000))).await;
        let received = worker.next_request().await;
        assert_eq!(connection, Some(received.peer));
        assert_eq!(received.message.headers.get("content-length").map(String::as_str), Some("0"));
        assert!(!received.message.headers.contains_key("transfer-encoding"));
        let id = received.accept();
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
}

// The time left in the head is set before the connection is established, which may take up to the connect
// timeout.
#[tokio::test]
async fn the_time_left_sent_to_a_worker_is_at_most_what_the_client_has_left_on_arrival() {
    for (millis, connect_millis) in [(9_000, 250), (9_000, 20_000), (600, 250)] {
        let worker = RawWorker::new();
        let edit =
            format!("s/\"connect_timeout_s\":0.25/\"connect_timeout_s\":{}/", connect_millis as f64 / 1e3);
        let scheduler = start_edited_with_sed(&edit, 1024, &[worker.address]).await;
        let queue_filler = worker.fill_queue().await;
        let mut client = scheduler.client().await;
        let sent_at = Instant::now();
        client.send_request("once", 200, millis).await;
        worker.wait_for_connect().await;
        // Frees the worker's accept queue.
        drop((queue_filler, worker.accept().await));
        // The kernel establishes the connection a second later, unless the scheduler has given it up.
        let arrived = timeout(Duration::from_secs(2), worker.next_request()).await;
        let left = Duration::from_millis(millis).saturating_sub(sent_at.elapsed());
        assert_eq!(
            arrived.is_ok(),
            connect_millis > 1_000,
            "a connection that is established too late carries no request"
        );
        if let Ok((_connection, message)) = arrived {
            let sent = message.headers["x-timeout"].strip_suffix('m').and_then(|text| text.parse().ok());
            let sent = Duration::from_millis(sent.expect("milliseconds"));
            assert!(sent <= left, "{sent:?} sent to the worker, {left:?} left");
        }
    }
}
