//! The program over sockets: it is started, and clients, workers and discovery are played.
mod sockets;
use sockets::*;

const DONE: &str = r#""state":"done","result":"r\u00e9sult","load":{"x0":3.5,"waiting":0}"#;

#[tokio::test]
async fn a_request_is_forwarded_unchanged_and_its_result_is_returned() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let asked = server.next_request().await;
    assert_eq!(asked.message.first_line, "POST /once/k?q=1 HTTP/1.1");
    assert_eq!(asked.message.body, "hi");
    assert_eq!(asked.message.headers["idempotency-key"], "k7");
    let timeout = &asked.message.headers["x-timeout"];
    let millis: u64 = timeout.strip_suffix('m').and_then(|m| m.parse().ok()).expect("milliseconds");
    assert!((8000..9000).contains(&millis), "time for the way is kept back: {timeout}");
    let id = asked.accept();
    assert_eq!(id, "0000000000000001");
    assert_eq!(scheduler.call_back(&id, "r0", r#""state":"started""#).await, 204);
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    let answer = client.next_response().await.expect("an answer");
    assert_eq!((answer.status(), answer.body.as_str()), (200, "résult"));
}

// Guards against a callback that overtakes the 202, comes again, or is another attempt's.
#[tokio::test]
async fn early_duplicate_and_foreign_callbacks_lead_to_one_response() {
    let (mut server, other) = (FakeServer::start().await, FakeServer::start().await);
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 2, 9000).await;
    let asked = server.next_request().await;
    let id = asked.message.headers["x-request-id"].clone();
    for foreign in ["r1", "r9"] {
        assert_eq!(scheduler.call_back(&id, foreign, r#""state":"failed""#).await, 204);
    }
    assert_eq!(scheduler.call_back("00000000000000ff", "r0", DONE).await, 204);
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    assert_eq!(scheduler.call_back(&id, "r0", r#""state":"failed""#).await, 204);
    asked.accept();
    // The connection carries the next request, and only one answer came.
    client.send_request("once", 3, 9000).await;
    let id = server.next_request().await.accept();
    scheduler.call_back(&id, "r0", r#""state":"failed""#).await;
    assert_eq!(client.next_response().await.expect("an answer").status(), 500);
    drop(other);
}

// Guards against a handler that is dropped with its client: the request lives on and cancels.
#[tokio::test]
async fn a_client_that_disconnects_has_its_attempt_cancelled() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    // The first word of it may also come before the 202, which then crosses the closed connection.
    for early in [false, true] {
        let mut client = scheduler.client().await;
        client.send_request("safe", 4 + u64::from(early), 9000).await;
        let mut asked = Some(server.next_request().await);
        let id = asked.as_ref().expect("it came").message.headers["x-request-id"].clone();
        if !early {
            asked.take().expect("it came").accept();
        }
        assert_eq!(scheduler.call_back(&id, "r0", r#""state":"started""#).await, 204);
        drop(client);
        let cancellation = server.next_request().await;
        assert_eq!(cancellation.message.first_line, format!("DELETE /jobs/{id} HTTP/1.1"), "early: {early}");
        cancellation.respond("200 OK", "", "");
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    }
}

// Guards against a second run of what must run once: a broken connection proves nothing, while a
// refused one or a request handed back unstarted proves that it never ran.
#[tokio::test]
async fn a_non_idempotent_request_is_retried_only_where_it_never_ran() {
    let mut one = FakeServer::start().await;
    let scheduler = Scheduler::start(&[one.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 5, 9000).await;
    drop(one.next_request().await);
    assert_eq!(client.next_response().await.expect("an answer").status(), 500);
    // A 503 that proves nothing is not passed through, as the client could try again.
    client.send_request("once", 6, 9000).await;
    one.next_request().await.respond("503 Service Unavailable", "", "");
    assert_eq!(client.next_response().await.expect("an answer").status(), 500);
    // Handed back unstarted: there is no other worker, so the policy refuses.
    client.send_request("once", 7, 9000).await;
    one.next_request().await.respond(
        "503 Service Unavailable",
        "X-Not-Processed: 1\r\nX-Server-Load: ??\r\n",
        "",
    );
    let answer = client.next_response().await.expect("an answer");
    assert_eq!(answer.status(), 503);
    let after: f64 = answer.headers["retry-after"].parse().expect("seconds");
    assert!((0.0..=2.0).contains(&after), "{after}");
    // Nor is a request that breaks on a connection used before sent again by the client's library.
    client.send_request("once", 8, 9000).await;
    drop(one.next_request().await);
    assert_eq!(client.next_response().await.expect("an answer").status(), 500);
    assert!(one.is_idle(), "nothing came twice");
    // Two that refuse connections and one that serves.
    let (_reserved, closed) = reserve_address();
    let scheduler = Scheduler::start(&[closed, one.address]).await;
    let mut client = scheduler.client().await;
    for id in 10..14 {
        client.send_request("once", id, 9000).await;
        let id = one.next_request().await.accept();
        scheduler.call_back(&id, "r1", DONE).await;
        assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    }
}

// Guards against reused connections that break under the next request: once one has, a request that must run
// once, or may go on only within a cell, goes out on a connection of its own.
#[tokio::test]
async fn a_non_idempotent_request_reuses_no_connection_after_one_broke() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    let mut connections = Vec::new();
    let classes = ["once", "once", "safe", "once", "once", "keyed", "keyed"];
    for (id, class) in (140..).zip(classes) {
        client.send_request(class, id, 9000).await;
        let asked = server.next_request().await;
        connections.push(asked.peer);
        if class == "safe" {
            drop(asked);
            assert_eq!(client.next_response().await.expect("an answer").status(), 503);
            continue;
        }
        let id = asked.accept();
        scheduler.call_back(&id, "r0", DONE).await;
        assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    }
    assert_eq!(connections[..2], [connections[2]; 2], "one connection is kept");
    let own = connections[3..].iter().collect::<std::collections::HashSet<_>>();
    assert_eq!(own.len(), 4, "each has its own: {connections:?}");
}

#[tokio::test]
async fn an_idempotent_request_is_retried_after_a_reset() {
    let (mut one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let scheduler = Scheduler::start(&[one.address, two.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("safe", 20, 9000).await;
    let (first, other, name) = tokio::select! {
        asked = one.next_request() => (asked, &mut two, "r1"),
        asked = two.next_request() => (asked, &mut one, "r0"),
    };
    let id = first.accept();
    scheduler.call_back(&id, if name == "r1" { "r0" } else { "r1" }, r#""state":"lost""#).await;
    let again = other.next_request().await.accept();
    assert_eq!(id, again);
    scheduler.call_back(&id, name, DONE).await;
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
}

// Guards against a client that cancels before its answer came.
#[tokio::test]
async fn the_final_response_comes_before_the_clients_deadline() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    let sent = std::time::Instant::now();
    client.send_request("once", 30, 2000).await;
    let id = server.next_request().await.accept();
    assert_eq!(client.next_response().await.expect("an answer").status(), 500);
    assert!(sent.elapsed().as_millis() < 2000, "{:?}", sent.elapsed());
    assert_eq!(server.next_request().await.message.first_line, format!("DELETE /jobs/{id} HTTP/1.1"));
}

#[tokio::test]
async fn the_endpoint_list_is_followed_and_kept_on_a_bad_or_missing_answer() {
    let (mut one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let mut scheduler = Scheduler::start(&[one.address]).await;
    // What the agent has counts as told from the first moment: it is asked for at once, and not held.
    const WHOLE: &str = "GET /api/targets HTTP/1.1";
    let first = scheduler.discovery.next_request().await;
    assert_eq!(first.message.first_line, WHOLE);
    first.respond("200 OK", "", r#"{"revision":6,"complete":true,"members":[{"id":1}]}"#);
    let list_received_at = std::time::Instant::now();
    let again = scheduler.discovery.next_request().await;
    assert!(list_received_at.elapsed().as_millis() < 200, "it goes on: {:?}", list_received_at.elapsed());
    // A list may come indented.
    let indented =
        endpoint_list(5, true, &[endpoint("r0", one.address, "SERVING")]).replace(',', " ,\r\n\t ");
    again.respond("200 OK", "", &indented);
    let watch = scheduler.discovery.next_request().await;
    assert_eq!(watch.message.first_line, "GET /api/targets?from=5&hold_ms=2000 HTTP/1.1");
    // The entry moves to another address and keeps its name.
    watch.respond("200 OK", "", &endpoint_list(6, false, &[endpoint("r0", two.address, "SERVING")]));
    let silent = scheduler.discovery.next_request().await;
    let mut client = scheduler.client().await;
    client.send_request("once", 40, 9000).await;
    let id = two.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    // A watch that stays silent is dropped; the agent is asked at once what it has, again and again.
    for _ in 0..2 {
        assert_eq!(scheduler.discovery.next_request().await.message.first_line, WHOLE);
    }
    let since = std::time::Instant::now();
    let next = scheduler.discovery.next_request().await;
    assert!(since.elapsed().as_millis() < 1_000, "{:?}", since.elapsed());
    drop(silent);
    // Nothing new goes to an entry that drains: with no other, the request is refused.
    next.respond("200 OK", "", &endpoint_list(7, false, &[endpoint("r0", two.address, "DRAINING")]));
    scheduler.discovery.next_request().await;
    client.send_request("once", 41, 9000).await;
    assert_eq!(client.next_response().await.expect("an answer").status(), 503);
    assert!(one.is_idle() && two.is_idle());
}

// Guards against an end that loses what was taken, or that turns latecomers and callbacks away.
#[tokio::test]
async fn sigterm_answers_accepted_requests_and_exits_with_success() {
    let mut server = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[server.address]).await;
    let (mut client, mut idle) = (scheduler.client().await, scheduler.client().await);
    assert_eq!(idle.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await.status(), 200);
    client.send_request("once", 50, 9000).await;
    let id = server.next_request().await.accept();
    let sigterm_at = std::time::Instant::now();
    scheduler.terminate().await;
    assert!(idle.next_response().await.is_none(), "an idle edge connection closes");
    let mut late = scheduler.client().await;
    assert_eq!(late.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await.status(), 503);
    let mut late = scheduler.client().await;
    late.send_request("once", 51, 9000).await;
    let second = server.next_request().await.accept();
    for (id, client) in [(id, &mut client), (second, &mut late)] {
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
        let answer = client.next_response().await.expect("an answer");
        assert_eq!((answer.status(), answer.headers["connection"].as_str()), (200, "close"));
    }
    // What cannot end before this node does is rejected at once, for a client to go elsewhere.
    let mut heavy = scheduler.client().await;
    heavy.send(&request_text("once", 53, 9000).replace("X-Cost: 1000", "X-Cost: 8000000")).await;
    let answer = heavy.next_response().await.expect("an answer");
    assert_eq!((answer.status(), answer.headers["retry-after"].as_str()), (503, "0"));
    assert!(server.is_idle(), "it was not sent on");
    // What does not end in time is answered all the same.
    let mut last = scheduler.client().await;
    last.send_request("once", 52, 9000).await;
    server.next_request().await.accept();
    assert_eq!(last.next_response().await.expect("an answer").status(), 500);
    assert!(scheduler.child.wait().await.expect("it ends").success());
    // Of a longest deadline over 3 s no more counts for the kill.
    assert!(sigterm_at.elapsed().as_millis() < 3_700, "{:?}", sigterm_at.elapsed());
}

#[tokio::test]
async fn bad_requests_and_callbacks_get_their_status_and_change_nothing() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
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
    assert!(server.is_idle(), "nothing of this was passed on");
    let mut client = scheduler.client().await;
    client.send(&good).await;
    let id = server.next_request().await.accept();
    // An id that is in use is not taken twice.
    assert_eq!(scheduler.client().await.exchange(&good).await.status(), 400);
    scheduler.call_back(&id, "r0", r#""state":"done","result":"","load":{"x0":"much"}"#).await;
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
}

// Guards against SIGHUP, which ends a process that does not heed it: the new discovery is followed
// at once whatever its revisions, the old watch ends, and what cannot be used changes nothing.
#[tokio::test]
async fn sighup_follows_the_new_discovery_and_keeps_serving() {
    let (mut one, mut two, mut other) =
        (FakeServer::start().await, FakeServer::start().await, FakeServer::start().await);
    let mut scheduler = Scheduler::start(&[one.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 90, 9000).await;
    let taken = one.next_request().await.accept();
    let old_watch = scheduler.discovery.next_request().await;
    let moved = config(scheduler.address, other.address, &endpoint_list(5, true, &[]));
    for bad in ["", &moved.replace("pure", "perhaps")] {
        let lines = scheduler.reload(bad).await;
        assert!(lines.len() == 1 && lines[0].contains("the old configuration stays"), "{lines:?}");
    }
    let elsewhere =
        moved.replace(&format!("\"listen\":\"{}\"", scheduler.address), "\"listen\":\"127.0.0.1:1\"");
    assert_ne!(moved, elsewhere);
    let lines = scheduler.reload(&elsewhere).await;
    assert!(lines.len() == 2 && lines[0].contains(r#"only with a restart","parts":"listen""#), "{lines:?}");
    let whole = other.next_request().await;
    assert_eq!(whole.message.first_line, "GET /api/targets HTTP/1.1");
    old_watch.wait_until_closed().await;
    whole.respond("200 OK", "", &endpoint_list(2, true, &[endpoint("r1", two.address, "SERVING")]));
    assert!(other.next_request().await.message.first_line.contains("from=2"));
    // The request taken before ends, and the next one goes where the new discovery says.
    scheduler.call_back(&taken, "r0", DONE).await;
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    client.send_request("once", 91, 9000).await;
    let id = two.next_request().await.accept();
    // Signals one after the other, and back to the first address.
    let back = config(scheduler.address, scheduler.discovery.address, &endpoint_list(5, true, &[]));
    for content in [&moved, &back, &back] {
        scheduler.reload(content).await;
    }
    assert_eq!(scheduler.discovery.next_request().await.message.first_line, "GET /api/targets HTTP/1.1");
    scheduler.terminate().await;
    scheduler.signal("HUP").await;
    scheduler.call_back(&id, "r1", DONE).await;
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    assert!(scheduler.child.wait().await.expect("it ends").success());
    assert!(one.is_idle());
}

// The file with the cached list, cut anywhere by a writer that pauses: it is no configuration, and the rest of it
// needs no further SIGHUP.
#[tokio::test]
async fn a_half_written_file_is_refused_and_read_again_when_it_is_whole() {
    let (one, mut other) = (FakeServer::start().await, FakeServer::start().await);
    let mut scheduler = Scheduler::start(&[one.address]).await;
    let known = endpoint_list(5, true, &[endpoint("r0", one.address, "SERVING")]);
    let whole = config(scheduler.address, other.address, &known);
    let cuts = [0, 1, whole.len() / 3, whole.find("SERVING").expect("a list") + 3, whole.len() - 1];
    for cut in cuts {
        let outcome = scheduler.reload(&whole[..cut]).await.pop().expect("a line");
        assert!(outcome.contains("the old configuration stays"), "{cut}: {outcome}");
    }
    std::fs::write(&scheduler.path, &whole).expect("a configuration");
    let outcome = scheduler.lines_until_configuration().await.pop().expect("a line");
    assert!(outcome.contains("configuration reloaded"), "{outcome}");
    assert_eq!(other.next_request().await.message.first_line, "GET /api/targets HTTP/1.1");
    // A SIGHUP after a failure ends its follow-up: the file is read once.
    scheduler.reload(&whole[..1]).await;
    let outcome = scheduler.reload(&whole).await.pop().expect("a line");
    assert!(outcome.contains("configuration reloaded"), "{outcome}");
    let follow_up_time = std::time::Duration::from_millis(800);
    let next_outcome = tokio::time::timeout(follow_up_time, scheduler.lines_until_configuration()).await;
    assert!(next_outcome.is_err(), "{next_outcome:?}");
}

// Guards against a reset over unread data, which takes the error from a sender that reads late.
#[tokio::test]
async fn a_body_that_is_too_large_is_refused_with_a_readable_response() {
    let scheduler = Scheduler::start(&[]).await;
    let size = 8 << 20;
    let head = request_text("safe", 120, 9000).replace("Content-Length: 2\r\n\r\nhi", "");
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n{size:x}\r\n");
    for head in [format!("{head}Content-Length: {size}\r\n\r\n"), chunked] {
        let mut client = scheduler.client().await;
        client.send(&(head + &"x".repeat(size))).await;
        let answer = client.next_response().await.expect("an answer");
        assert_eq!((answer.status(), answer.headers["connection"].as_str()), (413, "close"));
        assert!(client.next_response().await.is_none(), "it is closed");
    }
}

// Guards against a body that hides another request, and against ids that come again.
#[tokio::test]
async fn an_ambiguous_request_is_not_forwarded() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
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
        assert!(client.next_response().await.is_none(), "it is closed: {text}");
    }
    assert!(server.is_idle(), "nothing of this was passed on");
    // Chunks alone are fine, also on a connection that has carried a request.
    let mut client = scheduler.client().await;
    for text in [good.clone(), good.replace("0082", "0083")] {
        client.send(&text.replace("Content-Length: 2\r\n\r\nhi", &format!("{both}\r\n{chunked}"))).await;
        let asked = server.next_request().await;
        assert_eq!(
            (asked.message.body.as_str(), asked.message.headers["content-length"].as_str()),
            ("hi", "2")
        );
        let id = asked.accept();
        scheduler.call_back(&id, "r0", DONE).await;
        assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    }
    // An id that has had its answer does not run again.
    assert_eq!(client.exchange(&good).await.status(), 400);
    assert!(server.is_idle());
}

#[test]
fn a_bad_configuration_is_one_clear_line_and_a_failing_exit_code() {
    let program = || std::process::Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"));
    let path = std::env::temp_dir().join(format!("copperspread-bad-{}.json", std::process::id()));
    let here = "127.0.0.1:1".parse().expect("an address");
    let good = config(here, here, &endpoint_list(1, true, &[]));
    for (from, to) in [("\"listen\":\"127", "\"listen\":\"x"), ("pure", "perhaps"), ("}", ""), ("9", "-")] {
        std::fs::write(&path, good.replace(from, to)).expect("a file");
        let output = program().env("EDGE_CONFIG", &path).output().expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && said.lines().count() == 1, "{from}: {said}");
    }
    let _ = std::fs::remove_file(&path);
    let output = program().env_remove("EDGE_CONFIG").output().expect("it runs");
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
    let watch = scheduler.discovery.next_request().await;
    watch.respond("200 OK", "", &endpoint_list(6, true, &members));
    // It was read to the end: the next watch goes on from it.
    let next = scheduler.discovery.next_request().await;
    assert!(next.message.first_line.contains("from=6"), "{}", next.message.first_line);
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut new, 1, r#""state":"done","result":"paid""#).await;
}
