//! Races between cancellations and other events. A request moves to another worker only once its earlier
//! attempt can no longer run, even if the cancellation is late, fails or crosses another message. Two
//! attempts must not run at once.
#[path = "sockets/raw_worker.rs"]
mod raw_worker;
mod sockets;

use std::time::Duration;

use raw_worker::{Connection, RawWorker, read_to_end, write};
use sockets::*;
use tokio::time::timeout;

const DONE: &str = r#""state":"done","result":"paid""#;
const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
const ACCEPTED_AND_CLOSED: &str = "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
const CANCELLED: &str = "HTTP/1.1 204 No Content\r\n\r\n";
/// The time for which a test checks that no second attempt arrives. A cancellation takes less.
const NO_ATTEMPT_TIME: Duration = Duration::from_millis(400);

/// Starts a scheduler that may not hedge, and that moves a request whose attempt has not started after 2.4 s.
async fn start(workers: &[&RawWorker]) -> Scheduler {
    start_by_command("exec \"$PROGRAM\"", 1024, workers).await
}

async fn start_by_command(command: &str, sockets: u32, workers: &[&RawWorker]) -> Scheduler {
    let edit = "s/\"second_copies\":true/\"second_copies\":false/; s/\"aim_s\":9/\"aim_s\":4/g";
    let command = format!("sed -i -e '{edit}' \"$EDGE_CONFIG\" && {command}");
    let addresses: Vec<_> = workers.iter().map(|worker| worker.address).collect();
    Scheduler::start_by_command(&command, sockets, &addresses).await
}

/// A request that is at its first worker while the other worker is idle.
struct MovingRequest<'a> {
    scheduler: Scheduler,
    client: Client,
    first_worker: &'a RawWorker,
    first_worker_name: &'static str,
    other_worker: &'a RawWorker,
    connection: Connection,
    id: String,
}

impl<'a> MovingRequest<'a> {
    /// Starts a scheduler, sends a request and reads it at the worker that the policy selects.
    async fn start(workers: &'a [RawWorker; 2]) -> MovingRequest<'a> {
        let scheduler = start(&[&workers[0], &workers[1]]).await;
        MovingRequest::start_at(scheduler, workers).await
    }
    async fn start_at(scheduler: Scheduler, workers: &'a [RawWorker; 2]) -> MovingRequest<'a> {
        let mut client = scheduler.client().await;
        client.send_request("safe", 1, 9000).await;
        let ((connection, message), index) = tokio::select! {
            received = workers[0].next_request() => (received, 0),
            received = workers[1].next_request() => (received, 1),
        };
        MovingRequest {
            scheduler,
            client,
            first_worker: &workers[index],
            first_worker_name: ["r0", "r1"][index],
            other_worker: &workers[1 - index],
            connection,
            id: message.headers["x-request-id"].clone(),
        }
    }
    async fn accept_and_close(&mut self) {
        write(&mut self.connection, ACCEPTED_AND_CLOSED).await;
        assert_eq!(read_to_end(&mut self.connection).await, "");
    }
    /// Accepts the request, and reads the cancellation on the same connection.
    async fn accept_until_cancelled(&mut self) {
        write(&mut self.connection, ACCEPTED).await;
        let message = next_message(&mut self.connection).await.expect("a cancellation");
        self.assert_cancels(&message);
    }
    /// Reads the cancellation on a new connection to the first worker.
    async fn next_cancellation(&self) -> Connection {
        let (connection, message) = self.first_worker.next_request().await;
        self.assert_cancels(&message);
        connection
    }
    fn assert_cancels(&self, message: &Message) {
        assert_eq!(message.first_line, format!("DELETE /jobs/{} HTTP/1.1", self.id));
    }
    async fn assert_other_idle(&self) {
        assert!(timeout(NO_ATTEMPT_TIME, self.other_worker.accept()).await.is_err(), "two attempts at once");
    }
    /// Asserts that the request reaches the other worker and is served there.
    async fn expect_served_by_other(mut self) {
        let (mut connection, message) = self.other_worker.next_request().await;
        assert_eq!(message.headers["x-request-id"], self.id);
        write(&mut connection, ACCEPTED).await;
        let other_worker_name = if self.first_worker_name == "r0" { "r1" } else { "r0" };
        assert_eq!(self.scheduler.call_back(&self.id, other_worker_name, DONE).await, 204);
        assert_eq!(self.client.next_response().await.expect("a response").status(), 200);
    }
    /// Asserts that the first worker serves the request and the other gets nothing.
    async fn expect_served_by_first(mut self) {
        assert_eq!(self.scheduler.call_back(&self.id, self.first_worker_name, DONE).await, 204);
        assert_eq!(self.client.next_response().await.expect("a response").status(), 200);
        self.assert_other_idle().await;
    }
}

#[tokio::test]
async fn a_request_waits_for_a_cancellation_whose_connection_is_established_late() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let mut moving = MovingRequest::start(&workers).await;
    moving.accept_and_close().await;
    let queued = moving.first_worker.fill_queue().await;
    moving.first_worker.wait_for_connect().await;
    moving.assert_other_idle().await;
    drop((queued, moving.first_worker.accept().await));
    let mut connection = moving.next_cancellation().await;
    moving.assert_other_idle().await;
    write(&mut connection, CANCELLED).await;
    moving.expect_served_by_other().await;
}

#[tokio::test]
async fn a_request_stays_where_its_cancellation_is_refused() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let mut moving = MovingRequest::start(&workers).await;
    moving.accept_and_close().await;
    moving.first_worker.refuse_connections();
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    moving.assert_other_idle().await;
    moving.expect_served_by_first().await;
}

#[tokio::test]
async fn a_request_stays_where_its_cancellation_is_not_answered() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let mut moving = MovingRequest::start(&workers).await;
    moving.accept_until_cancelled().await;
    // Longer than the scheduler waits for the response to its cancellation.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    moving.assert_other_idle().await;
    moving.expect_served_by_first().await;
}

#[tokio::test]
async fn a_cancellation_that_breaks_with_its_pooled_connection_is_sent_again() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let mut moving = MovingRequest::start(&workers).await;
    moving.accept_until_cancelled().await;
    moving.connection.get_mut().set_zero_linger().expect("the socket option is set");
    let MovingRequest { connection, .. } = moving;
    drop(connection);
    let (mut connection, message) = moving.first_worker.next_request().await;
    assert!(message.first_line.starts_with("DELETE "), "{}", message.first_line);
    write(&mut connection, CANCELLED).await;
    assert!(moving.other_worker.next_request().await.1.first_line.starts_with("POST "));
}

#[tokio::test]
async fn an_attempt_that_is_not_accepted_ends_with_its_connection_before_the_next_begins() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let mut moving = MovingRequest::start(&workers).await;
    assert_eq!(read_to_end(&mut moving.connection).await, "", "the connection is closed");
    let mut connection = moving.next_cancellation().await;
    assert!(
        timeout(Duration::from_millis(100), moving.other_worker.accept()).await.is_err(),
        "two attempts at once"
    );
    write(&mut connection, CANCELLED).await;
    moving.expect_served_by_other().await;
}

#[tokio::test]
async fn a_request_leaves_a_worker_that_neither_accepts_nor_acknowledges() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let mut moving = MovingRequest::start(&workers).await;
    assert_eq!(read_to_end(&mut moving.connection).await, "", "the connection is closed");
    moving.expect_served_by_other().await;
}

#[tokio::test]
async fn an_attempt_that_was_never_written_needs_no_cancellation() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let queued = [workers[0].fill_queue().await, workers[1].fill_queue().await];
    let scheduler = start(&[&workers[0], &workers[1]]).await;
    let mut client = scheduler.client().await;
    client.send_request("safe", 1, 9000).await;
    tokio::select! {
        () = workers[0].wait_for_connect() => {}
        () = workers[1].wait_for_connect() => {}
    }
    // Neither connection is established: the request tries both workers, and nothing is written to either.
    let response = client.next_response().await.expect("a response");
    assert_eq!(response.status(), 503, "the request never ran");
    drop(queued);
}

#[tokio::test]
async fn a_result_that_crosses_the_cancellation_is_the_final_response() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let mut moving = MovingRequest::start(&workers).await;
    moving.accept_until_cancelled().await;
    assert_eq!(moving.scheduler.call_back(&moving.id, moving.first_worker_name, DONE).await, 204);
    assert_eq!(moving.client.next_response().await.expect("a response").status(), 200);
    write(&mut moving.connection, CANCELLED).await;
    moving.assert_other_idle().await;
}

#[tokio::test]
async fn an_acceptance_that_crosses_the_cancellation_is_cancelled_too() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let moving = MovingRequest::start(&workers).await;
    // The worker has accepted the request; its callback arrives and its 202 does not.
    assert_eq!(
        moving
            .scheduler
            .call_back(&moving.id, moving.first_worker_name, r#""state":"running","share":0"#)
            .await,
        204
    );
    let mut connection = moving.next_cancellation().await;
    moving.assert_other_idle().await;
    write(&mut connection, CANCELLED).await;
    moving.expect_served_by_other().await;
}

#[tokio::test]
async fn a_cancellation_goes_to_the_address_at_which_the_attempt_runs() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let new_address = RawWorker::new();
    let mut moving = MovingRequest::start(&workers).await;
    moving.accept_and_close().await;
    let change = endpoint(moving.first_worker_name, new_address.address, "SERVING");
    moving.scheduler.discovery.next_request().await.respond(
        "200 OK",
        "",
        &endpoint_list(6, false, &[change]),
    );
    let mut connection = moving.next_cancellation().await;
    write(&mut connection, CANCELLED).await;
    moving.expect_served_by_other().await;
}

#[tokio::test]
async fn a_cancellation_gets_a_descriptor_while_idle_clients_hold_all_others() {
    let workers = [RawWorker::new(), RawWorker::new()];
    let scheduler =
        start_by_command("ulimit -n 64 && exec \"$PROGRAM\"", 64, &[&workers[0], &workers[1]]).await;
    let mut moving = MovingRequest::start_at(scheduler, &workers).await;
    moving.accept_and_close().await;
    let mut other_clients = Vec::new();
    for _ in 0..100 {
        other_clients.push(moving.scheduler.client().await);
    }
    let mut connection = moving.next_cancellation().await;
    write(&mut connection, CANCELLED).await;
    moving.expect_served_by_other().await;
}

#[tokio::test]
async fn a_hedge_does_not_go_to_the_address_where_the_first_attempt_runs() {
    let worker = RawWorker::new();
    let edit = "s/\"aim_s\":9/\"aim_s\":1/g";
    let command = format!("sed -i -e '{edit}' \"$EDGE_CONFIG\" && exec \"$PROGRAM\"");
    let scheduler = Scheduler::start_by_command(&command, 1024, &[worker.address, worker.address]).await;
    let mut client = scheduler.client().await;
    client.send_request("safe", 1, 9000).await;
    let (mut connection, message) = worker.next_request().await;
    write(&mut connection, ACCEPTED).await;
    let second = async {
        tokio::select! {
            message = next_message(&mut connection) => message,
            (_, message) = worker.next_request() => Some(message),
        }
    };
    // The hedge is due after 0.6 s.
    assert!(timeout(Duration::from_millis(1_500), second).await.is_err(), "two attempts at once");
    let id = message.headers["x-request-id"].clone();
    for name in ["r0", "r1"] {
        assert_eq!(scheduler.call_back(&id, name, DONE).await, 204);
    }
    assert_eq!(client.next_response().await.expect("a response").status(), 200);
}
