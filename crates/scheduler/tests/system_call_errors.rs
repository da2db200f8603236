//! Tests of the real program with system calls that fail, or transfer less than requested, in the ways that
//! Linux documents: on the sockets of clients, workers and discovery.
mod sockets;
#[path = "sockets/system_call_faults.rs"]
mod system_call_faults;

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use sockets::*;
use system_call_faults::{
    BROKEN_CONNECTION_ERRORS, CONNECT_ERRORS, CONNECTION_ERRORS, SHORTAGES, start_with_faults,
};

/// The fields of a callback that reports a completed request.
const DONE: &str = r#""state":"done","result":"paid""#;
/// The number of scheduler processes that one test runs in parallel.
const PROGRAMS: usize = 4;

/// Shuts the program down; returns the log lines that were not read before.
async fn shut_down_and_read_log(scheduler: &mut Scheduler) -> Vec<String> {
    scheduler.terminate().await;
    let mut lines = Vec::new();
    while let Some(line) = scheduler.try_next_line().await {
        lines.push(line);
    }
    assert!(
        within("the exit", scheduler.child.wait()).await.expect("the process exits").success(),
        "{lines:?}"
    );
    lines
}

#[tokio::test]
async fn an_accept_error_of_one_connection_delays_no_other() {
    stream::iter(CONNECTION_ERRORS).for_each_concurrent(PROGRAMS, accept_after_connection_errors).await;
}

async fn accept_after_connection_errors(errno: &str) {
    let mut worker = FakeServer::start().await;
    let statement = format!("fail accept4 client {errno} calls 1..6");
    let (mut scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
    assert_eq!(faults.count(&format!("accept4 client {errno}")), 6);
    let log = shut_down_and_read_log(&mut scheduler).await;
    assert!(!log.iter().any(|line| line.contains("no connection taken")), "{errno}: {log:?}");
}

#[tokio::test]
async fn a_shortage_delays_new_connections_until_it_is_over() {
    for errno in SHORTAGES {
        let mut worker = FakeServer::start().await;
        let statement = format!("fail accept4 client {errno} calls 2..6");
        let (mut scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
        let mut client = scheduler.client().await;
        scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
        assert_eq!(faults.count(&format!("accept4 client {errno}")), 5);
        scheduler.wait_for_log("no connection taken").await;
    }
}

// Guards against a persistent accept error that causes a busy loop, ends the accept loop, or blocks the rest
// of the program.
#[tokio::test]
async fn persistent_accept_errors_cause_no_busy_loop_and_open_connections_stay_served() {
    for errno in ["EMFILE", "ECONNABORTED", "EINTR", "EOPNOTSUPP"] {
        let statement = format!("fail accept4 client {errno} calls 2..");
        let (mut scheduler, faults) = start_with_faults(&statement, &[]).await;
        let mut open = scheduler.client().await;
        assert_eq!(open.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await.status(), 200);
        let _waits = scheduler.client().await;
        let fault = format!("accept4 client {errno}");
        faults.wait_for(&fault, 1).await;
        let (since, before) = (Instant::now(), faults.count(&fault));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let (elapsed, failed) = (since.elapsed(), faults.count(&fault) - before);
        // A wait of 20 ms follows the ninth failure in a row.
        assert!(
            failed as f64 <= 9.0 * (elapsed.as_secs_f64() / 0.02 + 1.0),
            "{errno}: {failed} failed calls in {elapsed:?}"
        );
        assert_eq!(open.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await.status(), 200, "{errno}");
        shut_down_and_read_log(&mut scheduler).await;
    }
}

/// The calls at which establishing a connection may fail.
const CONNECT_CALLS: [&str; 2] = ["connect", "connect-completion"];

// Guards against a request that is failed as one that may have run, or not retried, if a connection to its
// worker cannot be established.
#[tokio::test]
async fn a_request_whose_connection_is_not_established_runs_once_on_another_worker() {
    for (errno, call) in CONNECT_ERRORS.iter().flat_map(|errno| CONNECT_CALLS.map(|call| (errno, call))) {
        let (mut worker_a, mut worker_b) = (FakeServer::start().await, FakeServer::start().await);
        let statement = format!("fail {call} worker {errno} calls 1");
        let (scheduler, faults) = start_with_faults(&statement, &[worker_a.address, worker_b.address]).await;
        let mut client = scheduler.client().await;
        client.send_request("once", 1, 9000).await;
        let (request, name) = tokio::select! {
            request = worker_a.next_request() => (request, "r0"),
            request = worker_b.next_request() => (request, "r1"),
        };
        assert_eq!(
            faults.injected(),
            [format!("{call} worker {errno}")],
            "the fault came before the request was sent"
        );
        assert_eq!(scheduler.call_back(&request.accept(), name, DONE).await, 204);
        assert_eq!(client.next_response().await.expect("a final response").status(), 200, "{call} {errno}");
        assert!(worker_a.is_idle() && worker_b.is_idle(), "{call} {errno}: the request ran once");
    }
}

// Guards against attempts in a busy loop, and against a failed response for a request of which nothing was
// written: it is rejected.
#[tokio::test]
async fn a_request_is_rejected_after_few_attempts_if_no_worker_can_be_reached() {
    for (errno, call) in
        [("EADDRNOTAVAIL", "connect"), ("ETIMEDOUT", "connect-completion"), ("EMFILE", "socket")]
    {
        let mut worker = FakeServer::start().await;
        let (kind, target) = if call == "socket" { ("any", "any") } else { ("worker", "worker") };
        // The program's first socket is its listener, the second one connects to discovery.
        let first = if call == "socket" { 3 } else { 1 };
        let statement = format!("fail {call} {kind} {errno} calls {first}..");
        let (mut scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
        // Waits for the first call to discovery, whose connection has its socket by then.
        let _first_call = scheduler.discovery.next_request().await;
        let mut client = scheduler.client().await;
        client.send_request("once", 1, 2000).await;
        assert_eq!(client.next_response().await.expect("a final response").status(), 503, "{call} {errno}");
        let attempts = faults.count(&format!("{call} {target} {errno}"));
        assert!((1..=5).contains(&attempts), "{call} {errno}: {attempts} attempts");
        assert!(worker.is_idle());
        shut_down_and_read_log(&mut scheduler).await;
    }
}

// Guards against a discovery that is no longer called after an error, or called without a pause.
#[tokio::test]
async fn discovery_is_called_again_after_each_error_without_a_busy_loop() {
    let calls = [
        "connect discovery",
        "connect-completion discovery",
        "recv discovery",
        "send discovery",
        "socket any",
    ];
    for (errno, call) in
        ["ETIMEDOUT", "EHOSTUNREACH", "ENOBUFS"].iter().flat_map(|errno| calls.map(|call| (errno, call)))
    {
        // The program's first socket is its listener.
        let (first, last) = if call == "socket any" { (2, 5) } else { (1, 4) };
        let statement = format!("fail {call} {errno} calls {first}..{last}");
        let mut worker = FakeServer::start().await;
        let since = Instant::now();
        let (mut scheduler, faults) = start_with_faults(&statement, &[]).await;
        let list = endpoint_list(9, true, &[endpoint("r0", worker.address, "SERVING")]);
        // Also responds to calls whose responses the program fails to read.
        while faults.injected().len() < 4 {
            tokio::select! {
                request = scheduler.discovery.next_request() => request.respond("200 OK", "", &list),
                () = tokio::time::sleep(Duration::from_millis(5)) => {}
            }
        }
        // The backoffs are 0.1, 0.2, 0.2 and 0.2 s; the first three, 0.5 s, lie before the fourth fault.
        assert!(since.elapsed() > Duration::from_millis(450), "{call} {errno}: {:?}", since.elapsed());
        scheduler.discovery.next_request().await.respond("200 OK", "", &list);
        let mut client = scheduler.client().await;
        scheduler.discovery.next_request().await;
        scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
    }
}

// Guards against a partial transfer that is taken for a complete one, on all connections at once.
#[tokio::test]
async fn short_transfers_and_interrupted_waits_change_nothing() {
    let every_transfer = ["recv", "send"].map(|call| {
        ["client", "worker", "discovery"].map(|kind| format!("short {call} {kind} 7 calls 1..\n")).concat()
    });
    let statements = every_transfer.concat() + "fail epoll_wait any EINTR every 2";
    let mut worker = FakeServer::start().await;
    let (mut scheduler, faults) = start_with_faults(&statements, &[]).await;
    let list = endpoint_list(9, true, &[endpoint("r0", worker.address, "SERVING")]);
    scheduler.discovery.next_request().await.respond("200 OK", "", &list);
    let mut client = scheduler.client().await;
    scheduler.discovery.next_request().await;
    let body = "x".repeat(5_000);
    for number in 1..4 {
        let text = request_text("once", number, 9000);
        client.send(&text.replace("Length: 2\r\n\r\nhi", &format!("Length: 5000\r\n\r\n{body}"))).await;
        let request = worker.next_request().await;
        assert_eq!(request.message.first_line, "POST /once/k?q=1 HTTP/1.1");
        assert!(request.message.body == body, "the body is complete");
        let result = format!(r#""state":"done","result":"{body}""#);
        assert_eq!(scheduler.call_back(&request.accept(), "r0", &result).await, 204);
        let response = client.next_response().await.expect("a final response");
        assert!(response.status() == 200 && response.body == body, "the response is complete");
    }
    assert!(worker.is_idle(), "each request ran once");
    for kind in ["client", "worker", "discovery"] {
        assert!(faults.count(&format!("recv {kind} short 7")) > 5, "{kind}");
        assert!(faults.count(&format!("send {kind} short 7")) > 5, "{kind}");
    }
    assert!(faults.count("epoll_wait any EINTR") > 5);
    shut_down_and_read_log(&mut scheduler).await;
}

// Guards against a second run: a completely written request may have run, whatever error ends its connection.
#[tokio::test]
async fn a_request_whose_connection_broke_during_its_attempt_is_retried_only_as_its_class_allows() {
    for (errno, class) in
        BROKEN_CONNECTION_ERRORS.iter().flat_map(|errno| ["once", "safe"].map(|class| (errno, class)))
    {
        let (mut worker_a, mut worker_b) = (FakeServer::start().await, FakeServer::start().await);
        let statement = format!("fail recv worker {errno} calls 1");
        let (scheduler, faults) = start_with_faults(&statement, &[worker_a.address, worker_b.address]).await;
        let mut client = scheduler.client().await;
        client.send_request(class, 1, 9000).await;
        let request = tokio::select! {
            request = worker_a.next_request() => request,
            request = worker_b.next_request() => request,
        };
        // The worker's response is lost: the read fails instead.
        let id = request.accept();
        faults.wait_for(&format!("recv worker {errno}"), 1).await;
        if class == "safe" {
            let (request, name) = tokio::select! {
                request = worker_a.next_request() => (request, "r0"),
                request = worker_b.next_request() => (request, "r1"),
            };
            assert_eq!(request.accept(), id);
            assert_eq!(scheduler.call_back(&id, name, DONE).await, 204);
        }
        let status = if class == "safe" { 200 } else { 500 };
        assert_eq!(
            client.next_response().await.expect("a final response").status(),
            status,
            "{class} {errno}"
        );
        assert!(worker_a.is_idle() && worker_b.is_idle(), "{class} {errno}");
    }
}

// Guards against a partly written request that is continued on another connection, or that never gets a final
// response.
#[tokio::test]
async fn a_request_whose_connection_broke_while_it_was_written_gets_a_final_response() {
    for errno in BROKEN_CONNECTION_ERRORS {
        let mut worker = FakeServer::start().await;
        let statements = format!("short send worker 30 calls 1\nfail send worker {errno} calls 2");
        let (scheduler, faults) = start_with_faults(&statements, &[worker.address]).await;
        let mut client = scheduler.client().await;
        client.send_request("once", 1, 9000).await;
        let status = client.next_response().await.expect("a final response").status();
        // The protocol also allows a rejection, since the last byte was never written.
        assert!(matches!(status, 500 | 503), "{errno}: {status}");
        assert_eq!(faults.count(&format!("send worker {errno}")), 1);
        assert!(worker.is_idle(), "{errno}: the worker received no complete request");
        scheduler.serve_request(&mut client, &mut worker, 2, DONE).await;
    }
}

// Guards against attempts that continue for a client whose connection broke without a close, and against a
// busy loop on its connection.
#[tokio::test]
async fn a_client_whose_connection_broke_counts_as_disconnected() {
    for (call, errno) in
        BROKEN_CONNECTION_ERRORS.iter().flat_map(|errno| ["recv", "send"].map(|call| (call, errno)))
    {
        let mut worker = FakeServer::start().await;
        // The second read would return the end of the connection; it fails instead.
        let number = if call == "recv" { 2 } else { 1 };
        let statement = format!("fail {call} client {errno} calls {number}");
        let (mut scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
        let mut broken_client = scheduler.client().await;
        broken_client.send_request("once", 1, 9000).await;
        let request = worker.next_request().await;
        if call == "recv" {
            drop(broken_client);
            request.wait_until_closed().await;
        } else {
            // The response to the callback is the first that the program sends.
            let id = request.accept();
            let text = format!(r#"{{"id":"{id}","from":"r0",{DONE}}}"#);
            let length = text.len();
            let text =
                format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{text}");
            let mut worker_connection = scheduler.client().await;
            worker_connection.send(&text).await;
            let responses = (worker_connection.next_response().await, broken_client.next_response().await);
            let answered = [responses.0.is_some(), responses.1.is_some()];
            assert_eq!(
                answered.iter().filter(|answered| **answered).count(),
                1,
                "exactly one of the two connections broke"
            );
        }
        assert_eq!(faults.count(&format!("{call} client {errno}")), 1);
        let mut client = scheduler.client().await;
        scheduler.serve_request(&mut client, &mut worker, 2, DONE).await;
        shut_down_and_read_log(&mut scheduler).await;
    }
}

// Guards against a second run of a request that was written to a reused connection which broke while it was
// idle, and against a final response that says that the request never ran.
#[tokio::test]
async fn a_non_idempotent_request_on_a_reused_connection_that_broke_is_not_retried() {
    for (call, errno) in
        BROKEN_CONNECTION_ERRORS.iter().flat_map(|errno| ["recv", "send"].map(|call| (call, errno)))
    {
        let mut worker = FakeServer::start().await;
        // The first `recv` and the first `send` belong to the first request.
        let statement = format!("fail {call} worker {errno} calls 2");
        let (scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
        let mut client = scheduler.client().await;
        scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
        client.send_request("once", 2, 9000).await;
        let final_response = tokio::select! {
            // The worker's response is lost.
            request = worker.next_request() => {
                assert_eq!(call, "recv", "{errno}");
                request.accept();
                client.next_response().await
            }
            final_response = client.next_response() => final_response,
        };
        assert_eq!(final_response.expect("a final response").status(), 500, "{call} {errno}");
        assert_eq!(faults.injected(), [format!("{call} worker {errno}")]);
        assert!(worker.is_idle(), "{call} {errno}");
        scheduler.serve_request(&mut client, &mut worker, 3, DONE).await;
    }
}
