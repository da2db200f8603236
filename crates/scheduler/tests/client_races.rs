//! Races between the scheduler and clients that disconnect, pipeline or stall, and between requests and the
//! scheduler's shutdown. Events on sockets force each race in the real program.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const DONE: &str = r#""state":"done","result":"ok""#;
const STARTED: &str = r#""state":"started""#;
/// The longest time from a client's disconnect to the cancellation of its attempts. It is well under the
/// requests' deadline, at which attempts are cancelled in any case.
const MAX_CANCELLATION_TIME: Duration = Duration::from_secs(3);

/// A worker whose accept queue is full. A further connection is established only after queued ones have been
/// accepted, about a second after its first SYN.
struct FullListener {
    listener: TcpListener,
    queue: Vec<TcpStream>,
}

impl FullListener {
    async fn new() -> FullListener {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(std::net::SocketAddr::from(([127, 0, 0, 1], 0))).expect("a free port");
        let listener = socket.listen(1).expect("a listening socket");
        let address = listener.local_addr().expect("a local address");
        let mut queue = Vec::new();
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(address)).await
        {
            queue.push(stream.expect("a connection"));
        }
        FullListener { listener, queue }
    }

    fn address(&self) -> std::net::SocketAddr {
        self.listener.local_addr().expect("a local address")
    }

    /// Accepts the connections that fill the queue.
    async fn drain_queue(&mut self) {
        for _ in 0..self.queue.len() {
            within("a connection", self.listener.accept()).await.expect("a connection");
        }
    }

    /// Skips the connections that fill the queue, and returns the next one once its peer has sent a byte or
    /// closed it. The number is 1 for a byte, and 0 for a close or a reset.
    async fn next_connection(&mut self) -> (TcpStream, usize) {
        loop {
            let (stream, from) = within("a connection", self.listener.accept()).await.expect("a connection");
            if self.queue.iter().any(|queued| queued.local_addr().ok() == Some(from)) {
                continue;
            }
            let mut byte = [0; 1];
            let count =
                within("a byte or the end of the connection", stream.peek(&mut byte)).await.unwrap_or(0);
            return (stream, count);
        }
    }
}

// ---- Clients that disconnect ------------------------------------------------------------------

// Guards against pipelined bytes that keep the HTTP library from seeing the end of the stream.
#[tokio::test]
async fn a_client_that_pipelines_more_and_disconnects_has_its_attempt_cancelled() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let pipelined =
        ["x".to_owned(), request_text("safe", 190, 9000), "x".repeat(20_000), "x".repeat(100_000)];
    for (number, more) in pipelined.into_iter().enumerate() {
        let mut client = scheduler.client().await;
        client.send(&(request_text("safe", 100 + number as u64, 9000) + &more)).await;
        let id = worker.next_request().await.accept();
        // The callback tells the scheduler that the worker has accepted the request.
        assert_eq!(scheduler.call_back(&id, "r0", STARTED).await, 204);
        let disconnected_at = Instant::now();
        drop(client);
        let cancellation = worker.next_request().await;
        assert!(
            disconnected_at.elapsed() < MAX_CANCELLATION_TIME,
            "{} pipelined bytes: {:?}",
            more.len(),
            disconnected_at.elapsed()
        );
        assert!(cancellation.message.first_line.starts_with(&format!("DELETE /jobs/{id}")));
        cancellation.respond("200 OK", "", "");
    }
    assert!(worker.is_idle(), "pipelined bytes are not dispatched");
}

// The client disconnects before the worker's 202: the dispatch ends, and no other worker gets the request.
#[tokio::test]
async fn a_client_that_disconnects_during_the_dispatch_starts_no_further_attempt() {
    let (mut worker_0, mut worker_1) = (FakeServer::start().await, FakeServer::start().await);
    let scheduler = Scheduler::start(&[worker_0.address, worker_1.address]).await;
    let mut number = 200;
    for class in ["safe", "keyed", "once"] {
        for more in ["", "x"] {
            number += 1;
            let mut client = scheduler.client().await;
            client.send(&(request_text(class, number, 9000) + more)).await;
            let received = tokio::select! {
                received = worker_0.next_request() => received,
                received = worker_1.next_request() => received,
            };
            let disconnected_at = Instant::now();
            drop(client);
            received.wait_until_closed().await;
            assert!(
                disconnected_at.elapsed() < MAX_CANCELLATION_TIME,
                "{class} {more:?}: {:?}",
                disconnected_at.elapsed()
            );
        }
    }
    // This request is sent last, so any attempt of the requests before it would arrive first.
    let mut client = scheduler.client().await;
    client.send_request("once", 299, 9000).await;
    let received = tokio::select! {
        received = worker_0.next_request() => received,
        received = worker_1.next_request() => received,
    };
    assert_eq!(received.message.headers["x-request-id"], format!("{:016x}", 299));
    assert!(worker_0.is_idle() && worker_1.is_idle());
}

// The clients send and disconnect while the scheduler is stopped by SIGSTOP, so that on SIGCONT it finds the
// request, the bytes after it and the end of the connection at once.
#[tokio::test]
async fn a_request_that_arrives_together_with_its_clients_disconnect_is_not_dispatched() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        clients.push(scheduler.client().await);
    }
    scheduler.signal("STOP").await;
    for (number, mut client) in clients.into_iter().enumerate() {
        let first = 1_000 + 100 * number as u64;
        // The first client sends one request, the last one 77, about 11 KB.
        let requests: String =
            (0..=(number as u64 * 4)).map(|next| request_text("safe", first + next, 9000)).collect();
        client.send(&(requests + "x")).await;
    }
    scheduler.signal("CONT").await;
    let mut client = scheduler.client().await;
    client.send_request("once", 999, 9000).await;
    let id = worker.next_request().await.accept();
    assert_eq!(id, format!("{:016x}", 999), "requests of disconnected clients are not dispatched");
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a response").status(), 200);
    assert!(worker.is_idle());
}

// The worker's accept queue is full until after the client has disconnected. If cancellations are allowed,
// the attempt does not connect again; otherwise its connection is closed with nothing written.
#[tokio::test]
async fn a_worker_connection_established_after_the_client_disconnected_carries_nothing() {
    for may_cancel in [true, false] {
        let mut worker = FullListener::new().await;
        let scheduler = Scheduler::start_with(&[worker.address()], |config| {
            let config = config.replace("\"connect_timeout_s\":0.25", "\"connect_timeout_s\":5");
            config.replace("\"may_cancel\":true", &format!("\"may_cancel\":{may_cancel}"))
        })
        .await;
        let mut client = scheduler.client().await;
        client.send_request("safe", 1, 9000).await;
        assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
        drop(client);
        assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
        if may_cancel {
            // The cancelled attempt does not connect again.
            worker.drain_queue().await;
            let mut other = scheduler.client().await;
            other.send_request("safe", 2, 9000).await;
            let (mut stream, count) = worker.next_connection().await;
            assert_eq!(count, 1);
            let mut head = [0; 4096];
            let count = within("a request", stream.read(&mut head)).await.expect("a request");
            assert!(String::from_utf8_lossy(&head[..count]).contains(&format!("{:016x}", 2)));
        } else {
            let (_stream, count) = worker.next_connection().await;
            assert_eq!(count, 0, "the connection is closed with nothing written");
        }
    }
}

#[tokio::test]
async fn a_burst_of_disconnecting_clients_has_every_attempt_cancelled() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut clients = Vec::new();
    let mut accepted = std::collections::BTreeSet::new();
    for number in 0..60 {
        let mut client = scheduler.client().await;
        client
            .send(&(request_text("safe", 400 + number, 9000) + if number % 2 == 0 { "" } else { "more" }))
            .await;
        let id = worker.next_request().await.accept();
        assert_eq!(scheduler.call_back(&id, "r0", STARTED).await, 204);
        accepted.insert(id);
        clients.push(client);
    }
    let disconnected_at = Instant::now();
    drop(clients);
    while !accepted.is_empty() {
        let cancellation = worker.next_request().await;
        let id = cancellation.message.first_line.split(['/', ' ']).nth(3).expect("an id").to_owned();
        assert!(accepted.remove(&id), "{:?}", cancellation.message.first_line);
        cancellation.respond("200 OK", "", "");
    }
    assert!(disconnected_at.elapsed() < MAX_CANCELLATION_TIME, "{:?}", disconnected_at.elapsed());
    assert!(worker.is_idle());
}

// Guards against a read-ahead limit that rejects or loses a well-behaved client's next request.
#[tokio::test]
async fn a_pipelined_request_waits_for_the_first_and_is_answered() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    let large = request_text("safe", 502, 9000)
        .replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 6000\r\n\r\n");
    client.send(&(request_text("safe", 501, 9000) + &large + &"y".repeat(6000))).await;
    for number in [501, 502] {
        let id = worker.next_request().await.accept();
        assert_eq!(id, format!("{number:016x}"));
        assert!(worker.is_idle(), "the second request waits for the first response");
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
        assert_eq!(client.next_response().await.expect("a response").status(), 200);
    }
}

// More bytes follow the first request than the read-ahead buffer holds: the first is answered, and the rest
// is not parsed as requests.
#[tokio::test]
async fn a_pipelined_flood_closes_its_connection_with_the_response() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    let flood: String = (0..400).map(|next| request_text("safe", 600 + next, 9000)).collect();
    client.send(&(request_text("safe", 599, 9000) + &flood)).await;
    let id = worker.next_request().await.accept();
    // Once a later client has its response, the scheduler has read the flood.
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    client.expect_served_and_closed().await;
    assert!(worker.is_idle());
}

// A client that sends requests without reading the responses blocks its own connection and nothing else.
#[tokio::test]
async fn a_client_that_never_reads_delays_neither_others_nor_the_shutdown() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("the socket option is set");
    let mut stalled_client = socket.connect(scheduler.address).await.expect("a listening socket");
    let many = READINESS_REQUEST.repeat(1_000);
    let mut sent = 0;
    // Writes until a write blocks for a second: the scheduler stops reading while its responses are not read.
    while let Ok(written) =
        tokio::time::timeout(MAX_CANCELLATION_TIME / 3, stalled_client.write_all(many.as_bytes())).await
    {
        written.expect("the connection is open");
        sent += 1;
        assert!(sent < 2_000, "the scheduler reads without limit");
    }
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut worker, 1, DONE).await;
    let since = Instant::now();
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
}

// ---- Graceful shutdown ------------------------------------------------------------------------

// Guards against a shutdown that closes connections with a partially received request.
#[tokio::test]
async fn a_partially_received_request_at_sigterm_is_answered() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let split_points = [1, 60, request_text("once", 701, 9000).len() - 1];
    let mut clients = Vec::new();
    for (number, cut) in split_points.into_iter().enumerate() {
        for is_reused in [false, true] {
            let mut client = scheduler.client().await;
            if is_reused {
                assert_eq!(client.exchange(READINESS_REQUEST).await.status(), 200);
            }
            let id = 701 + 2 * number as u64 + u64::from(is_reused);
            let text = request_text("once", id, 9000);
            client.send(&text[..cut]).await;
            clients.push((client, id, text[cut..].to_owned()));
        }
    }
    // One more client is connected and has sent nothing.
    clients.push((scheduler.client().await, 720, request_text("once", 720, 9000)));
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    scheduler.terminate().await;
    scheduler.wait_for_log("shutting down").await;
    for (client, id, rest) in &mut clients {
        client.send(rest).await;
        let received = worker.next_request().await.accept();
        assert_eq!(received, format!("{id:016x}"));
        assert_eq!(scheduler.call_back(&received, "r0", DONE).await, 204);
        client.expect_served_and_closed().await;
    }
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
}

// A request on an idle connection and SIGTERM arrive while the scheduler is stopped by SIGSTOP, so that on
// SIGCONT it finds both at once.
#[tokio::test]
async fn a_request_on_an_idle_connection_at_the_moment_of_sigterm_is_answered() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let mut clients = Vec::new();
    for _ in 0..10 {
        let mut client = scheduler.client().await;
        assert_eq!(client.exchange(READINESS_REQUEST).await.status(), 200);
        clients.push(client);
    }
    scheduler.signal("STOP").await;
    for (number, client) in clients.iter_mut().enumerate() {
        client.send_request("once", 800 + number as u64, 9000).await;
    }
    scheduler.signals(&["TERM", "CONT"]).await;
    for _ in 0..clients.len() {
        let id = worker.next_request().await.accept();
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    }
    for client in &mut clients {
        client.expect_served_and_closed().await;
    }
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
}

#[tokio::test]
async fn pipelined_requests_at_sigterm_are_not_dispatched_and_lose_no_response() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    let pipelined: String = (0..20).map(|next| request_text("once", 901 + next, 9000)).collect();
    client.send(&(request_text("once", 900, 9000) + &pipelined)).await;
    let id = worker.next_request().await.accept();
    scheduler.terminate().await;
    scheduler.wait_for_log("shutting down").await;
    // One more request arrives after SIGTERM.
    client.send_request("once", 990, 9000).await;
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    client.expect_served_and_closed().await;
    // The connection is closed: nothing reads what is sent on it now.
    client.send_request("once", 991, 9000).await;
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
    assert!(worker.is_idle());
}

#[tokio::test]
async fn signals_during_the_shutdown_neither_shorten_nor_abort_it() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = worker.next_request().await.accept();
    scheduler.signals(&["TERM", "TERM", "HUP", "TERM"]).await;
    scheduler.wait_for_log("shutting down").await;
    scheduler.signals(&["HUP", "TERM", "HUP"]).await;
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a response").status(), 200);
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
}

// A callback that arrives in two parts still ends its request. SIGTERM arrives between the parts of the first
// callback, and before those of the others.
#[tokio::test]
async fn a_partially_received_callback_at_sigterm_is_read_to_its_end() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    for cut in [1, 40, 90] {
        let number = 10 + cut as u64;
        let mut client = scheduler.client().await;
        client.send_request("once", number, 9000).await;
        let id = worker.next_request().await.accept();
        let body = format!(r#"{{"id":"{id}","from":"r0",{DONE}}}"#);
        let length = body.len();
        let text = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
        let mut callback_client = scheduler.client().await;
        callback_client.send(&text[..cut]).await;
        // This response shows that the scheduler has read the first part. It is 503 during the shutdown.
        assert_eq!(
            scheduler.client().await.exchange(READINESS_REQUEST).await.status(),
            if cut == 1 { 200 } else { 503 }
        );
        if cut == 1 {
            scheduler.terminate().await;
            scheduler.wait_for_log("shutting down").await;
        }
        callback_client.send(&text[cut..]).await;
        assert_eq!(callback_client.next_response().await.expect("a response").status(), 204);
        assert_eq!(client.next_response().await.expect("a response").status(), 200);
    }
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
}

// The scheduler closes its open connections before it exits. Guards against a request that arrives on such a
// connection during the exit, and is accepted and then lost.
#[tokio::test]
async fn open_connections_are_closed_before_the_program_exits() {
    let mut worker = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[worker.address]).await;
    let mut silent = scheduler.client().await;
    let mut partial = scheduler.client().await;
    partial.send("POST /onc").await;
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    scheduler.terminate().await;
    assert!(silent.closes_cleanly().await, "the connection ends without a reset");
    assert!(
        scheduler.child.try_wait().expect("the status of the process").is_none(),
        "the scheduler closes idle connections before it exits"
    );
    silent.send_request("once", 1, 9000).await;
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
    assert!(worker.is_idle(), "a request after the close is not dispatched");
}

// SIGTERM arrives while the connection to the worker is being established.
#[tokio::test]
async fn a_dispatch_that_is_connecting_at_sigterm_continues() {
    let mut worker = FullListener::new().await;
    let mut scheduler = Scheduler::start_with(&[worker.address()], |config| {
        config.replace("\"connect_timeout_s\":0.25", "\"connect_timeout_s\":2.5")
    })
    .await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    scheduler.terminate().await;
    scheduler.wait_for_log("shutting down").await;
    let (_connection, count) = worker.next_connection().await;
    assert_eq!(count, 1, "the request is dispatched");
    assert_eq!(scheduler.call_back(&format!("{:016x}", 1), "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a response").status(), 200);
    assert!(scheduler.child.wait().await.expect("the scheduler exits").success());
}
