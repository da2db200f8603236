//! Tests of the whole program over sockets, with simulated clients, workers and discovery.
mod sockets;
use sockets::*;

/// The fields of a callback that reports a completed request with a load report.
const DONE: &str = r#""state":"done","result":"r\u00e9sult","load":{"x0":3.5,"waiting":0}"#;

#[tokio::test]
async fn a_request_is_forwarded_unchanged_and_its_result_is_returned() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let received = worker.next_request().await;
    assert_eq!(received.message.first_line, "POST /once/k?q=1 HTTP/1.1");
    assert_eq!(received.message.body, "hi");
    assert_eq!(received.message.headers["idempotency-key"], "k7");
    let timeout = &received.message.headers["x-timeout"];
    let millis: u64 = timeout.strip_suffix('m').and_then(|m| m.parse().ok()).expect("milliseconds");
    assert!((8000..9000).contains(&millis), "the network time is subtracted: {timeout}");
    let id = received.accept();
    assert_eq!(id, "0000000000000001");
    assert_eq!(scheduler.call_back(&id, "r0", r#""state":"started""#).await, 204);
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    let response = client.next_response().await.expect("a final response");
    assert_eq!((response.status(), response.body.as_str()), (200, "résult"));
}

// Guards against a callback that overtakes the 202, is repeated, or belongs to another attempt.
#[tokio::test]
async fn early_duplicate_and_foreign_callbacks_lead_to_one_response() {
    let (mut worker, other) = (FakeServer::start().await, FakeServer::start().await);
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 2, 9000).await;
    let received = worker.next_request().await;
    let id = received.message.headers["x-request-id"].clone();
    for foreign in ["r1", "r9"] {
        assert_eq!(scheduler.call_back(&id, foreign, r#""state":"failed""#).await, 204);
    }
    assert_eq!(scheduler.call_back("00000000000000ff", "r0", DONE).await, 204);
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    assert_eq!(scheduler.call_back(&id, "r0", r#""state":"failed""#).await, 204);
    received.accept();
    // Only one response was written: the connection carries the next request.
    client.send_request("once", 3, 9000).await;
    let id = worker.next_request().await.accept();
    scheduler.call_back(&id, "r0", r#""state":"failed""#).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 500);
    drop(other);
}

// Guards against a handler that is dropped with its client connection, without a cancellation of its attempt:
// the request's task outlives the handler and cancels the attempt.
#[tokio::test]
async fn a_client_that_disconnects_has_its_attempt_cancelled() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    // The first callback may also come before the 202, which then arrives after the client has disconnected.
    for early in [false, true] {
        let mut client = scheduler.client().await;
        client.send_request("safe", 4 + u64::from(early), 9000).await;
        let mut received = Some(worker.next_request().await);
        let id = received.as_ref().expect("a received request").message.headers["x-request-id"].clone();
        if !early {
            received.take().expect("a received request").accept();
        }
        assert_eq!(scheduler.call_back(&id, "r0", r#""state":"started""#).await, 204);
        drop(client);
        let cancellation = worker.next_request().await;
        assert_eq!(cancellation.message.first_line, format!("DELETE /jobs/{id} HTTP/1.1"), "early: {early}");
        cancellation.respond("200 OK", "", "");
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    }
}

// Guards against a second run of a non-idempotent request: a broken connection proves nothing, while a
// refused connection or a request that is returned as not processed proves that it never ran.
#[tokio::test]
async fn a_non_idempotent_request_is_retried_only_where_it_never_ran() {
    let mut worker_a = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker_a.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 5, 9000).await;
    drop(worker_a.next_request().await);
    assert_eq!(client.next_response().await.expect("a final response").status(), 500);
    // A 503 without that proof is not forwarded, since the client could retry on it.
    client.send_request("once", 6, 9000).await;
    worker_a.next_request().await.respond("503 Service Unavailable", "", "");
    assert_eq!(client.next_response().await.expect("a final response").status(), 500);
    // Returned as not processed: there is no other worker, so the policy rejects the request.
    client.send_request("once", 7, 9000).await;
    worker_a.next_request().await.respond(
        "503 Service Unavailable",
        "X-Not-Processed: 1\r\nX-Server-Load: ??\r\n",
        "",
    );
    let response = client.next_response().await.expect("a final response");
    assert_eq!(response.status(), 503);
    let after: f64 = response.headers["retry-after"].parse().expect("seconds");
    assert!((0.0..=2.0).contains(&after), "{after}");
    // Nor does the scheduler's HTTP library resend a request whose reused connection breaks.
    client.send_request("once", 8, 9000).await;
    drop(worker_a.next_request().await);
    assert_eq!(client.next_response().await.expect("a final response").status(), 500);
    assert!(worker_a.is_idle(), "no request was sent twice");
    // One worker that refuses connections, and one that serves.
    let (_reserved, closed) = reserve_address();
    let scheduler = Scheduler::start(&[closed, worker_a.address]).await;
    let mut client = scheduler.client().await;
    for id in 10..14 {
        client.send_request("once", id, 9000).await;
        let id = worker_a.next_request().await.accept();
        scheduler.call_back(&id, "r1", DONE).await;
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
}

// Guards against reused connections that break during the next request: after that, a request that is
// non-idempotent, or whose idempotency key is remembered only within a cell, is sent on a new connection.
#[tokio::test]
async fn a_non_idempotent_request_reuses_no_connection_after_one_broke() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    let mut connections = Vec::new();
    let classes = ["once", "once", "safe", "once", "once", "keyed", "keyed"];
    for (id, class) in (140..).zip(classes) {
        client.send_request(class, id, 9000).await;
        let received = worker.next_request().await;
        connections.push(received.peer);
        if class == "safe" {
            drop(received);
            assert_eq!(client.next_response().await.expect("a final response").status(), 503);
            continue;
        }
        let id = received.accept();
        scheduler.call_back(&id, "r0", DONE).await;
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
    assert_eq!(connections[..2], [connections[2]; 2], "the connection is reused");
    let own = connections[3..].iter().collect::<std::collections::HashSet<_>>();
    assert_eq!(own.len(), 4, "each request has a new connection: {connections:?}");
}

#[tokio::test]
async fn an_idempotent_request_is_retried_after_a_reset() {
    let (mut worker_a, mut worker_b) = (FakeServer::start().await, FakeServer::start().await);
    let scheduler = Scheduler::start(&[worker_a.address, worker_b.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("safe", 20, 9000).await;
    let (first, other, name) = tokio::select! {
        received = worker_a.next_request() => (received, &mut worker_b, "r1"),
        received = worker_b.next_request() => (received, &mut worker_a, "r0"),
    };
    let id = first.accept();
    scheduler.call_back(&id, if name == "r1" { "r0" } else { "r1" }, r#""state":"lost""#).await;
    let again = other.next_request().await.accept();
    assert_eq!(id, again);
    scheduler.call_back(&id, name, DONE).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
}

// Guards against a final response that arrives after the client has timed out.
#[tokio::test]
async fn the_final_response_comes_before_the_clients_deadline() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    let sent = std::time::Instant::now();
    client.send_request("once", 30, 2000).await;
    let id = worker.next_request().await.accept();
    assert_eq!(client.next_response().await.expect("a final response").status(), 500);
    assert!(sent.elapsed().as_millis() < 2000, "{:?}", sent.elapsed());
    assert_eq!(worker.next_request().await.message.first_line, format!("DELETE /jobs/{id} HTTP/1.1"));
}

#[tokio::test]
async fn the_endpoint_list_is_followed_and_kept_on_an_invalid_or_missing_response() {
    let (mut worker_a, mut worker_b) = (FakeServer::start().await, FakeServer::start().await);
    let mut scheduler = Scheduler::start(&[worker_a.address]).await;
    // The list of the discovery agent applies from the start, so the first call is a poll of the full list,
    // at once, and no watch.
    const FULL_LIST_REQUEST: &str = "GET /api/targets HTTP/1.1";
    let first = scheduler.discovery.next_request().await;
    assert_eq!(first.message.first_line, FULL_LIST_REQUEST);
    first.respond("200 OK", "", r#"{"revision":6,"complete":true,"members":[{"id":1}]}"#);
    let list_received_at = std::time::Instant::now();
    let again = scheduler.discovery.next_request().await;
    assert!(
        list_received_at.elapsed().as_millis() < 200,
        "the next call comes at once: {:?}",
        list_received_at.elapsed()
    );
    // A list may contain whitespace.
    let indented =
        endpoint_list(5, true, &[endpoint("r0", worker_a.address, "SERVING")]).replace(',', " ,\r\n\t ");
    again.respond("200 OK", "", &indented);
    let watch = scheduler.discovery.next_request().await;
    assert_eq!(watch.message.first_line, "GET /api/targets?from=5&hold_ms=2000 HTTP/1.1");
    // The endpoint changes its address and keeps its name.
    watch.respond("200 OK", "", &endpoint_list(6, false, &[endpoint("r0", worker_b.address, "SERVING")]));
    let silent = scheduler.discovery.next_request().await;
    let mut client = scheduler.client().await;
    client.send_request("once", 40, 9000).await;
    let id = worker_b.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    // A silent watch is dropped; the full list is then polled at once and repeatedly.
    for _ in 0..2 {
        assert_eq!(scheduler.discovery.next_request().await.message.first_line, FULL_LIST_REQUEST);
    }
    let since = std::time::Instant::now();
    let next = scheduler.discovery.next_request().await;
    assert!(since.elapsed().as_millis() < 1_000, "{:?}", since.elapsed());
    drop(silent);
    // A draining worker gets no new request: without another worker, the request is rejected.
    next.respond("200 OK", "", &endpoint_list(7, false, &[endpoint("r0", worker_b.address, "DRAINING")]));
    scheduler.discovery.next_request().await;
    client.send_request("once", 41, 9000).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 503);
    assert!(worker_a.is_idle() && worker_b.is_idle());
}

// Guards against a shutdown that loses accepted requests, or that turns away late clients or callbacks.
#[tokio::test]
async fn sigterm_answers_accepted_requests_and_exits_with_success() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let (mut client, mut idle) = (scheduler.client().await, scheduler.client().await);
    assert_eq!(idle.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await.status(), 200);
    client.send_request("once", 50, 9000).await;
    let id = worker.next_request().await.accept();
    let sigterm_at = std::time::Instant::now();
    scheduler.terminate().await;
    assert!(idle.next_response().await.is_none(), "an idle client connection is closed");
    let mut late = scheduler.client().await;
    assert_eq!(late.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await.status(), 503);
    let mut late = scheduler.client().await;
    late.send_request("once", 51, 9000).await;
    let second = worker.next_request().await.accept();
    for (id, client) in [(id, &mut client), (second, &mut late)] {
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
        let response = client.next_response().await.expect("a final response");
        assert_eq!((response.status(), response.headers["connection"].as_str()), (200, "close"));
    }
    // A request that cannot complete before this scheduler exits is rejected at once, so that its client can
    // use another one.
    let mut heavy = scheduler.client().await;
    heavy.send(&request_text("once", 53, 9000).replace("X-Cost: 1000", "X-Cost: 8000000")).await;
    let response = heavy.next_response().await.expect("a final response");
    assert_eq!((response.status(), response.headers["retry-after"].as_str()), (503, "0"));
    assert!(worker.is_idle(), "the request was not dispatched");
    // A request that does not complete in time gets a final response nevertheless.
    let mut last = scheduler.client().await;
    last.send_request("once", 52, 9000).await;
    worker.next_request().await.accept();
    assert_eq!(last.next_response().await.expect("a final response").status(), 500);
    assert!(scheduler.child.wait().await.expect("the process exits").success());
    // The SIGKILL comes after the longest deadline, at most 3 s, and 0.7 s more, counted from SIGTERM.
    assert!(sigterm_at.elapsed().as_millis() < 3_700, "{:?}", sigterm_at.elapsed());
}

#[tokio::test]
async fn bad_requests_and_callbacks_get_their_status_and_change_nothing() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let good = request_text("safe", 60, 9000);
    let cases = [
        (good.replace("X-Timeout: 9000m", "X-Timeout: 9s"), 400),
        (good.replace("X-Timeout", "X-Other"), 400),
        (good.replace("X-Request-ID: 0", "X-Request-ID: z"), 400),
        (good.replace("X-Request-ID", "X-Other"), 400),
        (good.replace("/safe/", "/unheard/"), 404),
        (good.replace("/safe/k?q=1", "/"), 404),
        (good.replace("POST", "PUT"), 405),
        (good.replace("Content-Length: 2", "Content-Length: 65537"), 413),
        ("GET /_jobs/news HTTP/1.1\r\nHost: s\r\n\r\n".into(), 405),
        ("\u{1}\u{2}garbage\r\n\r\n".into(), 400),
    ];
    for (text, status) in cases {
        assert_eq!(scheduler.client().await.exchange(&text).await.status(), status, "{text}");
    }
    let deep = "[".repeat(60_000);
    for body in ["", "{", "[]", deep.as_str(), r#"{"id":"1","from":"r0","state":"done"}"#] {
        assert_eq!(scheduler.post_callback(body).await, 400, "{body:.50}");
    }
    assert!(worker.is_idle(), "none of these was forwarded");
    let mut client = scheduler.client().await;
    client.send(&good).await;
    let id = worker.next_request().await.accept();
    // An id in use is rejected.
    assert_eq!(scheduler.client().await.exchange(&good).await.status(), 400);
    scheduler.call_back(&id, "r0", r#""state":"done","result":"","load":{"x0":"much"}"#).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
}

// Guards against SIGHUP terminating the process, which is its default action. The new discovery is followed
// at once whatever its revisions, the pending call to the old one is closed, and an invalid configuration
// changes nothing.
#[tokio::test]
async fn sighup_follows_the_new_discovery_and_keeps_serving() {
    let (mut worker_a, mut worker_b, mut new_discovery) =
        (FakeServer::start().await, FakeServer::start().await, FakeServer::start().await);
    let mut scheduler = Scheduler::start(&[worker_a.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 90, 9000).await;
    let earlier_id = worker_a.next_request().await.accept();
    let old_call = scheduler.discovery.next_request().await;
    let moved = config(scheduler.address, new_discovery.address, &endpoint_list(5, true, &[]));
    for bad in ["", &moved.replace("pure", "perhaps")] {
        let lines = scheduler.reload(bad).await;
        assert!(lines.len() == 1 && lines[0].contains("the old configuration stays"), "{lines:?}");
    }
    let elsewhere =
        moved.replace(&format!("\"listen\":\"{}\"", scheduler.address), "\"listen\":\"127.0.0.1:1\"");
    assert_ne!(moved, elsewhere);
    let lines = scheduler.reload(&elsewhere).await;
    assert!(lines.len() == 2 && lines[0].contains(r#"only with a restart","parts":"listen""#), "{lines:?}");
    let full_list_request = new_discovery.next_request().await;
    assert_eq!(full_list_request.message.first_line, "GET /api/targets HTTP/1.1");
    old_call.wait_until_closed().await;
    full_list_request.respond(
        "200 OK",
        "",
        &endpoint_list(2, true, &[endpoint("r1", worker_b.address, "SERVING")]),
    );
    assert!(new_discovery.next_request().await.message.first_line.contains("from=2"));
    // The earlier request completes, and the next one is sent to the worker of the new discovery.
    scheduler.call_back(&earlier_id, "r0", DONE).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    client.send_request("once", 91, 9000).await;
    let id = worker_b.next_request().await.accept();
    // Several reloads in a row, the last ones back to the first address.
    let back = config(scheduler.address, scheduler.discovery.address, &endpoint_list(5, true, &[]));
    for content in [&moved, &back, &back] {
        scheduler.reload(content).await;
    }
    assert_eq!(scheduler.discovery.next_request().await.message.first_line, "GET /api/targets HTTP/1.1");
    scheduler.terminate().await;
    scheduler.signal("HUP").await;
    scheduler.call_back(&id, "r1", DONE).await;
    assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    assert!(scheduler.child.wait().await.expect("the process exits").success());
    assert!(worker_a.is_idle());
}

// A writer may pause anywhere in the file with the cached list. The partial file is no valid configuration,
// and its completion needs no further SIGHUP.
#[tokio::test]
async fn a_half_written_file_is_rejected_and_reloaded_once_it_is_complete() {
    let (worker_a, mut new_discovery) = (FakeServer::start().await, FakeServer::start().await);
    let mut scheduler = Scheduler::start(&[worker_a.address]).await;
    let known = endpoint_list(5, true, &[endpoint("r0", worker_a.address, "SERVING")]);
    let complete_config = config(scheduler.address, new_discovery.address, &known);
    let cuts = [
        0,
        1,
        complete_config.len() / 3,
        complete_config.find("SERVING").expect("the cached list") + 3,
        complete_config.len() - 1,
    ];
    for cut in cuts {
        let outcome = scheduler.reload(&complete_config[..cut]).await.pop().expect("a log line");
        assert!(outcome.contains("the old configuration stays"), "{cut}: {outcome}");
    }
    std::fs::write(&scheduler.path, &complete_config).expect("the configuration is written");
    let outcome = scheduler.lines_until_configuration().await.pop().expect("a log line");
    assert!(outcome.contains("configuration reloaded"), "{outcome}");
    assert_eq!(new_discovery.next_request().await.message.first_line, "GET /api/targets HTTP/1.1");
    // A SIGHUP after a failed reload replaces the retries of that reload: the file is read once.
    scheduler.reload(&complete_config[..1]).await;
    let outcome = scheduler.reload(&complete_config).await.pop().expect("a log line");
    assert!(outcome.contains("configuration reloaded"), "{outcome}");
    let follow_up_time = std::time::Duration::from_millis(800);
    let next_outcome = tokio::time::timeout(follow_up_time, scheduler.lines_until_configuration()).await;
    assert!(next_outcome.is_err(), "{next_outcome:?}");
}

// Guards against a reset because of unread data, which discards the error response for a client that reads
// late.
#[tokio::test]
async fn a_body_that_is_too_large_is_rejected_with_a_readable_response() {
    let scheduler = Scheduler::start(&[]).await;
    let size = 8 << 20;
    let head = request_text("safe", 120, 9000).replace("Content-Length: 2\r\n\r\nhi", "");
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n");
    for head in [format!("{head}Content-Length: {size}\r\n\r\n"), chunked] {
        let mut client = scheduler.client().await;
        client.send(&(head + &"x".repeat(size))).await;
        let response = client.next_response().await.expect("a final response");
        assert_eq!((response.status(), response.headers["connection"].as_str()), (413, "close"));
        assert!(client.next_response().await.is_none(), "the connection is closed");
    }
}

// Guards against request smuggling through ambiguous framing, against two id headers in one
// request, and against an id that is used again.
#[tokio::test]
async fn an_ambiguous_request_is_not_forwarded() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let good = request_text("once", 130, 9000);
    let (both, chunked) = ("Transfer-Encoding: chunked\r\n", "2\r\nhi\r\n0\r\n\r\n");
    let id = "X-Request-ID: 0000000000000082\r\n";
    let bad = [
        good.replace("\r\n\r\nhi", &format!("\r\n{both}\r\n{chunked}")),
        good.replace("Content-Length", &format!("{both}Content-Length")).replace("hi", chunked),
        good.replace("Content-Length: 2", "Content-Length: 2\r\nContent-Length: 3"),
        good.replace("Content-Length: 2", "Content-Length: -2"),
        good.replace("Content-Length: 2", "Content-Length: 99999999999999999999999"),
        good.replace(id, &format!("{id}X-Request-ID: 00000000000000ff\r\n")),
        good.replace("/once/", "/keyed/").replace("Idempotency-Key", "X-Other"),
    ];
    for text in bad {
        assert_ne!(text, good);
        let mut client = scheduler.client().await;
        assert_eq!(client.exchange(&text).await.status(), 400, "{text}");
        assert!(client.next_response().await.is_none(), "the connection is closed: {text}");
    }
    assert!(worker.is_idle(), "none of these was forwarded");
    // Chunked bodies alone are valid, also on a reused connection.
    let mut client = scheduler.client().await;
    for text in [good.clone(), good.replace("0082", "0083")] {
        client.send(&text.replace("Content-Length: 2\r\n\r\nhi", &format!("{both}\r\n{chunked}"))).await;
        let received = worker.next_request().await;
        assert_eq!(
            (received.message.body.as_str(), received.message.headers["content-length"].as_str()),
            ("hi", "2")
        );
        let id = received.accept();
        scheduler.call_back(&id, "r0", DONE).await;
        assert_eq!(client.next_response().await.expect("a final response").status(), 200);
    }
    // An id whose request is complete is not run again.
    assert_eq!(client.exchange(&good).await.status(), 400);
    assert!(worker.is_idle());
}

#[test]
fn an_invalid_configuration_gives_one_error_line_and_a_failing_exit_code() {
    let program = || std::process::Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"));
    let path = std::env::temp_dir().join(format!("copperspread-bad-{}.json", std::process::id()));
    let unused_address = "127.0.0.1:1".parse().expect("a socket address");
    let good = config(unused_address, unused_address, &endpoint_list(1, true, &[]));
    for (from, to) in [("\"listen\":\"127", "\"listen\":\"x"), ("pure", "perhaps"), ("}", ""), ("9", "-")] {
        std::fs::write(&path, good.replace(from, to)).expect("the configuration is written");
        let output = program().env("EDGE_CONFIG", &path).output().expect("the process runs");
        let error_text = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && error_text.lines().count() == 1, "{from}: {error_text}");
    }
    let _ = std::fs::remove_file(&path);
    let output = program().env_remove("EDGE_CONFIG").output().expect("the process runs");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("EDGE_CONFIG"));
}

#[tokio::test]
async fn a_list_of_five_thousand_endpoints_is_followed() {
    let old = FakeServer::start().await;
    let mut new = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[old.address]).await;
    let mut members: Vec<_> =
        (0..5_000).map(|i| endpoint(&format!("gone{i}"), old.address, "DRAINING")).collect();
    members.push(endpoint("r0", new.address, "SERVING"));
    let first_call = scheduler.discovery.next_request().await;
    first_call.respond("200 OK", "", &endpoint_list(6, true, &members));
    // The list was read completely: the next watch continues from its revision.
    let next = scheduler.discovery.next_request().await;
    assert!(next.message.first_line.contains("from=6"), "{}", next.message.first_line);
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut new, 1, r#""state":"done","result":"paid""#).await;
}
