//! Each interface with a second, small implementation in memory: no socket, and the same rules.
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
use copperspread_settings::{EndpointList, EndpointPhase, EndpointRecord, ProxySettings};
use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// An upstream that records what it is given and answers by a script; without one it accepts the attempt.
#[derive(Default)]
struct InMemoryUpstream {
    script: Mutex<VecDeque<DispatchResult>>,
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
            self.dispatched.lock().expect("a lock").push(target.worker);
            self.script.lock().expect("a lock").pop_front().unwrap_or(Ok(()))
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
        self.cancelled.lock().expect("a lock").push(target.worker);
        Box::pin(std::future::ready(CancellationOutcome::Acknowledged))
    }
}

/// A source whose lists come through a channel; each is published as a whole.
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

/// One client's request, and where the name of its final response goes.
type ClientRequest = (AdmissionRequest, oneshot::Sender<&'static str>);

/// A downstream whose clients are a channel.
struct InMemoryDownstream {
    context: Arc<ProxyContext>,
    clients: Mutex<mpsc::Receiver<ClientRequest>>,
    busy: Arc<AtomicUsize>,
}

impl Downstream for InMemoryDownstream {
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            while let Some((admission, reply)) =
                poll_fn(|cx| self.clients.lock().expect("a lock").poll_recv(cx)).await
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
    fn busy(&self) -> usize {
        self.busy.load(Ordering::Relaxed)
    }
}

const CLASSES: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::IdempotentWithKey { scope: KeyScope::Zone, window: 12 * SECOND },
    Idempotency::NonIdempotent,
];

fn list(revision: u64, phases: &[EndpointPhase]) -> EndpointList {
    let record = |(number, &phase): (usize, &EndpointPhase)| EndpointRecord {
        id: format!("r{number}"),
        address: format!("m{number}:1").parse().expect("an address"),
        zone: format!("z{number}"),
        kind: "m".into(),
        cell: number as u32,
        phase,
        started_at: None,
        size: None,
    };
    EndpointList { revision, complete: true, endpoints: phases.iter().enumerate().map(record).collect() }
}

/// A proxy whose interfaces are all in memory. It is the client itself: `send` starts a request.
struct TestProxy {
    context: Arc<ProxyContext>,
    upstream: Arc<InMemoryUpstream>,
    lists: mpsc::Sender<EndpointList>,
}

impl TestProxy {
    async fn start(script: &[DispatchResult]) -> TestProxy {
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
            kinds: Vec::new(),
            connect_timeout: SECOND,
            keep_alive_timeout: SECOND,
            sends_retry_after: false,
            max_retry_after: SECOND,
        };
        let clock = Clock::start();
        let endpoints = Arc::new(EndpointTable::new(&proxy_settings));
        let recorder = EventRecorder::new(Recorder::disabled(), Arc::clone(&endpoints), &proxy_settings);
        let dispatcher = Box::new(Dispatcher::new(settings, 7).expect("good settings"));
        let policy = PolicyHandle::new(dispatcher, false, clock, Arc::clone(&recorder));
        let upstream =
            Arc::new(InMemoryUpstream { script: Mutex::new(script.to_vec().into()), ..Default::default() });
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
        self.lists.send(list).await.expect("the source runs");
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
            path: "/".parse().expect("a path"),
            headers: Default::default(),
            idempotency: CLASSES[class as usize],
            body: Bytes::new(),
            body_permit: None,
            client: Default::default(),
        };
        AdmissionRequest { request, deadline: from_now(request.time_left), upstream_request }
    }
    fn dispatched(&self) -> Vec<WorkerId> {
        self.upstream.dispatched.lock().expect("a lock").clone()
    }
    /// A worker's callback; false if the request has completed.
    fn call_back(&self, id: u64, worker: WorkerId, event: WorkerEvent) -> bool {
        self.context.policy.deliver_worker_event(RequestId(id), worker, event)
    }
}

/// Lets all tasks run until each waits: on one thread, some turns do.
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
async fn a_request_is_served_through_all_interfaces_without_a_socket() {
    let proxy = TestProxy::start(&[]).await;
    proxy.publish(list(1, &[EndpointPhase::Serving])).await;
    let mut response = proxy.send(1, 2);
    settle().await;
    assert_eq!(proxy.dispatched(), [WorkerId(0)]);
    assert!(proxy.call_back(1, WorkerId(0), WorkerEvent::Progress(Progress::Started)));
    assert!(proxy.call_back(1, WorkerId(0), served()));
    assert_eq!(response.final_response().await, FinalResponse::Served(Bytes::from_static(b"result")));
    settle().await;
    assert!(!proxy.call_back(1, WorkerId(0), served()), "no task is left for a second callback");
    assert_eq!(proxy.send(1, 2).final_response().await, FinalResponse::Duplicate);
    assert_eq!(proxy.dispatched().len(), 1);
}

// What each first outcome allows, by class: served at the other worker, or a failure after one attempt.
/// The wall clock was set forward, or back and the lists contradict it: by the worker's start as listed it would
/// stay cold for an hour, or be warm at once. It has room for a request of a second only once it is warm.
#[tokio::test(start_paused = true)]
async fn a_worker_whose_start_was_stamped_by_a_stepped_clock_is_cold_and_then_warm() {
    let (hour, slow_start) = (3_600 * SECOND, 10 * SECOND);
    for is_ahead in [true, false] {
        let proxy = TestProxy::start(&[]).await;
        proxy.publish(list(1, &[])).await;
        let now = proxy.context.clock.now();
        let mut started = list(2, &[EndpointPhase::Serving]);
        started.endpoints[0].started_at = Some(if is_ahead { now + hour } else { now - hour });
        proxy.publish(started).await;
        let mut response = proxy.send(1, 2);
        assert!(matches!(response.final_response().await, FinalResponse::Rejected { .. }), "{is_ahead}");
        tokio::time::advance(Duration::from_micros(slow_start + SECOND)).await;
        let _response = proxy.send(2, 2);
        settle().await;
        assert_eq!(proxy.dispatched(), [WorkerId(0)], "{is_ahead}");
    }
}

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
            // The two stand in different zones, so that a key's scope ends between them.
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
async fn another_downstream_gives_final_responses_its_own_form() {
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
        clients.send((proxy.admission(id, class), reply)).await.expect("it accepts");
        responses.push(response);
    }
    settle().await;
    assert_eq!(downstream.busy(), 2);
    proxy.call_back(1, WorkerId(0), served());
    proxy.call_back(2, WorkerId(0), WorkerEvent::Completed(Outcome::Rejected.into()));
    settle().await;
    assert_eq!((responses.remove(0).await, responses.remove(0).await), (Ok("served"), Ok("refused")));
    assert_eq!(downstream.busy(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_client_that_disconnects_has_its_attempt_cancelled_upstream() {
    let proxy = TestProxy::start(&[]).await;
    proxy.publish(list(1, &[EndpointPhase::Serving])).await;
    let response = proxy.send(1, 0);
    settle().await;
    drop(response);
    settle().await;
    assert_eq!(*proxy.upstream.cancelled.lock().expect("a lock"), [WorkerId(0)]);
    assert_eq!(proxy.context.policy.active_requests(), 0);
    assert!(!proxy.call_back(1, WorkerId(0), served()), "a cancelled attempt has ended");
}

#[tokio::test(start_paused = true)]
async fn a_silent_upstream_leaves_a_final_response_by_the_deadline() {
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
    assert_eq!(proxy.dispatched().len(), 3, "nothing goes to a removed worker");
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
    use copperspread_proxy::downstream::connection_limits::max_connections;
    use copperspread_proxy::upstream::http::limits::{
        max_cancellations, max_dispatches, max_idle_per_worker, max_load_queries,
    };
    // The largest fleet, one connection being accepted, discovery's, and what the runtime holds.
    let (workers, other) = (22, 12);
    for descriptors in [256, 384, 512, 768, 1024] {
        let upstream = max_dispatches(descriptors)
            + max_load_queries(descriptors)
            + workers * max_idle_per_worker(descriptors);
        assert!(max_connections(descriptors, 192.0) + upstream + other <= descriptors, "{descriptors}");
        let idle = workers * max_idle_per_worker(descriptors);
        assert!(
            max_cancellations(descriptors) <= idle,
            "cancellations use what is kept for idle connections"
        );
    }
}
