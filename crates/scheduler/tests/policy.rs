//! Tests of the proxy's load queries and subscriptions over sockets, with a stub in place of the dispatch
//! policy.
mod sockets;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use copperspread_dispatcher::{
    Action, DispatchPolicy, EndpointUpdateKind, Event, LoadReport, Micros, Outcome, WorkerId,
};
use copperspread_event_log::writer::Recorder;
use copperspread_proxy::assembly::{AssembledProxy, assemble};
use copperspread_proxy::discovery::{
    EndpointSource, platform::PlatformDiscovery, static_list::StaticEndpoints,
};
use copperspread_settings::{EndpointList, platform};
use sockets::*;
use tokio::sync::{mpsc, watch};

type QueryEnd = (u32, Outcome, Option<LoadReport>);

/// A dispatch policy that, at each event, sends the load queries that the test requested; subscribes at once
/// while `subscribe` is set; and reports load query ends and endpoint updates to the test.
struct StubPolicy {
    requested_queries: Arc<Mutex<Vec<u32>>>,
    subscribe: Arc<AtomicBool>,
    ends: mpsc::UnboundedSender<QueryEnd>,
    updates: mpsc::UnboundedSender<(EndpointUpdateKind, usize)>,
}

impl DispatchPolicy for StubPolicy {
    fn handle(&mut self, _: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if let Event::LoadQueryCompleted { worker, outcome, report } = event {
            let _ = self.ends.send((worker.0, outcome, report));
        } else if let Event::Endpoints(update) = event {
            let _ = self.updates.send((update.kind, update.endpoints.len()));
            let allows_subscription =
                matches!(update.kind, EndpointUpdateKind::Cached | EndpointUpdateKind::Failed);
            if allows_subscription && self.subscribe.load(Ordering::Relaxed) {
                actions.push(Action::Subscribe);
            }
        }
        let requested_queries =
            std::mem::take(&mut *self.requested_queries.lock().expect("a lock that is not poisoned"));
        actions.extend(
            requested_queries.into_iter().map(|worker| Action::QueryLoad { worker: WorkerId(worker) }),
        );
    }
}

struct Fixture {
    proxy: AssembledProxy,
    requested_queries: Arc<Mutex<Vec<u32>>>,
    subscribe: Arc<AtomicBool>,
    ends: mpsc::UnboundedReceiver<QueryEnd>,
    updates: mpsc::UnboundedReceiver<(EndpointUpdateKind, usize)>,
}

impl Fixture {
    async fn open(discovery: &str, members: &[String]) -> Fixture {
        let any = "127.0.0.1:0".parse().expect("a socket address");
        let text = config(any, any, &endpoint_list(1, true, members)).replace("pushed", discovery);
        let start = platform::read_startup_config(&text).expect("a valid configuration");
        let (requested_queries, subscribe) = (Arc::<Mutex<_>>::default(), Arc::new(AtomicBool::new(true)));
        let ((end_sender, ends), (update_sender, updates)) =
            (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let (query_requests, may_subscribe) = (Arc::clone(&requested_queries), Arc::clone(&subscribe));
        let stub = StubPolicy {
            requested_queries: query_requests,
            subscribe: may_subscribe,
            ends: end_sender,
            updates: update_sender,
        };
        let proxy = assemble(&start, Box::new(stub), &Recorder::disabled()).await.expect("a free port");
        Fixture { proxy, requested_queries, subscribe, ends, updates }
    }
    fn request_load_queries(&self, workers: &[u32]) {
        self.requested_queries.lock().expect("a lock that is not poisoned").extend(workers);
        let nothing = EndpointList { revision: 1, complete: false, endpoints: Vec::new() };
        self.proxy.endpoint_publisher.publish(&nothing, &[]);
    }
    async fn next_query_end(&mut self) -> QueryEnd {
        within("the end of a load query", self.ends.recv()).await.expect("a running policy")
    }
    async fn next_update(&mut self) -> (EndpointUpdateKind, usize) {
        within("an endpoint update", self.updates.recv()).await.expect("a running policy")
    }
}

#[tokio::test]
async fn each_load_query_ends_exactly_once_whatever_the_worker_does() {
    let load = LoadReport { in_flight: Some(7.0), free_slots: Some(1.5), ..LoadReport::default() };
    let only = |free_slots| Some(LoadReport { free_slots: Some(free_slots), ..LoadReport::default() });
    let (ok, header) = ("200 OK", "X-Server-Load: TEXT x0=4\r\n");
    let cases = [
        (ok, "", "TEXT inflight=7, x0=1.5", Outcome::Served, Some(load)),
        (ok, "", r#"{"inflight": 7, "x0": 1.5}"#, Outcome::Served, Some(load)),
        (ok, header, "", Outcome::Served, only(4.0)),
        (ok, "", "[1, x0=?", Outcome::Served, None),
        ("503 Service Unavailable", "", r#"{"load":{"x0":0}}"#, Outcome::Error, only(0.0)),
        ("404 Not Found", "", "", Outcome::Error, None),
        ("", "", "a broken connection", Outcome::Reset, None),
    ];
    let (_reserved, refuses) = reserve_address();
    let (mut silent, mut drains) = (FakeServer::start().await, FakeServer::start().await);
    let mut members = vec![endpoint("refuses", refuses, "SERVING"), endpoint("s", silent.address, "SERVING")];
    members.push(endpoint("drains", drains.address, "DRAINING"));
    let mut workers = Vec::new();
    for number in 0..cases.len() {
        workers.push(FakeServer::start().await);
        members.push(endpoint(&format!("r{number}"), workers[number].address, "SERVING"));
    }
    let mut fixture = Fixture::open("pushed", &members).await;
    // The silent worker (1) is queried twice; 90 is no known worker.
    fixture.request_load_queries(&[0, 1, 1, 2, 90, 3, 4, 5, 6, 7, 8, 9]);
    for (worker, (status, header, body, ..)) in workers.iter_mut().zip(&cases) {
        let query = worker.next_request().await;
        assert_eq!(query.message.first_line, "GET /-/load HTTP/1.1");
        if !status.is_empty() {
            query.respond(status, header, body);
        }
    }
    let mut ends = HashMap::<u32, Vec<_>>::new();
    for _ in 0..12 {
        let (worker, outcome, report) = fixture.next_query_end().await;
        ends.entry(worker).or_default().push((outcome, report));
    }
    assert_eq!(ends[&0], [(Outcome::ConnectFailed, None)]);
    assert_eq!(
        ends[&1],
        [(Outcome::Superseded, None), (Outcome::TimedOut, None)],
        "one load query per worker at a time"
    );
    assert_eq!(
        (&ends[&2], &ends[&90]),
        (&vec![(Outcome::Superseded, None)], &vec![(Outcome::Superseded, None)])
    );
    for (number, (.., outcome, report)) in cases.iter().enumerate() {
        assert_eq!(ends[&(number as u32 + 3)], [(*outcome, *report)], "case {number}");
    }
    late_response_is_dropped_and_its_connection_reused(&mut fixture, &mut silent).await;
    assert!(drains.is_idle());
    fixture.proxy.begin_shutdown();
    fixture.request_load_queries(&[3]);
    assert_eq!(
        fixture.next_query_end().await,
        (3, Outcome::Superseded, None),
        "no load query during a shutdown"
    );
}

/// Worker 1 responds late to its first load query; its connection is reused for the next one.
async fn late_response_is_dropped_and_its_connection_reused(fixture: &mut Fixture, silent: &mut FakeServer) {
    let late = silent.next_request().await;
    assert!(silent.is_idle());
    fixture.request_load_queries(&[1]);
    assert_eq!(
        fixture.next_query_end().await,
        (1, Outcome::Superseded, None),
        "the first load query is still pending"
    );
    let connection = late.peer;
    late.respond("200 OK", "", "TEXT x0=1");
    let next = loop {
        fixture.request_load_queries(&[1]);
        tokio::select! {
            query = silent.next_request() => break query,
            end = fixture.next_query_end() => assert_eq!(end, (1, Outcome::Superseded, None)),
        }
    };
    assert_eq!(next.peer, connection);
}

// Guards against load queries that accumulate at silent workers and use the descriptors of other connections.
#[tokio::test]
async fn no_more_load_queries_are_in_flight_than_have_a_permit() {
    let silent = FakeServer::start().await;
    let members: Vec<_> = (0..40).map(|n| endpoint(&format!("r{n}"), silent.address, "SERVING")).collect();
    let mut fixture = Fixture::open("pushed", &members).await;
    fixture.request_load_queries(&(0..40).collect::<Vec<_>>());
    let mut superseded = 0;
    for _ in 0..40 {
        superseded += u32::from(fixture.next_query_end().await.1 == Outcome::Superseded);
    }
    // 12 load queries have a permit; the other 28 end at once.
    assert_eq!(superseded, 28);
}

// Covers a polled discovery: the calls that it receives, a change of its address, and the updates that reach
// the policy.
#[tokio::test]
async fn a_polled_discovery_is_called_again_as_soon_as_a_watch_breaks() {
    let (mut discovery, mut other) = (FakeServer::start().await, FakeServer::start().await);
    let (address_sender, address) =
        watch::channel(discovery.address.to_string().parse().expect("a socket address"));
    let mut fixture = Fixture::open("on_request", &[]).await;
    let publisher = fixture.proxy.endpoint_publisher.clone();
    tokio::spawn(Box::new(PlatformDiscovery { address, cached_revision: Some(1) }).follow(publisher));
    const WATCH_REQUEST: &str = "GET /api/targets?from=1&hold_ms=2000 HTTP/1.1";
    const FULL_LIST_REQUEST: &str = "GET /api/targets HTTP/1.1";
    let nothing = endpoint_list(1, false, &[]);
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Cached, 0));
    let first = discovery.next_request().await;
    assert_eq!(first.message.first_line, FULL_LIST_REQUEST);
    first.respond("200 OK", "", &nothing);
    // The policy is told that its subscription succeeded, although nothing has changed.
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Changes, 0));
    // After a watch that breaks or stays silent, the full list is requested, not a second watch, which could
    // stay silent for as long again. The request comes well before the limit for applying a missed change.
    let watch = discovery.next_request().await;
    assert_eq!(watch.message.first_line, WATCH_REQUEST);
    drop(watch);
    let next_poll = discovery.next_request().await;
    assert_eq!(next_poll.message.first_line, FULL_LIST_REQUEST);
    next_poll.respond("200 OK", "", &nothing);
    let since = std::time::Instant::now();
    let silent = discovery.next_request().await;
    assert_eq!(silent.message.first_line, WATCH_REQUEST);
    let next_poll = discovery.next_request().await;
    assert!(since.elapsed().as_millis() < 4_000, "{:?}", since.elapsed());
    assert_eq!(next_poll.message.first_line, FULL_LIST_REQUEST);
    next_poll.respond(
        "200 OK",
        "",
        &endpoint_list(1, false, &[endpoint("r0", discovery.address, "DRAINING")]),
    );
    assert_eq!(
        fixture.next_update().await,
        (EndpointUpdateKind::Changes, 1),
        "no failure was reported before"
    );
    // The proxy does not repeat a rejected watch by itself: the policy is told, and its next subscription
    // causes the next call.
    discovery.next_request().await.respond("503 Service Unavailable", "", "");
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Failed, 0));
    fixture.subscribe.store(false, Ordering::Relaxed);
    discovery.next_request().await.respond("503 Service Unavailable", "", "");
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Failed, 0));
    // A new discovery address is called at once.
    address_sender.send_replace(other.address.to_string().parse().expect("a socket address"));
    let full_list_call = other.next_request().await;
    assert_eq!(full_list_call.message.first_line, "GET /api/targets HTTP/1.1");
    full_list_call.respond("200 OK", "", &endpoint_list(1, true, &[]));
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Full, 0));
    assert!(discovery.is_idle());
}

// Guards against a subscription request that arrived during a call and is taken for the policy's reaction to
// a later failure. The policy spreads its calls over time, so the proxy must not call before it subscribes
// again.
#[tokio::test]
async fn an_older_subscription_request_does_not_answer_a_later_failure() {
    let mut discovery = FakeServer::start().await;
    let (_address_sender, address) =
        watch::channel(discovery.address.to_string().parse().expect("a socket address"));
    let mut fixture = Fixture::open("on_request", &[]).await;
    let publisher = fixture.proxy.endpoint_publisher.clone();
    tokio::spawn(Box::new(PlatformDiscovery { address, cached_revision: Some(1) }).follow(publisher));
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Cached, 0));
    discovery.next_request().await.respond("200 OK", "", &endpoint_list(1, true, &[]));
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Full, 0));
    let watch = discovery.next_request().await;
    // The stub subscribes at this event, while a call is pending.
    fixture.proxy.endpoint_publisher.publish_cached(None);
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Cached, 0));
    fixture.subscribe.store(false, Ordering::Relaxed);
    watch.respond("503 Service Unavailable", "", "");
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Failed, 0));
    let early_call =
        tokio::time::timeout(std::time::Duration::from_millis(300), discovery.next_request()).await;
    assert!(early_call.is_err(), "the policy has not subscribed yet");
    // Now it subscribes.
    fixture.subscribe.store(true, Ordering::Relaxed);
    fixture.proxy.endpoint_publisher.publish_cached(None);
    assert_eq!(discovery.next_request().await.message.first_line, "GET /api/targets HTTP/1.1");
}

// Guards against a static list whose changes wait for a second subscription, which the policy has no reason
// to request.
#[tokio::test]
async fn a_static_list_that_changes_is_published_also_where_lists_are_polled() {
    let mut fixture = Fixture::open("on_request", &[]).await;
    let full_list = |revision| EndpointList { revision, complete: true, endpoints: Vec::new() };
    let (list_sender, list) = watch::channel(full_list(2));
    tokio::spawn(Box::new(StaticEndpoints(list)).follow(fixture.proxy.endpoint_publisher.clone()));
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Cached, 0));
    for revision in 3..5 {
        assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Full, 0));
        list_sender.send_replace(full_list(revision));
    }
    assert_eq!(fixture.next_update().await, (EndpointUpdateKind::Full, 0));
}
