//! System calls that fail, or do less than was asked, as Linux documents them: on the sockets of clients, of workers,
//! of discovery and of the cluster, in the real program.
mod sockets;
#[path = "sockets/system_call_faults.rs"]
mod system_call_faults;

use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use sockets::*;
use system_call_faults::{
    BROKEN_CONNECTION_ERRORS, CONNECT_ERRORS, CONNECTION_ERRORS, SHORTAGES, start_with_faults,
};

const DONE: &str = r#""state":"done","result":"paid""#;
/// Programs that one test runs side by side.
const PROGRAMS: usize = 4;

/// Ends the program; returns what it had logged.
async fn log_to_the_end(scheduler: &mut Scheduler) -> Vec<String> {
    scheduler.terminate().await;
    let mut lines = Vec::new();
    while let Some(line) = scheduler.try_next_line().await {
        lines.push(line);
    }
    assert!(within("the end", scheduler.child.wait()).await.expect("it ends").success(), "{lines:?}");
    lines
}

#[tokio::test]
async fn an_error_of_one_connection_delays_no_other() {
    stream::iter(CONNECTION_ERRORS).for_each_concurrent(PROGRAMS, accept_after_errors_of_connections).await;
}

async fn accept_after_errors_of_connections(errno: &str) {
    let mut worker = FakeServer::start().await;
    let statement = format!("fail accept4 client {errno} calls 1..6");
    let (mut scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
    assert_eq!(faults.count(&format!("accept4 client {errno}")), 6);
    let log = log_to_the_end(&mut scheduler).await;
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

// Guards against a loop that an error which stays keeps busy, and against one that it ends or that keeps the rest of
// the program waiting.
#[tokio::test]
async fn accept_errors_that_stay_leave_the_program_idle_and_its_connections_served() {
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
        // Eight at once, and then one wait of 20 ms.
        assert!(
            failed as f64 <= 9.0 * (elapsed.as_secs_f64() / 0.02 + 1.0),
            "{errno}: {failed} in {elapsed:?}"
        );
        assert_eq!(open.exchange("GET /-/ready HTTP/1.1\r\nHost: s\r\n\r\n").await.status(), 200, "{errno}");
        log_to_the_end(&mut scheduler).await;
    }
}

/// The calls that a connection that does not come up may fail at.
const CONNECT_CALLS: [&str; 2] = ["connect", "connect-completion"];

// Guards against a request that is taken for one that may have run, and against one that nobody tries again.
#[tokio::test]
async fn a_request_whose_connection_does_not_come_up_runs_once_on_another_worker() {
    for (errno, call) in CONNECT_ERRORS.iter().flat_map(|errno| CONNECT_CALLS.map(|call| (errno, call))) {
        let (mut one, mut two) = (FakeServer::start().await, FakeServer::start().await);
        let statement = format!("fail {call} worker {errno} calls 1");
        let (scheduler, faults) = start_with_faults(&statement, &[one.address, two.address]).await;
        let mut client = scheduler.client().await;
        client.send_request("once", 1, 9000).await;
        let (request, name) = tokio::select! {
            request = one.next_request() => (request, "r0"),
            request = two.next_request() => (request, "r1"),
        };
        assert_eq!(faults.injected(), [format!("{call} worker {errno}")], "before the request was sent");
        assert_eq!(scheduler.call_back(&request.accept(), name, DONE).await, 204);
        assert_eq!(client.next_response().await.expect("an answer").status(), 200, "{call} {errno}");
        assert!(one.is_idle() && two.is_idle(), "{call} {errno}: it ran once");
    }
}

// Guards against attempts in a busy loop, and a promise that does not hold: nothing of the request was ever written.
#[tokio::test]
async fn a_request_that_no_worker_can_be_reached_for_is_refused_after_few_attempts() {
    for (errno, call) in
        [("EADDRNOTAVAIL", "connect"), ("ETIMEDOUT", "connect-completion"), ("EMFILE", "socket")]
    {
        let mut worker = FakeServer::start().await;
        let (kind, target) = if call == "socket" { ("any", "any") } else { ("worker", "worker") };
        // The program's first socket is its listener, the second goes to discovery.
        let first = if call == "socket" { 3 } else { 1 };
        let statement = format!("fail {call} {kind} {errno} calls {first}..");
        let (mut scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
        // The watch stands.
        let _watch = scheduler.discovery.next_request().await;
        let mut client = scheduler.client().await;
        client.send_request("once", 1, 2000).await;
        assert_eq!(client.next_response().await.expect("an answer").status(), 503, "{call} {errno}");
        let attempts = faults.count(&format!("{call} {target} {errno}"));
        assert!((1..=5).contains(&attempts), "{call} {errno}: {attempts} attempts");
        assert!(worker.is_idle());
        log_to_the_end(&mut scheduler).await;
    }
}

// Guards against a discovery that is given up, or asked without a pause.
#[tokio::test]
async fn discovery_is_asked_again_after_each_error_and_not_in_a_busy_loop() {
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
        // A call whose answer is not read is answered all the same.
        while faults.injected().len() < 4 {
            tokio::select! {
                request = scheduler.discovery.next_request() => request.respond("200 OK", "", &list),
                () = tokio::time::sleep(Duration::from_millis(5)) => {}
            }
        }
        // The waits are 0.1, 0.2, 0.2 and 0.2 s.
        assert!(since.elapsed() > Duration::from_millis(450), "{call} {errno}: {:?}", since.elapsed());
        scheduler.discovery.next_request().await.respond("200 OK", "", &list);
        let mut client = scheduler.client().await;
        scheduler.discovery.next_request().await;
        scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
    }
}

// Guards against what is taken for the whole though it is a part, on all connections at once.
#[tokio::test]
async fn transfers_of_single_bytes_and_interrupted_waits_change_nothing() {
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
        assert!(request.message.body == body, "the body is whole");
        let result = format!(r#""state":"done","result":"{body}""#);
        assert_eq!(scheduler.call_back(&request.accept(), "r0", &result).await, 204);
        let response = client.next_response().await.expect("an answer");
        assert!(response.status() == 200 && response.body == body, "the answer is whole");
    }
    assert!(worker.is_idle(), "each ran once");
    for kind in ["client", "worker", "discovery"] {
        assert!(faults.count(&format!("recv {kind} short 7")) > 5, "{kind}");
        assert!(faults.count(&format!("send {kind} short 7")) > 5, "{kind}");
    }
    assert!(faults.count("epoll_wait any EINTR") > 5);
    log_to_the_end(&mut scheduler).await;
}

// Guards against a second run: a request that was written whole may have run, whatever its connection's end shows.
#[tokio::test]
async fn a_request_whose_connection_broke_under_it_is_repeated_only_where_its_class_allows() {
    for (errno, class) in
        BROKEN_CONNECTION_ERRORS.iter().flat_map(|errno| ["once", "safe"].map(|class| (errno, class)))
    {
        let (mut one, mut two) = (FakeServer::start().await, FakeServer::start().await);
        let statement = format!("fail recv worker {errno} calls 1");
        let (scheduler, faults) = start_with_faults(&statement, &[one.address, two.address]).await;
        let mut client = scheduler.client().await;
        client.send_request(class, 1, 9000).await;
        let request = tokio::select! {
            request = one.next_request() => request,
            request = two.next_request() => request,
        };
        // The answer is lost on its way: the error comes in its place.
        let id = request.accept();
        faults.wait_for(&format!("recv worker {errno}"), 1).await;
        if class == "safe" {
            let (request, name) = tokio::select! {
                request = one.next_request() => (request, "r0"),
                request = two.next_request() => (request, "r1"),
            };
            assert_eq!(request.accept(), id);
            assert_eq!(scheduler.call_back(&id, name, DONE).await, 204);
        }
        let status = if class == "safe" { 200 } else { 500 };
        assert_eq!(client.next_response().await.expect("an answer").status(), status, "{class} {errno}");
        assert!(one.is_idle() && two.is_idle(), "{class} {errno}");
    }
}

// Guards against a connection that is given the rest of a request that broke off, and a request that is never
// answered.
#[tokio::test]
async fn a_request_whose_connection_broke_in_the_middle_of_it_is_answered() {
    for errno in BROKEN_CONNECTION_ERRORS {
        let mut worker = FakeServer::start().await;
        let statements = format!("short send worker 30 calls 1\nfail send worker {errno} calls 2");
        let (scheduler, faults) = start_with_faults(&statements, &[worker.address]).await;
        let mut client = scheduler.client().await;
        client.send_request("once", 1, 9000).await;
        let status = client.next_response().await.expect("an answer").status();
        // The protocol would let it be refused too: its last byte was never written.
        assert!(matches!(status, 500 | 503), "{errno}: {status}");
        assert_eq!(faults.count(&format!("send worker {errno}")), 1);
        assert!(worker.is_idle(), "{errno}: it was never whole");
        scheduler.serve_request(&mut client, &mut worker, 2, DONE).await;
    }
}

// Guards against work for a client that has gone without a close, and against a loop over its connection.
#[tokio::test]
async fn a_client_whose_connection_broke_is_gone() {
    for (call, errno) in
        BROKEN_CONNECTION_ERRORS.iter().flat_map(|errno| ["recv", "send"].map(|call| (call, errno)))
    {
        let mut worker = FakeServer::start().await;
        // The second that is read is the end of the connection, which shows as an error.
        let number = if call == "recv" { 2 } else { 1 };
        let statement = format!("fail {call} client {errno} calls {number}");
        let (mut scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
        let mut gone = scheduler.client().await;
        gone.send_request("once", 1, 9000).await;
        let request = worker.next_request().await;
        if call == "recv" {
            drop(gone);
            request.wait_until_closed().await;
        } else {
            // The callback's own answer is the first that is sent.
            let id = request.accept();
            let text = format!(r#"{{"id":"{id}","from":"r0",{DONE}}}"#);
            let length = text.len();
            let text =
                format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{text}");
            let mut worker_connection = scheduler.client().await;
            worker_connection.send(&text).await;
            let responses = (worker_connection.next_response().await, gone.next_response().await);
            let answered = [responses.0.is_some(), responses.1.is_some()];
            assert_eq!(answered.iter().filter(|answered| **answered).count(), 1, "one of them broke");
        }
        assert_eq!(faults.count(&format!("{call} client {errno}")), 1);
        let mut client = scheduler.client().await;
        scheduler.serve_request(&mut client, &mut worker, 2, DONE).await;
        log_to_the_end(&mut scheduler).await;
    }
}

// Guards against a second run of a request that was written to a connection which had broken while it rested, and
// against a promise that it never ran.
#[tokio::test]
async fn a_request_on_a_kept_connection_that_has_broken_is_not_repeated_if_it_may_run_but_once() {
    for (call, errno) in
        BROKEN_CONNECTION_ERRORS.iter().flat_map(|errno| ["recv", "send"].map(|call| (call, errno)))
    {
        let mut worker = FakeServer::start().await;
        // The first on each side is the first request's.
        let statement = format!("fail {call} worker {errno} calls 2");
        let (scheduler, faults) = start_with_faults(&statement, &[worker.address]).await;
        let mut client = scheduler.client().await;
        scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
        client.send_request("once", 2, 9000).await;
        let answer = tokio::select! {
            // Its answer does not come through.
            request = worker.next_request() => {
                assert_eq!(call, "recv", "{errno}");
                request.accept();
                client.next_response().await
            }
            answer = client.next_response() => answer,
        };
        assert_eq!(answer.expect("an answer").status(), 500, "{call} {errno}");
        assert_eq!(faults.injected(), [format!("{call} worker {errno}")]);
        assert!(worker.is_idle(), "{call} {errno}");
        scheduler.serve_request(&mut client, &mut worker, 3, DONE).await;
    }
}
