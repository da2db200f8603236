//! Limits on connections and descriptors, for connections from clients and to workers: no peer may use up
//! what the others need.
mod sockets;

use std::sync::Arc;
use std::time::Instant;

use copperspread_dispatcher::{Idempotency, Outcome, WorkerId};
use copperspread_proxy::clock::{Clock, from_now};
use copperspread_proxy::descriptors::DescriptorBudget;
use copperspread_proxy::endpoints::{EndpointTable, ListOrigin};
use copperspread_proxy::messages::{DispatchControl, UpstreamRequest};
use copperspread_proxy::upstream::{Upstream, http::HttpUpstream};
use copperspread_settings::{json, platform};
use sockets::*;

const DONE: &str = r#""state":"done","result":"r\u00e9sult","load":{"x0":3.5,"waiting":0}"#;

/// Applies an endpoint list in the form that discovery returns.
fn apply(endpoints: &EndpointTable, list: &str) {
    let value = json::parse(list).expect("JSON");
    let list = platform::read_endpoint_list(&value).expect("a list");
    endpoints.apply(&list, ListOrigin::Discovery, Clock::start().read());
}

// Guards against an accept loop that ends, or spins, when descriptors run out.
#[tokio::test]
async fn the_scheduler_survives_descriptor_exhaustion() {
    let mut worker = FakeServer::start().await;
    let scheduler =
        Scheduler::start_by_command("ulimit -n 24; exec \"$PROGRAM\"", 1024, &[worker.address]).await;
    let mut other_clients = Vec::new();
    for _ in 0..40 {
        other_clients.push(scheduler.client().await);
    }
    let mut client = scheduler.client().await;
    client.send_request("once", 70, 9000).await;
    drop(other_clients);
    let id = worker.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    assert_eq!(client.next_response().await.expect("a response").status(), 200);
}

// Guards against connections that are closed without a response because too many arrive at once.
#[tokio::test]
async fn a_burst_of_new_connections_gets_an_answer_on_each() {
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[]).await;
    let mut other_clients = Vec::new();
    for id in 0..100 {
        let mut client = scheduler.client().await;
        client.send_request("safe", 700 + id, 9000).await;
        other_clients.push(client);
    }
    let mut rejected = 0;
    for (number, client) in other_clients.iter_mut().enumerate() {
        let response =
            client.next_response().await.unwrap_or_else(|| panic!("connection {number}: no response"));
        // 503 because there is no worker, or 500 if more requests are being read than there are permits.
        let status = response.status();
        assert!(matches!(status, 503 | 500), "connection {number}: {status}");
        rejected += u32::from(status == 503);
    }
    assert!(rejected >= 10, "{rejected} of 100 reached the policy");
}

// Guards against a dispatch to a worker that began to drain after the policy selected it, and against silent
// workers that hold all descriptors.
#[tokio::test]
async fn neither_draining_nor_silent_workers_get_more_requests() {
    let mut worker = FakeServer::start().await;
    let config =
        platform::read_startup_config(&config(worker.address, worker.address, &endpoint_list(1, true, &[])))
            .expect("a valid configuration");
    let endpoints = Arc::new(EndpointTable::new(&config.settings.proxy));
    let control = DispatchControl::default();
    let upstream = HttpUpstream::new(&config.settings.proxy, endpoints.clone(), DescriptorBudget::new(32));
    let (headers, body) = (Default::default(), Default::default());
    let upstream_request = UpstreamRequest {
        id: String::new(),
        path: "/once/k".parse().expect("a path"),
        headers,
        idempotency: Idempotency::Idempotent,
        body,
        client: Default::default(),
    };
    for (revision, phase) in [(2, "DRAINING"), (3, "DELETED")] {
        apply(&endpoints, &endpoint_list(revision, true, &[endpoint("r0", worker.address, phase)]));
        let target = upstream.target(WorkerId(0));
        let result = upstream.dispatch(&target, &upstream_request, from_now(9_000_000), &control).await;
        assert_eq!(result, Err(Outcome::Superseded.into()));
    }
    assert!(worker.is_idle());
    // Silent workers hold four dispatches, the most that 32 descriptors allow.
    apply(&endpoints, &endpoint_list(4, true, &[endpoint("r0", worker.address, "SERVING")]));
    let target = upstream.target(WorkerId(0));
    let dispatch = || upstream.dispatch(&target, &upstream_request, from_now(9_000_000), &control);
    let four_dispatches = futures_util::future::select_all((0..4).map(|_| Box::pin(dispatch())));
    let fifth_dispatch = async {
        let mut in_flight = Vec::new();
        for _ in 0..4 {
            in_flight.push(worker.next_request().await);
        }
        dispatch().await
    };
    tokio::select! {
        result = fifth_dispatch => assert_eq!(result, Err(Outcome::ConnectFailed.into())),
        _ = four_dispatches => panic!("a dispatch to a silent worker ended"),
    }
}

// Guards against clients that hold all connections, so that the callbacks which would end their requests
// fail.
#[tokio::test]
async fn some_connections_are_reserved_for_callbacks() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[worker.address]).await;
    let mut first = scheduler.client().await;
    first.send_request("once", 80, 9000).await;
    let id = worker.next_request().await.accept();
    let mut other_clients = Vec::new();
    for number in 81..108 {
        let mut client = scheduler.client().await;
        client.send(request_text("once", number, 9000).strip_suffix("hi").expect("a body")).await;
        other_clients.push(client);
    }
    // All but the last eighth of the 32 connection permits are held by requests that are being read or
    // served.
    let refused = loop {
        let response = scheduler.client().await.exchange(&request_text("once", 200, 9000)).await;
        if response.status() == 500 {
            break response;
        }
    };
    assert_eq!(refused.headers["connection"], "close", "a connection with an unread body is closed");
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(first.next_response().await.expect("a response").status(), 200);
}

// Guards against clients that send nothing or only part of a request and keep their connections. The idle
// connection of an active client stays open.
#[tokio::test]
async fn a_first_request_has_its_own_timeout() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start(&[worker.address]).await;
    let mut active = scheduler.client().await;
    assert_eq!(active.exchange(READINESS_REQUEST).await.status(), 200);
    let started_at = Instant::now();
    let valid_request = request_text("once", 100, 9000);
    let mut stalled_clients = Vec::new();
    for (part, status) in [
        ("", None),
        (&valid_request[..40], Some(408)),
        (&valid_request[..valid_request.len() - 1], Some(408)),
    ] {
        let mut client = scheduler.client().await;
        client.send(part).await;
        stalled_clients.push((client, status));
    }
    for (client, status) in &mut stalled_clients {
        assert_eq!(client.next_response().await.map(|response| response.status()), *status);
        assert!(client.next_response().await.is_none(), "the connection is closed");
    }
    let elapsed_millis = started_at.elapsed().as_millis();
    assert!((1_000..3_000).contains(&elapsed_millis), "{elapsed_millis} ms");
    active.send(&valid_request).await;
    let id = worker.next_request().await.accept();
    scheduler.call_back(&id, "r0", DONE).await;
    assert_eq!(active.next_response().await.expect("a response").status(), 200);
}

// Guards against hundreds of silent clients that delay the requests of active ones.
#[tokio::test]
async fn many_silent_clients_take_no_connection_permits_of_active_clients() {
    let mut worker = FakeServer::start().await;
    let scheduler = Scheduler::start_by_command("exec \"$PROGRAM\"", 64, &[worker.address]).await;
    let mut active = scheduler.client().await;
    assert_eq!(active.exchange(READINESS_REQUEST).await.status(), 200);
    let started_at = Instant::now();
    let mut other_clients = Vec::new();
    for _ in 0..200 {
        other_clients.push(scheduler.client().await);
    }
    active.send_request("once", 110, 9000).await;
    let id = worker.next_request().await.accept();
    assert_eq!(scheduler.call_back(&id, "r0", DONE).await, 204);
    assert_eq!(
        active.next_response().await.expect("a response on the connection, which is still open").status(),
        200
    );
    assert_eq!(scheduler.client().await.exchange(READINESS_REQUEST).await.status(), 200);
    assert!(started_at.elapsed().as_millis() < 1_500, "{:?}", started_at.elapsed());
}

// The process has fewer descriptors than its configuration says, so that descriptors run out before permits:
// idle connections must be evicted for new clients, before they close by themselves.
#[tokio::test]
async fn idle_connections_are_evicted_when_no_descriptor_is_left() {
    let worker = FakeServer::start().await;
    let command = "ulimit -n 30 && exec \"$PROGRAM\"";
    let scheduler = Scheduler::start_by_command(command, 256, &[worker.address]).await;
    let mut idle_clients = Vec::new();
    for number in 0..60 {
        let mut client = scheduler.client().await;
        let response =
            tokio::time::timeout(std::time::Duration::from_secs(5), client.exchange(READINESS_REQUEST));
        let response = response.await.unwrap_or_else(|_| panic!("client {number} waits for a descriptor"));
        assert_eq!(response.status(), 200);
        idle_clients.push(client);
    }
}
