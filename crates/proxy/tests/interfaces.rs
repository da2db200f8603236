//! Each door with a second, tiny implementation in memory: no socket, and the same rules.
use std::collections::VecDeque;
use std::future::poll_fn;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use copperspread_dispatcher::*;
use copperspread_event_log::writer::Recorder;
use copperspread_proxy::clock::{Clock, from_now};
use copperspread_proxy::context::ProxyContext;
use copperspread_proxy::discovery::static_list::StaticEndpoints;
use copperspread_proxy::discovery::{EndpointPublisher, EndpointSource};
use copperspread_proxy::downstream::Downstream;
use copperspread_proxy::endpoints::EndpointTable;
use copperspread_proxy::event_recorder::EventRecorder;
use copperspread_proxy::messages::{
    AdmissionRequest, AttemptCompletion, CancellationToken, DispatchResult, FinalResponse, UpstreamRequest,
    WorkerEvent,
};
use copperspread_proxy::policy_handle::PolicyHandle;
use copperspread_proxy::request_task;
use copperspread_proxy::shutdown::Shutdown;
use copperspread_proxy::upstream::Upstream;
use copperspread_settings::{EndpointList, EndpointPhase, EndpointRecord, ProxySettings};
use futures_util::future::BoxFuture;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

/// A back that keeps what it is given and answers by a script; without one it takes the job.
#[derive(Default)]
struct MemoryBack {
    script: Mutex<VecDeque<DispatchResult>>,
    handed: Mutex<Vec<WorkerId>>,
    given_up: Mutex<Vec<WorkerId>>,
}

impl Upstream for MemoryBack {
    fn dispatch<'a>(
        &'a self,
        worker: WorkerId,
        _: &'a UpstreamRequest,
        _: Instant,
        _: &'a CancellationToken,
    ) -> BoxFuture<'a, DispatchResult> {
        Box::pin(async move {
            self.handed.lock().expect("a lock").push(worker);
            self.script.lock().expect("a lock").pop_front().unwrap_or(Ok(()))
        })
    }
    fn worker_name(&self, worker: WorkerId) -> Arc<str> {
        format!("r{}", worker.0).into()
    }
    fn cancel(&self, worker: WorkerId, _: &UpstreamRequest) {
        self.given_up.lock().expect("a lock").push(worker);
    }
}

/// A source whose lists come through a channel; each is told whole.
struct MemorySource(mpsc::Receiver<EndpointList>);

impl EndpointSource for MemorySource {
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

/// A front whose clients are a channel: each brings a demand and a way back for the answer's word.
struct MemoryFront {
    node: Arc<ProxyContext>,
    clients: Mutex<mpsc::Receiver<(AdmissionRequest, oneshot::Sender<&'static str>)>>,
    busy: Arc<AtomicUsize>,
}

impl Downstream for MemoryFront {
    fn accept(self: Arc<Self>) -> BoxFuture<'static, ()> {
        Box::pin(async move {
            while let Some((demand, reply)) =
                poll_fn(|cx| self.clients.lock().expect("a lock").poll_recv(cx)).await
            {
                self.busy.fetch_add(1, Ordering::Relaxed);
                let mut held = request_task::spawn(&self.node, demand);
                let busy = Arc::clone(&self.busy);
                tokio::spawn(async move {
                    let answer = held.final_response().await;
                    busy.fetch_sub(1, Ordering::Relaxed);
                    let _ = reply.send(answer.name());
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
    let member = |(number, &phase): (usize, &EndpointPhase)| EndpointRecord {
        id: format!("r{number}"),
        address: format!("m{number}:1").parse().expect("an address"),
        zone: format!("z{number}"),
        kind: "m".into(),
        cell: number as u32,
        phase,
        started_at: None,
        size: None,
    };
    EndpointList { revision, complete: true, endpoints: phases.iter().enumerate().map(member).collect() }
}

/// A scheduler of which all doors lead into memory. It is the front itself: `ask` makes a demand.
struct House {
    node: Arc<ProxyContext>,
    back: Arc<MemoryBack>,
    lists: mpsc::Sender<EndpointList>,
}

impl House {
    async fn open(script: &[DispatchResult]) -> House {
        let class = |&effect: &Idempotency| RequestClass {
            latency_objective: 5 * SECOND,
            idempotency: effect,
            ..RequestClass::default()
        };
        let settings = Settings {
            classes: CLASSES.iter().map(class).collect(),
            max_attempts: 4,
            cancellation_allowed: true,
            ..Settings::default()
        };
        let own = ProxySettings {
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
        let entries = Arc::new(EndpointTable::new(&own));
        let witness = EventRecorder::new(Recorder::off(), Arc::clone(&entries), &own);
        let dispatcher = Box::new(Dispatcher::new(settings, 7).expect("good settings"));
        let decisions = PolicyHandle::new(dispatcher, false, clock, Arc::clone(&witness));
        let back = Arc::new(MemoryBack { script: Mutex::new(script.to_vec().into()), ..Default::default() });
        let (lists, lists_told) = mpsc::channel(4);
        let membership = EndpointPublisher::new(entries, Arc::clone(&decisions));
        tokio::spawn(Box::new(MemorySource(lists_told)).follow(membership));
        let ending = Shutdown::default();
        let node = ProxyContext {
            clock,
            policy: decisions,
            upstream: back.clone(),
            settings: own,
            recorder: witness,
            shutdown: ending,
        };
        House { node: Arc::new(node), back, lists }
    }
    async fn told(&self, list: EndpointList) {
        self.lists.send(list).await.expect("the source lives");
        settle().await;
    }
    fn ask(&self, id: u64, class: u32) -> request_task::ResponseHandle {
        request_task::spawn(&self.node, self.demand(id, class))
    }
    fn demand(&self, id: u64, class: u32) -> AdmissionRequest {
        let job = IncomingRequest {
            request: RequestId(id),
            class,
            time_left: 4 * SECOND,
            ..IncomingRequest::default()
        };
        let order = UpstreamRequest {
            id: format!("{id:016x}"),
            path: "/".parse().expect("a path"),
            headers: Default::default(),
            idempotency: CLASSES[class as usize],
            body: Bytes::new(),
            body_permit: None,
        };
        AdmissionRequest { request: job, deadline: from_now(job.time_left), upstream_request: order }
    }
    fn handed(&self) -> Vec<WorkerId> {
        self.back.handed.lock().expect("a lock").clone()
    }
    /// The back's news of a job, as a real server would tell it.
    fn news(&self, id: u64, worker: WorkerId, news: WorkerEvent) -> bool {
        self.node.policy.deliver_worker_event(RequestId(id), worker, news)
    }
}

/// Lets all tasks run until each waits: on one thread, some turns do.
async fn settle() {
    for _ in 0..32 {
        tokio::task::yield_now().await;
    }
}

fn done() -> WorkerEvent {
    WorkerEvent::Completed(AttemptCompletion {
        outcome: Outcome::Served,
        result: Some(Bytes::from_static(b"result")),
        load_report: None,
    })
}

#[tokio::test(start_paused = true)]
async fn a_job_goes_from_door_to_door_without_a_socket() {
    let house = House::open(&[]).await;
    house.told(list(1, &[EndpointPhase::Serving])).await;
    let mut held = house.ask(1, 2);
    settle().await;
    assert_eq!(house.handed(), [WorkerId(0)]);
    assert!(house.news(1, WorkerId(0), WorkerEvent::Progress(Progress::Started)));
    assert!(house.news(1, WorkerId(0), done()));
    assert_eq!(held.final_response().await, FinalResponse::Served(Bytes::from_static(b"result")));
    settle().await;
    assert!(!house.news(1, WorkerId(0), done()), "no flow is left for a second word");
    assert_eq!(house.ask(1, 2).final_response().await, FinalResponse::Duplicate);
    assert_eq!(house.handed().len(), 1);
}

// What each first end allows, by class: served at the other server, or a failure after one hand-over.
#[tokio::test(start_paused = true)]
async fn what_may_have_run_goes_on_only_as_its_class_allows() {
    let ends =
        [Outcome::Rejected, Outcome::ConnectFailed, Outcome::Superseded, Outcome::Reset, Outcome::Error];
    let mut id = 10;
    for first in ends {
        for class in 0..3 {
            let house = House::open(&[Err(first.into())]).await;
            house.told(list(1, &[EndpointPhase::Serving, EndpointPhase::Serving])).await;
            id += 1;
            let mut held = house.ask(id, class);
            settle().await;
            let handed = house.handed();
            // The two stand in different zones, so that a key's scope ends between them.
            let may = first.never_ran() || CLASSES[class as usize] == Idempotency::Idempotent;
            assert_eq!(handed.len(), if may { 2 } else { 1 }, "{first:?} of class {class}");
            if may {
                assert_ne!(handed[0], handed[1]);
                assert!(house.news(id, handed[1], done()));
                assert!(matches!(held.final_response().await, FinalResponse::Served(_)));
            } else {
                assert_eq!(held.final_response().await, FinalResponse::Failed);
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_second_front_gives_answers_its_own_form() {
    let house = House::open(&[]).await;
    house.told(list(1, &[EndpointPhase::Serving])).await;
    let (clients, asked) = mpsc::channel(8);
    let (node, clients_told) = (Arc::clone(&house.node), Mutex::new(asked));
    let front: Arc<dyn Downstream> =
        Arc::new(MemoryFront { node, clients: clients_told, busy: Arc::default() });
    tokio::spawn(Arc::clone(&front).accept());
    let mut words = Vec::new();
    for (id, class) in [(1, 2), (2, 0)] {
        let (reply, word) = oneshot::channel();
        clients.send((house.demand(id, class), reply)).await.expect("it accepts");
        words.push(word);
    }
    settle().await;
    assert_eq!(front.busy(), 2);
    house.news(1, WorkerId(0), done());
    house.news(2, WorkerId(0), WorkerEvent::Completed(Outcome::Rejected.into()));
    settle().await;
    assert_eq!((words.remove(0).await, words.remove(0).await), (Ok("served"), Ok("refused")));
    assert_eq!(front.busy(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_front_that_lets_go_has_the_scheduling_given_up_at_the_back() {
    let house = House::open(&[]).await;
    house.told(list(1, &[EndpointPhase::Serving])).await;
    let held = house.ask(1, 0);
    settle().await;
    drop(held);
    settle().await;
    assert_eq!(*house.back.given_up.lock().expect("a lock"), [WorkerId(0)]);
    assert_eq!(house.node.policy.active_requests(), 0);
    assert!(!house.news(1, WorkerId(0), done()), "what is given up has ended");
}

#[tokio::test(start_paused = true)]
async fn a_back_that_says_nothing_leaves_an_answer_before_the_deadline() {
    let house = House::open(&[]).await;
    house.told(list(1, &[EndpointPhase::Serving])).await;
    let began = Instant::now();
    let mut held = house.ask(1, 2);
    assert_eq!(held.final_response().await, FinalResponse::Failed);
    assert!(began.elapsed().as_millis() <= 4_001, "{:?}", began.elapsed());
    assert_eq!(house.handed().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_source_drains_and_an_older_list_changes_nothing() {
    let house = House::open(&[]).await;
    house.told(list(2, &[EndpointPhase::Draining, EndpointPhase::Serving])).await;
    house.told(list(1, &[EndpointPhase::Serving, EndpointPhase::Draining])).await;
    for id in 1..4 {
        let _held = house.ask(id, 2);
        settle().await;
        assert_eq!(house.handed().last(), Some(&WorkerId(1)));
        house.news(id, WorkerId(1), done());
        settle().await;
    }
    house.told(list(3, &[])).await;
    assert!(matches!(
        house.ask(9, 2).final_response().await,
        FinalResponse::Rejected { .. } | FinalResponse::Failed
    ));
    assert_eq!(house.handed().len(), 3, "nothing goes to what left");
}

#[tokio::test(start_paused = true)]
async fn a_fixed_list_serves_and_is_replaced() {
    let house = House::open(&[]).await;
    let (sender, lists) = watch::channel(list(1, &[EndpointPhase::Serving]));
    let entries = Arc::new(EndpointTable::new(&house.node.settings));
    let membership = EndpointPublisher::new(entries, Arc::clone(&house.node.policy));
    tokio::spawn(Box::new(StaticEndpoints(lists)).follow(membership));
    settle().await;
    let _first = house.ask(1, 2);
    settle().await;
    assert_eq!(house.handed(), [WorkerId(0)]);
    sender.send_replace(list(2, &[EndpointPhase::Draining, EndpointPhase::Serving]));
    settle().await;
    let _second = house.ask(2, 2);
    settle().await;
    assert_eq!(house.handed(), [WorkerId(0), WorkerId(1)]);
}

#[test]
fn all_connections_together_fit_within_the_descriptors() {
    use copperspread_proxy::downstream::connection_limits::max_connections;
    use copperspread_proxy::upstream::http::limits::{max_dispatches, max_idle_per_worker, max_load_queries};
    // The largest fleet, one connection being accepted, discovery's, and what the runtime holds.
    let (real_servers, own) = (22, 12);
    for sockets in [256, 384, 512, 768, 1024] {
        let real =
            max_dispatches(sockets) + max_load_queries(sockets) + real_servers * max_idle_per_worker(sockets);
        assert!(max_connections(sockets, 192.0) + real + own <= sockets, "{sockets}");
    }
}
