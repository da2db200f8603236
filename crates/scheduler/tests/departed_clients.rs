//! Clients that disconnect early. No attempt begins for a client that has disconnected, whatever state its
//! request was in.
#[path = "sockets/raw_worker.rs"]
mod raw_worker;
mod sockets;

use std::time::{Duration, Instant};

use raw_worker::{RawWorker, read_to_end};
use sockets::*;

const DONE: &str = r#""state":"done","result":"ok""#;

/// The longest time from a client's disconnect to the end of its attempt. It is well under the requests'
/// deadline, at which attempts are cancelled in any case.
const MAX_CANCELLATION_TIME: Duration = Duration::from_secs(3);

/// Asserts that the worker has received no other request, by serving one more: an earlier one would arrive
/// first.
async fn assert_no_earlier_request(scheduler: &Scheduler, worker: &mut FakeServer, number: u64) {
    let mut client = scheduler.client().await;
    client.send_request("once", number, 9000).await;
    let id = worker.next_request().await.accept();
    assert_eq!(id, format!("{number:016x}"), "no other request arrived before");
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(client.next_response().await.expect("a response").status(), 200);
    assert!(worker.is_idle());
}

// The scheduler is stopped by SIGSTOP, so that the connection, its request and its end wait in the kernel.
#[tokio::test]
async fn a_client_that_disconnected_in_the_accept_queue_has_no_attempt() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut half_closed_clients = Vec::new();
    scheduler.signal("STOP").await;
    for number in 0..30 {
        let mut client = scheduler.client().await;
        let text = request_text("safe", 100 + number, 9000);
        let (head, rest) = text.split_at(if number < 15 { text.len() } else { text.len() - 1 });
        client.send(head).await;
        client.send(rest).await;
        half_closed_clients.extend(client.leave(WAYS_TO_LEAVE[number as usize % 3]).await);
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    scheduler.signal("CONT").await;
    assert_no_earlier_request(&scheduler, &mut worker, 1).await;
}

// Many other connections make the request wait for a descriptor, a connection permit or memory for its body.
#[tokio::test]
async fn a_client_that_disconnected_while_its_request_waited_has_no_attempt() {
    let large = request_text("safe", 7, 9000).replace("Content-Length: 2", "Content-Length: 65536");
    let large = large.strip_suffix("hi").expect("a body").to_owned();
    // An edit that changes nothing, for the case that needs none.
    let (unlimited, no_edit) = ("exec \"$PROGRAM\"", ("\"cores\":1.0", "\"cores\":1.0"));
    // The resource, the start command, the edit of the configuration, the number of other clients and their
    // text.
    let cases = [
        ("descriptors", "ulimit -n 24; exec \"$PROGRAM\"", no_edit, 40, String::new()),
        ("permits", unlimited, ("\"sockets\":1024", "\"sockets\":64"), 32, large.clone()),
        ("memory", unlimited, ("\"memory_mb\":192", "\"memory_mb\":1"), 4, large.clone()),
    ];
    for (what, command, (from, to), client_count, text) in cases {
        let mut worker = FakeServer::start().await;
        let scheduler =
            Scheduler::start_edited(command, &[worker.address], |config| config.replace(from, to)).await;
        let mut other_clients = Vec::new();
        for number in 0..client_count {
            let mut client = scheduler.client().await;
            client.send(&text.replace(&format!("{:016x}", 7), &format!("{:016x}", 1_000 + number))).await;
            other_clients.push(client);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut half_closed_clients = Vec::new();
        for (number, how) in (200..).zip(WAYS_TO_LEAVE) {
            let mut client = scheduler.client().await;
            let text = large.replace(&format!("{:016x}", 7), &format!("{number:016x}"));
            client.send(&(text + &"x".repeat(65_536))).await;
            half_closed_clients.extend(client.leave(how).await);
        }
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert!(worker.is_idle(), "{what}: the requests wait");
        drop(other_clients);
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert_no_earlier_request(&scheduler, &mut worker, 1).await;
    }
}

// The request follows another one whose attempt ends only after the client has disconnected.
#[tokio::test]
async fn a_pipelined_request_of_a_disconnected_client_has_no_attempt() {
    for (number, how) in (300..).step_by(2).zip(WAYS_TO_LEAVE) {
        let mut worker = FakeServer::start().await;
        let scheduler = Scheduler::start(&[worker.address]).await;
        let mut client = scheduler.client().await;
        client.send(&(request_text("safe", number, 9000) + &request_text("safe", number + 1, 9000))).await;
        let first = worker.next_request().await;
        let disconnected_at = Instant::now();
        let _half_closed_client = client.leave(how).await;
        first.wait_until_closed().await;
        assert!(disconnected_at.elapsed() < MAX_CANCELLATION_TIME, "{how}: {:?}", disconnected_at.elapsed());
        assert_no_earlier_request(&scheduler, &mut worker, 1).await;
    }
}

// The refusal that would cause a retry and the client's disconnect arrive while the scheduler is stopped by
// SIGSTOP, in either order.
#[tokio::test]
async fn a_retry_does_not_begin_after_the_client_disconnected() {
    for (number, how) in (400..).zip(WAYS_TO_LEAVE.iter().cycle().take(6)) {
        let (mut worker_0, mut worker_1) = (FakeServer::start().await, FakeServer::start().await);
        let scheduler = Scheduler::start(&[worker_0.address, worker_1.address]).await;
        let mut client = scheduler.client().await;
        client.send_request("safe", number, 9000).await;
        let first = tokio::select! {
            first = worker_0.next_request() => first,
            first = worker_1.next_request() => first,
        };
        scheduler.signal("STOP").await;
        let refuse = || first.respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
        let _half_closed_client = if number % 2 == 0 {
            refuse();
            tokio::time::sleep(Duration::from_millis(20)).await;
            client.leave(how).await
        } else {
            let half_closed_client = client.leave(how).await;
            refuse();
            half_closed_client
        };
        tokio::time::sleep(Duration::from_millis(150)).await;
        scheduler.signal("CONT").await;
        for _ in 0..3 {
            assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(worker_0.is_idle() && worker_1.is_idle(), "{how}");
    }
}

// The hedge is due while the scheduler is stopped by SIGSTOP, and the client disconnects before SIGCONT. A
// client that stays connected gets its hedge.
#[tokio::test]
async fn a_hedge_does_not_begin_after_the_client_disconnected() {
    const TIMEOUT_MILLIS: u64 = 1_000;
    for (number, how) in (450..).zip(["stays"].into_iter().chain(WAYS_TO_LEAVE)) {
        let (mut worker_0, mut worker_1) = (FakeServer::start().await, FakeServer::start().await);
        let scheduler = Scheduler::start(&[worker_0.address, worker_1.address]).await;
        let mut client = scheduler.client().await;
        client.send_request("safe", number, TIMEOUT_MILLIS).await;
        let is_at_worker_0 = tokio::select! {
            first = worker_0.next_request() => { first.accept(); true }
            first = worker_1.next_request() => { first.accept(); false }
        };
        let other = if is_at_worker_0 { &mut worker_1 } else { &mut worker_0 };
        assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
        assert!(other.is_idle(), "the hedge is not due yet");
        scheduler.signal("STOP").await;
        let _half_closed_client = if how == "stays" { Some(client) } else { client.leave(how).await };
        tokio::time::sleep(Duration::from_millis(TIMEOUT_MILLIS * 7 / 10)).await;
        scheduler.signal("CONT").await;
        if how == "stays" {
            assert!(other.next_request().await.message.first_line.starts_with("POST"));
        } else {
            tokio::time::sleep(Duration::from_millis(TIMEOUT_MILLIS / 2)).await;
            assert!(other.is_idle(), "{how}");
        }
    }
}

// The connection to the worker is established after the client has disconnected.
#[tokio::test]
async fn a_connect_that_outlasts_its_client_carries_nothing() {
    for how in WAYS_TO_LEAVE {
        let worker = RawWorker::new();
        let scheduler = Scheduler::start_with(&[worker.address], |config| {
            config
                .replace("\"connect_timeout_s\":0.25", "\"connect_timeout_s\":20")
                .replace("\"may_cancel\":true", "\"may_cancel\":false")
        })
        .await;
        let queued = worker.fill_queue().await;
        let mut client = scheduler.client().await;
        client.send_request("safe", 500, 9000).await;
        worker.wait_for_connect().await;
        let _half_closed_client = client.leave(how).await;
        assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
        drop((queued, worker.accept().await));
        let mut late = worker.accept().await;
        assert_eq!(read_to_end(&mut late).await, "", "{how}");
    }
}

// A refusal that causes a retry on a pooled connection, more events than the runtime reports at one poll, and
// then the client's disconnect arrive while the scheduler is stopped by SIGSTOP. The write of the retry
// detects the disconnect, whichever event is reported first.
#[tokio::test]
async fn a_client_that_disconnected_while_the_scheduler_was_stopped_has_no_attempt() {
    for how in WAYS_TO_LEAVE {
        let (mut worker_0, mut worker_1) = (FakeServer::start().await, FakeServer::start().await);
        let known = [worker_0.address, worker_1.address];
        let allow_more_descriptors = |config: String| config.replace("\"sockets\":1024", "\"sockets\":4096");
        let scheduler = Scheduler::start_edited("exec \"$PROGRAM\"", &known, allow_more_descriptors).await;
        let mut other_clients = scheduler.crowd().await;
        // Leaves an idle pooled connection to each worker.
        let (mut first, mut second) = (scheduler.client().await, scheduler.client().await);
        first.send_request("once", 601, 9000).await;
        second.send_request("once", 602, 9000).await;
        let (id_at_worker_0, id_at_worker_1) =
            (worker_0.next_request().await.accept(), worker_1.next_request().await.accept());
        assert_eq!(scheduler.call_back(&id_at_worker_0, "r0", DONE).await, 204);
        assert_eq!(scheduler.call_back(&id_at_worker_1, "r1", DONE).await, 204);
        let mut client = scheduler.client().await;
        client.send_request("safe", 603, 9000).await;
        let received = tokio::select! {
            received = worker_0.next_request() => received,
            received = worker_1.next_request() => received,
        };
        scheduler.signal("STOP").await;
        received.respond("503 Service Unavailable", "X-Not-Processed: 1\r\n", "");
        tokio::time::sleep(Duration::from_millis(20)).await;
        for idle in &mut other_clients {
            idle.send("P").await;
        }
        let _half_closed_client = client.leave(how).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
        scheduler.signal("CONT").await;
        for _ in 0..3 {
            assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(worker_0.is_idle() && worker_1.is_idle(), "{how}");
    }
}
