//! Tests the proxy with in-memory implementations of its interfaces, and so without sockets.
use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use copperspread_dispatcher::{
    Dispatcher, Idempotency, IncomingRequest, KeyScope, Outcome, Progress, RequestClass, RequestId, SECOND,
    Settings, WorkerId,
};
use copperspread_event_log::writer::Recorder;
use copperspread_proxy::clock::{Clock, from_now};
use copperspread_proxy::context::ProxyContext;
use copperspread_proxy::discovery::static_list::StaticEndpoints;
use copperspread_proxy::discovery::{EndpointPublisher, EndpointSource};
use copperspread_proxy::downstream::Downstream;
use copperspread_proxy::endpoints::EndpointTable;
use copperspread_proxy::event_recorder::EventRecorder;
use copperspread_proxy::messages::{
    AdmissionRequest, AttemptCompletion, AttemptTarget, CancellationOutcome, DispatchControl, DispatchResult,
    FinalResponse, UpstreamRequest, WorkerEvent,
};
use copperspread_proxy::policy_handle::PolicyHandle;
use copperspread_proxy::request_task;
use copperspread_proxy::shutdown::Shutdown;
use copperspread_proxy::upstream::Upstream;
use copperspread_settings::{EndpointList, EndpointPhase, ListedEndpoint, ProxySettings};
use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// Upstream that records attempts and returns the prepared dispatch results in order.
///
/// Without a prepared result it accepts the attempt.
#[derive(Default)]
struct InMemoryUpstream {
    dispatch_results: Mutex<VecDeque<DispatchResult>>,
    dispatched: Mutex<Vec<WorkerId>>,
    cancelled: Mutex<Vec<WorkerId>>,
}

impl Upstream for InMemoryUpstream {
    fn target(&self, worker: WorkerId) -> AttemptTarget {
        AttemptTarget { worker, address: None }
    }
    fn dispatch<'a>(
        &'a self,
        target: &'a AttemptTarget,
        _: &'a UpstreamRequest,
        _: Instant,
        _: &'a DispatchControl,
    ) -> BoxFuture<'a, DispatchResult> {
        Box::pin(async move {
            self.dispatched.lock().expect("lock is not poisoned").push(target.worker);
            self.dispatch_results.lock().expect("lock is not poisoned").pop_front().unwrap_or(Ok(()))
        })
    }
    fn worker_name(&self, worker: WorkerId) -> Arc<str> {
        format!("r{}", worker.0).into()
    }
    fn cancel(
        &self,
        target: &AttemptTarget,
        _: &UpstreamRequest,
        _: Instant,
    ) -> BoxFuture<'static, CancellationOutcome> {
        self.cancelled.lock().expect("lock is not poisoned").push(target.worker);
        Box::pin(std::future::ready(CancellationOutcome::Acknowledged))
    }
}

/// Endpoint source whose lists come from a channel.
struct InMemorySource(mpsc::Receiver<EndpointList>);

impl EndpointSource for InMemorySource {
    fn follow(mut self: Box<Self>, publisher: EndpointPublisher) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            while let Some(list) = self.0.recv().await {
                if let Some(endpoints) = publisher.apply(&list) {
                    publisher.publish(&list, &endpoints);
                }
            }
        })
    }
}

/// A client's request, and the sender for the name of its final response.
type ClientRequest = (AdmissionRequest, oneshot::Sender<&'static str>);

/// Downstream whose client requests come from a channel.
struct InMemoryDownstream {
    context: Arc<ProxyContext>,
    clients: Mutex<mpsc::Receiver<ClientRequest>>,
    busy: Arc<AtomicUsize>,
}

impl Downstream for InMemoryDownstream {
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            while let Some((admission, reply)) =
                poll_fn(|cx| self.clients.lock().expect("lock is not poisoned").poll_recv(cx)).await
            {
                self.busy.fetch_add(1, Ordering::Relaxed);
                let mut response = request_task::spawn(&self.context, admission);
                let busy = Arc::clone(&self.busy);
                tokio::spawn(async move {
                    let response = response.final_response().await;
                    busy.fetch_sub(1, Ordering::Relaxed);
                    let _ = reply.send(response.name());
                });
            }
        })
    }
    fn active_requests(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }
}

const CLASSES: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::IdempotentWithKey { scope: KeyScope::Zone, window: 12 * SECOND },
    Idempotency::NonIdempotent,
];

fn list(revision: u64, phases: &[EndpointPhase]) -> EndpointList {
    let record = |(number, &phase): (usize, &EndpointPhase)| ListedEndpoint {
        id: format!("r{number}"),
        address: format!("m{number}:1").parse().expect("valid address"),
        zone: format!("z{number}"),
        kind: "m".into(),
        cell: number as u32,
        phase,
        started_at: None,
        size: None,
    };
    EndpointList { revision, complete: true, endpoints: phases.iter().enumerate().map(record).collect() }
}

/// Proxy with in-memory interfaces only; `send` starts a client's request.
struct TestProxy {
    context: Arc<ProxyContext>,
    upstream: Arc<InMemoryUpstream>,
    lists: mpsc::Sender<EndpointList>,
}

impl TestProxy {
    async fn start(dispatch_results: &[DispatchResult]) -> TestProxy {
        let class = |&idempotency: &Idempotency| RequestClass {
            latency_objective: 5 * SECOND,
            idempotency,
            ..RequestClass::default()
        };
        let settings = Settings {
            classes: CLASSES.iter().map(class).collect(),
            max_attempts: 4,
            cancellation_allowed: true,
            ..Settings::default()
        };
        let proxy_settings = ProxySettings {
            classes: ["safe", "keyed", "once"].map(str::to_owned).to_vec(),
            idempotency: CLASSES.to_vec(),
            tenants: Vec::new(),
            zones: Vec::new(),
            worker_kinds: Vec::new(),
            connect_timeout: SECOND,
            keep_alive_timeout: SECOND,
            sends_retry_after: false,
            max_retry_after: SECOND,
        };
        let clock = Clock::start();
        let endpoints = Arc::new(EndpointTable::new(&proxy_settings));
        let recorder = EventRecorder::new(Recorder::disabled(), Arc::clone(&endpoints), &proxy_settings);
        let dispatcher = Box::new(Dispatcher::new(settings, 7).expect("settings are valid"));
        let policy = PolicyHandle::new(dispatcher, false, clock, Arc::clone(&recorder));
        let upstream = Arc::new(InMemoryUpstream {
            dispatch_results: Mutex::new(dispatch_results.to_vec().into()),
            ..Default::default()
        });
        let (lists, list_receiver) = mpsc::channel(4);
        let publisher = EndpointPublisher::new(endpoints, Arc::clone(&policy));
        tokio::spawn(Box::new(InMemorySource(list_receiver)).follow(publisher));
        let context = ProxyContext {
            clock,
            policy,
            upstream: upstream.clone(),
            settings: proxy_settings,
            recorder,
            shutdown: Shutdown::default(),
        };
        TestProxy { context: Arc::new(context), upstream, lists }
    }
    async fn publish(&self, list: EndpointList) {
        self.lists.send(list).await.expect("source is running");
        settle().await;
    }
    fn send(&self, id: u64, class: u32) -> request_task::ResponseHandle {
        request_task::spawn(&self.context, self.admission(id, class))
    }
    fn admission(&self, id: u64, class: u32) -> AdmissionRequest {
        let request = IncomingRequest {
            request: RequestId(id),
            class,
            time_left: 4 * SECOND,
            ..IncomingRequest::default()
        };
        let upstream_request = UpstreamRequest {
            id: format!("{id:016x}"),
            path: "/".parse().expect("valid path"),
            headers: Default::default(),
            idempotency: CLASSES[class as usize],
            body: Bytes::new(),
            client: Default::default(),
        };
        AdmissionRequest { request, deadline: from_now(request.time_left), upstream_request }
    }
    fn dispatched(&self) -> Vec<WorkerId> {
        self.upstream.dispatched.lock().expect("lock is not poisoned").clone()
    }
    /// Delivers a worker's callback; returns false if the request has completed.
    fn call_back(&self, id: u64, worker: WorkerId, event: WorkerEvent) -> bool {
        self.context.policy.deliver_worker_event(RequestId(id), worker, event)
    }
}

/// Lets all tasks run until each of them waits; on one thread, 32 yields are enough for that.
async fn settle() {
    for _ in 0..32 {
        tokio::task::yield_now().await;
    }
}

fn served() -> WorkerEvent {
    WorkerEvent::Completed(AttemptCompletion {
        outcome: Outcome::Served,
        result: Some(Bytes::from_static(b"result")),
        load_report: None,
    })
}

#[tokio::test(start_paused = true)]
async fn a_request_is_served_through_in_memory_interfaces() {
    let proxy = TestProxy::start(&[]).await;
    proxy.publish(list(1, &[EndpointPhase::Serving])).await;
    let mut response = proxy.send(1, 2);
    settle().await;
    assert_eq!(proxy.dispatched(), [WorkerId(0)]);
    assert!(proxy.call_back(1, WorkerId(0), WorkerEvent::Progress(Progress::Started)));
    assert!(proxy.call_back(1, WorkerId(0), served()));
    assert_eq!(response.final_response().await, FinalResponse::Served(Bytes::from_static(b"result")));
    settle().await;
    assert!(!proxy.call_back(1, WorkerId(0), served()), "a second callback has no task to receive it");
    assert_eq!(proxy.send(1, 2).final_response().await, FinalResponse::Duplicate);
    assert_eq!(proxy.dispatched().len(), 1);
}

/// The worker's clock is an hour ahead, or an hour behind so that earlier lists contradict the worker's
/// start.
///
/// If the listed start were used, the worker would be in slow start for an hour, or not at all. During the
/// slow start, the policy rejects a request whose service-time estimate is one second.
#[tokio::test(start_paused = true)]
async fn a_worker_whose_listed_start_is_wrong_by_an_hour_completes_its_slow_start() {
    let (hour, slow_start) = (3_600 * SECOND, 10 * SECOND);
    for is_ahead in [true, false] {
        let proxy = TestProxy::start(&[]).await;
        proxy.publish(list(1, &[])).await;
        let now = proxy.context.clock.now();
        let mut started = list(2, &[EndpointPhase::Serving]);
        started.endpoints[0].started_at = Some(if is_ahead { now + hour } else { now - hour });
        proxy.publish(started).await;
        let mut response = proxy.send(1, 2);
        assert!(
            matches!(response.final_response().await, FinalResponse::Rejected { .. }),
            "worker's clock ahead: {is_ahead}"
        );
        tokio::time::advance(Duration::from_micros(slow_start + SECOND)).await;
        let _response = proxy.send(2, 2);
        settle().await;
        assert_eq!(proxy.dispatched(), [WorkerId(0)], "worker's clock ahead: {is_ahead}");
    }
}

/// For each first outcome and class, the request is served by the other worker or fails after one attempt.
#[tokio::test(start_paused = true)]
async fn a_request_that_may_have_run_is_retried_only_as_its_class_allows() {
    let first_outcomes =
        [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Superseded, Outcome::Reset, Outcome::Error];
    let mut id = 10;
    for first in first_outcomes {
        for class in 0..3 {
            let proxy = TestProxy::start(&[Err(first.into())]).await;
            proxy.publish(list(1, &[EndpointPhase::Serving, EndpointPhase::Serving])).await;
            id += 1;
            let mut response = proxy.send(id, class);
            settle().await;
            let dispatched = proxy.dispatched();
            // The workers are in different zones, and the idempotency key's scope is one zone.
            let may_retry = first.never_ran() || CLASSES[class as usize] == Idempotency::Idempotent;
            assert_eq!(dispatched.len(), if may_retry { 2 } else { 1 }, "{first:?} of class {class}");
            if may_retry {
                assert_ne!(dispatched[0], dispatched[1]);
                assert!(proxy.call_back(id, dispatched[1], served()));
                assert!(matches!(response.final_response().await, FinalResponse::Served(_)));
            } else {
                assert_eq!(response.final_response().await, FinalResponse::Failed);
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_in_memory_downstream_encodes_final_responses() {
    let proxy = TestProxy::start(&[]).await;
    proxy.publish(list(1, &[EndpointPhase::Serving])).await;
    let (clients, client_receiver) = mpsc::channel(8);
    let (context, clients_mutex) = (Arc::clone(&proxy.context), Mutex::new(client_receiver));
    let downstream: Arc<dyn Downstream> =
        Arc::new(InMemoryDownstream { context, clients: clients_mutex, busy: Arc::default() });
    tokio::spawn(Arc::clone(&downstream).accept());
    let mut responses = Vec::new();
    for (id, class) in [(1, 2), (2, 0)] {
        let (reply, response) = oneshot::channel();
        clients.send((proxy.admission(id, class), reply)).await.expect("downstream is accepting");
        responses.push(response);
    }
    settle().await;
    assert_eq!(downstream.active_requests(), 2);
    proxy.call_back(1, WorkerId(0), served());
    proxy.call_back(2, WorkerId(0), WorkerEvent::Completed(Outcome::Rejected.into()));
    settle().await;
    // `refused` is the name of a rejection in logs and in the event log.
    assert_eq!((responses.remove(0).await, responses.remove(0).await), (Ok("served"), Ok("refused")));
    assert_eq!(downstream.active_requests(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_client_that_disconnects_has_its_attempt_cancelled_upstream() {
    let proxy = TestProxy::start(&[]).await;
    proxy.publish(list(1, &[EndpointPhase::Serving])).await;
    let response = proxy.send(1, 0);
    settle().await;
    drop(response);
    settle().await;
    assert_eq!(*proxy.upstream.cancelled.lock().expect("lock is not poisoned"), [WorkerId(0)]);
    assert_eq!(proxy.context.policy.active_requests(), 0);
    assert!(!proxy.call_back(1, WorkerId(0), served()), "a cancelled attempt has ended");
}

#[tokio::test(start_paused = true)]
async fn a_request_without_a_worker_response_fails_by_its_deadline() {
    let proxy = TestProxy::start(&[]).await;
    proxy.publish(list(1, &[EndpointPhase::Serving])).await;
    let started_at = Instant::now();
    let mut response = proxy.send(1, 2);
    assert_eq!(response.final_response().await, FinalResponse::Failed);
    assert!(started_at.elapsed().as_millis() <= 4_001, "{:?}", started_at.elapsed());
    assert_eq!(proxy.dispatched().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_draining_worker_gets_no_attempt_and_an_older_list_changes_nothing() {
    let proxy = TestProxy::start(&[]).await;
    proxy.publish(list(2, &[EndpointPhase::Draining, EndpointPhase::Serving])).await;
    proxy.publish(list(1, &[EndpointPhase::Serving, EndpointPhase::Draining])).await;
    for id in 1..4 {
        let _response = proxy.send(id, 2);
        settle().await;
        assert_eq!(proxy.dispatched().last(), Some(&WorkerId(1)));
        proxy.call_back(id, WorkerId(1), served());
        settle().await;
    }
    proxy.publish(list(3, &[])).await;
    assert!(matches!(
        proxy.send(9, 2).final_response().await,
        FinalResponse::Rejected { .. } | FinalResponse::Failed
    ));
    assert_eq!(proxy.dispatched().len(), 3, "a removed worker gets no attempt");
}

#[tokio::test(start_paused = true)]
async fn a_static_list_is_used_until_it_is_replaced() {
    let proxy = TestProxy::start(&[]).await;
    let (sender, lists) = watch::channel(list(1, &[EndpointPhase::Serving]));
    let endpoints = Arc::new(EndpointTable::new(&proxy.context.settings));
    let publisher = EndpointPublisher::new(endpoints, Arc::clone(&proxy.context.policy));
    tokio::spawn(Box::new(StaticEndpoints(lists)).follow(publisher));
    settle().await;
    let _first = proxy.send(1, 2);
    settle().await;
    assert_eq!(proxy.dispatched(), [WorkerId(0)]);
    sender.send_replace(list(2, &[EndpointPhase::Draining, EndpointPhase::Serving]));
    settle().await;
    let _second = proxy.send(2, 2);
    settle().await;
    assert_eq!(proxy.dispatched(), [WorkerId(0), WorkerId(1)]);
}

#[test]
fn all_connections_together_fit_within_the_descriptors() {
    use copperspread_proxy::descriptors::{max_client_connections, max_used_worker_connections};
    // Covers a connection being accepted, discovery's parallel calls, files and the runtime's descriptors. Idle
    // connections to workers need no share: they are closed when another connection needs a descriptor.
    let other = 24;
    for descriptors in [256, 384, 512, 768, 1024] {
        let connections = max_client_connections(descriptors) + max_used_worker_connections(descriptors);
        assert!(connections + other <= descriptors, "with {descriptors} descriptors");
    }
}
