//! Clients that go, close or send at the wrong instant, and an end that comes at one: each crossing is forced
//! by events, with the whole program on sockets.
mod sockets;

use std::time::{Duration, Instant};

use sockets::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

const DONE: &str = r#""state":"done","result":"ok""#;
const STARTED: &str = r#""state":"started""#;
/// Well under the requests' deadline, at which all is cancelled in any case.
const MAX_CANCELLATION_TIME: Duration = Duration::from_secs(3);

/// A listener whose queue is full: a further connection comes up only once the first have been accepted,
/// about a second after it was asked for.
struct FullListener {
    listener: TcpListener,
    queue: Vec<TcpStream>,
}

impl FullListener {
    async fn new() -> FullListener {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(std::net::SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        let listener = socket.listen(1).expect("it listens");
        let address = listener.local_addr().expect("an address");
        let mut queue = Vec::new();
        while let Ok(stream) =
            tokio::time::timeout(Duration::from_millis(200), TcpStream::connect(address)).await
        {
            queue.push(stream.expect("a connection"));
        }
        FullListener { listener, queue }
    }

    fn address(&self) -> std::net::SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Accepts what has filled the queue.
    async fn empty(&mut self) {
        for _ in 0..self.queue.len() {
            within("a connection", self.listener.accept()).await.expect("a connection");
        }
    }

    /// Accepts what waits; then the next connection that says something, or is closed by its other end.
    async fn next(&mut self) -> (TcpStream, usize) {
        loop {
            let (stream, from) = within("a connection", self.listener.accept()).await.expect("a connection");
            if self.queue.iter().any(|one| one.local_addr().ok() == Some(from)) {
                continue;
            }
            let mut byte = [0; 1];
            let count = within("a byte or an end", stream.peek(&mut byte)).await.unwrap_or(0);
            return (stream, count);
        }
    }
}

// ---- Clients that go --------------------------------------------------------------------------

// Guards against bytes behind a request that hide the end of the stream from the server library.
#[tokio::test]
async fn a_client_that_pipelines_more_and_disconnects_has_its_attempt_cancelled() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let behind = ["x".to_owned(), request_text("safe", 190, 9000), "x".repeat(20_000), "x".repeat(100_000)];
    for (number, more) in behind.into_iter().enumerate() {
        let mut client = scheduler.client().await;
        client.send(&(request_text("safe", 100 + number as u64, 9000) + &more)).await;
        let id = server.next_request().await.accept();
        // The scheduler knows that it was taken.
        assert_eq!(scheduler.call_back(&id, "r0", STARTED).await, 204);
        let disconnected_at = Instant::now();
        drop(client);
        let cancellation = server.next_request().await;
        assert!(
            disconnected_at.elapsed() < MAX_CANCELLATION_TIME,
            "{} bytes behind it: {:?}",
            more.len(),
            disconnected_at.elapsed()
        );
        assert!(cancellation.message.first_line.starts_with(&format!("DELETE /jobs/{id}")));
        cancellation.respond("200 OK", "", "");
    }
    assert!(server.is_idle(), "what came behind is not sent on");
}

// A client that goes before the 202: the dispatch ends, and no other worker gets the request.
#[tokio::test]
async fn a_client_that_disconnects_during_the_dispatch_starts_no_further_attempt() {
    let (mut one, mut two) = (FakeServer::start().await, FakeServer::start().await);
    let scheduler = Scheduler::start(&[one.address, two.address]).await;
    let mut number = 200;
    for class in ["safe", "keyed", "once"] {
        for more in ["", "x"] {
            number += 1;
            let mut client = scheduler.client().await;
            client.send(&(request_text(class, number, 9000) + more)).await;
            let asked =
                tokio::select! { asked = one.next_request() => asked, asked = two.next_request() => asked };
            let disconnected_at = Instant::now();
            drop(client);
            asked.wait_until_closed().await;
            assert!(
                disconnected_at.elapsed() < MAX_CANCELLATION_TIME,
                "{class} {more:?}: {:?}",
                disconnected_at.elapsed()
            );
        }
    }
    // Served after all of them: whatever they had begun would have come before.
    let mut client = scheduler.client().await;
    client.send_request("once", 299, 9000).await;
    let asked = tokio::select! { asked = one.next_request() => asked, asked = two.next_request() => asked };
    assert_eq!(asked.message.headers["x-request-id"], format!("{:016x}", 299));
    assert!(one.is_idle() && two.is_idle());
}

// All of it lies before the program when it looks again: the request, what follows it, and the end.
#[tokio::test]
async fn a_request_that_arrives_together_with_its_clients_disconnect_is_not_dispatched() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut clients = Vec::new();
    for _ in 0..20 {
        clients.push(scheduler.client().await);
    }
    scheduler.signal("STOP").await;
    for (number, mut client) in clients.into_iter().enumerate() {
        let first = 1_000 + 100 * number as u64;
        // From one request to some 16 KB of them.
        let jobs: String =
            (0..=(number as u64 * 4)).map(|next| request_text("safe", first + next, 9000)).collect();
        client.send(&(jobs + "x")).await;
    }
    scheduler.signal("CONT").await;
    let mut client = scheduler.client().await;
    client.send_request("once", 999, 9000).await;
    let id = server.next_request().await.accept();
    assert_eq!(id, format!("{:016x}", 999), "jobs of clients that had gone are not sent on");
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    assert!(server.is_idle());
}

// The connection to the worker comes up a second after the client went, also where the settings allow no
// attempt to be called off.
#[tokio::test]
async fn a_worker_connection_established_after_the_client_disconnected_carries_nothing() {
    for may_cancel in [true, false] {
        let mut server = FullListener::new().await;
        let scheduler = Scheduler::start_with(&[server.address()], |config| {
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
            // Called off, it connects no more.
            server.empty().await;
            let mut other = scheduler.client().await;
            other.send_request("safe", 2, 9000).await;
            let (mut stream, count) = server.next().await;
            assert_eq!(count, 1);
            let mut head = [0; 4096];
            let count = within("a job", stream.read(&mut head)).await.expect("a job");
            assert!(String::from_utf8_lossy(&head[..count]).contains(&format!("{:016x}", 2)));
        } else {
            let (_stream, count) = server.next().await;
            assert_eq!(count, 0, "it is closed with nothing written");
        }
    }
}

#[tokio::test]
async fn a_burst_of_disconnecting_clients_has_every_attempt_cancelled() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut clients = Vec::new();
    let mut accepted = std::collections::BTreeSet::new();
    for number in 0..60 {
        let mut client = scheduler.client().await;
        client
            .send(&(request_text("safe", 400 + number, 9000) + if number % 2 == 0 { "" } else { "more" }))
            .await;
        let id = server.next_request().await.accept();
        assert_eq!(scheduler.call_back(&id, "r0", STARTED).await, 204);
        accepted.insert(id);
        clients.push(client);
    }
    let disconnected_at = Instant::now();
    drop(clients);
    while !accepted.is_empty() {
        let cancellation = server.next_request().await;
        let id = cancellation.message.first_line.split(['/', ' ']).nth(3).expect("an id").to_owned();
        assert!(accepted.remove(&id), "{:?}", cancellation.message.first_line);
        cancellation.respond("200 OK", "", "");
    }
    assert!(disconnected_at.elapsed() < MAX_CANCELLATION_TIME, "{:?}", disconnected_at.elapsed());
    assert!(server.is_idle());
}

// Guards against a limit that counts an honest client's next request as too much, or loses it.
#[tokio::test]
async fn a_pipelined_request_waits_for_the_first_and_is_answered() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    let large = request_text("safe", 502, 9000)
        .replace("Content-Length: 2\r\n\r\nhi", "Content-Length: 6000\r\n\r\n");
    client.send(&(request_text("safe", 501, 9000) + &large + &"y".repeat(6000))).await;
    for number in [501, 502] {
        let id = server.next_request().await.accept();
        assert_eq!(id, format!("{number:016x}"));
        assert!(server.is_idle(), "one at a time");
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
        assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    }
}

// More than is kept came behind the first: it is answered, the rest is not read as requests.
#[tokio::test]
async fn a_pipelined_flood_closes_its_connection_with_the_response() {
    let mut server = FakeServer::start().await;
    let scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    let flood: String = (0..400).map(|next| request_text("safe", 600 + next, 9000)).collect();
    client.send(&(request_text("safe", 599, 9000) + &flood)).await;
    let id = server.next_request().await.accept();
    // Once another client was heard, the flood has been read.
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    client.expect_served_and_closed().await;
    assert!(server.is_idle());
}

// A client that asks and asks and never reads: its connection stands still, and nothing else does.
#[tokio::test]
async fn a_client_that_never_reads_delays_neither_others_nor_the_shutdown() {
    let mut server = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[server.address]).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(4096).expect("an option");
    let mut stalled_client = socket.connect(scheduler.address).await.expect("it listens");
    let many = READINESS_REQUEST.repeat(1_000);
    let mut sent = 0;
    // Until nothing more goes through: the scheduler waits for its reader, and reads no more.
    while let Ok(written) =
        tokio::time::timeout(MAX_CANCELLATION_TIME / 3, stalled_client.write_all(many.as_bytes())).await
    {
        written.expect("it reads");
        sent += 1;
        assert!(sent < 2_000, "it reads without end");
    }
    let mut client = scheduler.client().await;
    scheduler.serve_request(&mut client, &mut server, 1, DONE).await;
    let since = Instant::now();
    scheduler.terminate().await;
    assert!(scheduler.child.wait().await.expect("it ends").success());
    assert!(since.elapsed() < Duration::from_millis(3_700), "{:?}", since.elapsed());
}

// ---- The end ----------------------------------------------------------------------------------

// Guards against the close of a connection on which a request has begun to come.
#[tokio::test]
async fn a_partially_received_request_at_sigterm_is_answered() {
    let mut server = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[server.address]).await;
    let cuts = [1, 60, request_text("once", 701, 9000).len() - 1];
    let mut clients = Vec::new();
    for (number, cut) in cuts.into_iter().enumerate() {
        for used in [false, true] {
            let mut client = scheduler.client().await;
            if used {
                assert_eq!(client.exchange(READINESS_REQUEST).await.status(), 200);
            }
            let id = 701 + 2 * number as u64 + u64::from(used);
            let text = request_text("once", id, 9000);
            client.send(&text[..cut]).await;
            clients.push((client, id, text[cut..].to_owned()));
        }
    }
    // And one that is connected and has sent nothing.
    clients.push((scheduler.client().await, 720, request_text("once", 720, 9000)));
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    scheduler.terminate().await;
    scheduler.wait_for_log("shutting down").await;
    for (client, id, rest) in &mut clients {
        client.send(rest).await;
        let asked = server.next_request().await.accept();
        assert_eq!(asked, format!("{id:016x}"));
        assert_eq!(scheduler.call_back(&asked, "r0", DONE).await, 204);
        client.expect_served_and_closed().await;
    }
    assert!(scheduler.child.wait().await.expect("it ends").success());
}

// Both lie before the program when it looks again: a request on a resting connection and SIGTERM.
#[tokio::test]
async fn a_request_on_an_idle_connection_at_the_moment_of_sigterm_is_answered() {
    let mut server = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[server.address]).await;
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
        let id = server.next_request().await.accept();
        assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    }
    for client in &mut clients {
        client.expect_served_and_closed().await;
    }
    assert!(scheduler.child.wait().await.expect("it ends").success());
}

#[tokio::test]
async fn pipelined_requests_at_sigterm_are_not_dispatched_and_lose_no_response() {
    let mut server = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    let behind: String = (0..20).map(|next| request_text("once", 901 + next, 9000)).collect();
    client.send(&(request_text("once", 900, 9000) + &behind)).await;
    let id = server.next_request().await.accept();
    scheduler.terminate().await;
    scheduler.wait_for_log("shutting down").await;
    // Still more, after SIGTERM.
    client.send_request("once", 990, 9000).await;
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    client.expect_served_and_closed().await;
    // It is closed: what is sent on it now is read by nobody.
    client.send_request("once", 991, 9000).await;
    assert!(scheduler.child.wait().await.expect("it ends").success());
    assert!(server.is_idle());
}

#[tokio::test]
async fn signals_during_the_shutdown_neither_hasten_nor_stop_it() {
    let mut server = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[server.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    let id = server.next_request().await.accept();
    scheduler.signals(&["TERM", "TERM", "HUP", "TERM"]).await;
    scheduler.wait_for_log("shutting down").await;
    scheduler.signals(&["HUP", "TERM", "HUP"]).await;
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    assert!(scheduler.child.wait().await.expect("it ends").success());
}

// A worker's word that comes in two parts, with SIGTERM between them, still ends its request.
#[tokio::test]
async fn a_partially_received_callback_at_sigterm_is_read_to_its_end() {
    let mut server = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[server.address]).await;
    for cut in [1, 40, 90] {
        let number = 10 + cut as u64;
        let mut client = scheduler.client().await;
        client.send_request("once", number, 9000).await;
        let id = server.next_request().await.accept();
        let body = format!(r#"{{"id":"{id}","from":"r0",{DONE}}}"#);
        let length = body.len();
        let text = format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {length}\r\n\r\n{body}");
        let mut worker = scheduler.client().await;
        worker.send(&text[..cut]).await;
        assert_eq!(
            scheduler.client().await.exchange(READINESS_REQUEST).await.status(),
            if cut == 1 { 200 } else { 503 }
        );
        if cut == 1 {
            scheduler.terminate().await;
            scheduler.wait_for_log("shutting down").await;
        }
        worker.send(&text[cut..]).await;
        assert_eq!(worker.next_response().await.expect("an answer").status(), 204);
        assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    }
    assert!(scheduler.child.wait().await.expect("it ends").success());
}

// Before it ends it closes what still stands open, while it runs: guards against requests that come on such a
// connection with the last breath, and are taken and lost.
#[tokio::test]
async fn open_connections_are_closed_before_the_program_exits() {
    let mut server = FakeServer::start().await;
    let mut scheduler = Scheduler::start(&[server.address]).await;
    let mut silent = scheduler.client().await;
    let mut half = scheduler.client().await;
    half.send("POST /onc").await;
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    scheduler.terminate().await;
    assert!(silent.closes_cleanly().await, "no reset");
    assert!(scheduler.child.try_wait().expect("a child").is_none(), "it runs when it closes what is silent");
    silent.send_request("once", 1, 9000).await;
    assert!(scheduler.child.wait().await.expect("it ends").success());
    assert!(server.is_idle(), "what came after the close is not sent on");
}

// SIGTERM while the connection to the worker is still coming up.
#[tokio::test]
async fn a_dispatch_that_is_connecting_at_sigterm_continues() {
    let mut server = FullListener::new().await;
    let mut scheduler = Scheduler::start_with(&[server.address()], |config| {
        config.replace("\"connect_timeout_s\":0.25", "\"connect_timeout_s\":2.5")
    })
    .await;
    let mut client = scheduler.client().await;
    client.send_request("once", 1, 9000).await;
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    scheduler.terminate().await;
    scheduler.wait_for_log("shutting down").await;
    let (_kept, count) = server.next().await;
    assert_eq!(count, 1, "the job comes");
    assert_eq!(scheduler.call_back(&format!("{:016x}", 1), "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("an answer").status(), 200);
    assert!(scheduler.child.wait().await.expect("it ends").success());
}
