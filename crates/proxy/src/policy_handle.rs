//! Holds the dispatcher, alone: hands it events, keeps its timers and brings its actions to the
//! flows' mailboxes.
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use copperspread_dispatcher::*;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;

use crate::clock::{Clock, from_now};
use crate::event_recorder::EventRecorder;
use crate::invariant;
use crate::messages::{RequestEvent, WorkerEvent};

/// The sending end of a flow's mailbox.
pub type RequestEventSender = mpsc::UnboundedSender<RequestEvent>;

/// How many ids of ended flows are remembered at least; twice as many at most.
const COMPLETED_REQUESTS_RETAINED: usize = 8_192;

/// The ids of the flows that ended last.
#[derive(Default)]
struct CompletedRequests {
    recent: HashSet<RequestId>,
    previous: HashSet<RequestId>,
}

impl CompletedRequests {
    fn insert(&mut self, request: RequestId) {
        if self.recent.len() >= COMPLETED_REQUESTS_RETAINED {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(request);
    }

    fn contains(&self, request: RequestId) -> bool {
        self.recent.contains(&request) || self.previous.contains(&request)
    }
}

struct Inner {
    policy: Box<dyn DispatchPolicy>,
    requests: HashMap<RequestId, RequestEventSender>,
    completed: CompletedRequests,
    actions: Vec<Action>,
    /// How many lists the module was told.
    version: u64,
    /// Probes that nobody has taken yet.
    pending_load_queries: VecDeque<WorkerId>,
}

/// The dispatcher and the way from it to the flows. Its lock is never held over an await.
pub struct PolicyHandle {
    clock: Clock,
    polls_endpoints: bool,
    inner: Mutex<Inner>,
    recorder: Arc<EventRecorder>,
    subscription_requested: Notify,
    load_query_requested: Notify,
}

impl PolicyHandle {
    /// Over what decides; `on_request` where the worker list comes only when it is asked for.
    pub fn new(
        dispatcher: Box<dyn DispatchPolicy>,
        on_request: bool,
        clock: Clock,
        witness: Arc<EventRecorder>,
    ) -> Arc<PolicyHandle> {
        let inner = Inner {
            policy: dispatcher,
            requests: HashMap::new(),
            completed: CompletedRequests::default(),
            actions: Vec::new(),
            version: 0,
            pending_load_queries: VecDeque::new(),
        };
        let (inner, subscription_requested, load_query_requested) =
            (Mutex::new(inner), Notify::new(), Notify::new());
        Arc::new(PolicyHandle {
            clock,
            polls_endpoints: on_request,
            inner,
            recorder: witness,
            subscription_requested,
            load_query_requested,
        })
    }

    /// Hands over one event; what comes of it is in the mailboxes, in order, when this returns.
    fn handle(self: &Arc<Self>, event: Event<'_>) {
        self.update(|inner, now, actions| inner.policy.handle(now, event, actions));
    }

    fn update(self: &Arc<Self>, event: impl FnOnce(&mut Inner, Micros, &mut Vec<Action>)) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let mut actions = std::mem::take(&mut inner.actions);
        event(&mut inner, self.clock.now(), &mut actions);
        for action in actions.drain(..) {
            self.recorder.action_decided(&action);
            let (request, mail) = match action {
                Action::Send { request, worker, .. } => (request, RequestEvent::Send(worker)),
                Action::Reject { request, retry_after, .. } => (request, RequestEvent::Reject(retry_after)),
                Action::Fail { request } => (request, RequestEvent::Fail),
                Action::Cancel { request, attempt } => (request, RequestEvent::Cancel(attempt)),
                Action::StartTimer { after, timer } => {
                    let decisions = Arc::clone(self);
                    let at = from_now(after);
                    tokio::spawn(async move {
                        sleep_until(at).await;
                        decisions.handle(Event::TimerExpired(timer));
                    });
                    continue;
                }
                Action::Subscribe => {
                    self.subscription_requested.notify_one();
                    continue;
                }
                Action::QueryLoad { worker } => {
                    inner.pending_load_queries.push_back(worker);
                    self.load_query_requested.notify_one();
                    continue;
                }
            };
            let delivered = inner.requests.get(&request).is_some_and(|flow| flow.send(mail).is_ok());
            invariant!(delivered, "an action finds its flow");
        }
        inner.actions = actions;
    }

    /// A flow begins; false if another one had its id.
    pub fn admit(self: &Arc<Self>, job: IncomingRequest, mailbox: RequestEventSender) -> bool {
        let mut fresh = false;
        self.update(|inner, now, actions| {
            // Guards against an id that comes twice: the module would not answer the second while the
            // first is open. Afterwards the same would run again, and a client that asks anew as soon
            // as it is turned away would be answered as fast as it can ask.
            if inner.completed.contains(job.request) {
                return;
            }
            if let Entry::Vacant(place) = inner.requests.entry(job.request) {
                place.insert(mailbox);
                fresh = true;
                self.recorder.request_accepted(&job);
                inner.policy.handle(now, Event::Request(job), actions);
            }
        });
        fresh
    }

    /// A scheduling ended.
    pub fn attempt_ended(self: &Arc<Self>, outcome: AttemptOutcome) {
        self.handle(Event::AttemptCompleted(outcome));
    }

    /// News of a scheduling that is still out.
    pub fn attempt_progress(self: &Arc<Self>, request: RequestId, attempt: u32, progress: Progress) {
        self.handle(Event::AttemptProgress { request, attempt, progress });
    }

    /// A flow's client has gone.
    pub fn client_disconnected(self: &Arc<Self>, request: RequestId) {
        self.handle(Event::ClientDisconnected(request));
    }

    /// News from discovery, whose order the table of entries has settled. Guards against revisions
    /// that begin anew where discovery moves: the module hears of a version that only grows.
    pub fn update_endpoints(self: &Arc<Self>, kind: EndpointUpdateKind, entries: &[Endpoint]) {
        self.update(|inner, now, actions| {
            inner.version += 1;
            self.recorder.endpoints_changed(kind, entries);
            let roster = EndpointUpdate { kind, version: inner.version, endpoints: entries };
            inner.policy.handle(now, Event::Endpoints(roster), actions);
        });
    }

    /// Whether the roster comes only after a subscription.
    pub fn polls_endpoints(&self) -> bool {
        self.polls_endpoints
    }

    /// Waits until the module asks for a subscription.
    pub async fn subscription_requested(&self) {
        self.subscription_requested.notified().await;
    }

    /// Waits until the module asks for a probe. For one taker.
    pub async fn next_load_query(&self) -> WorkerId {
        loop {
            let asked =
                self.inner.lock().unwrap_or_else(PoisonError::into_inner).pending_load_queries.pop_front();
            if let Some(worker) = asked {
                return worker;
            }
            self.load_query_requested.notified().await;
        }
    }

    /// What came of a probe.
    pub fn load_query_ended(
        self: &Arc<Self>,
        worker: WorkerId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) {
        self.handle(Event::LoadQueryCompleted { worker, outcome, report });
    }

    /// Brings a call-back to its flow; false if there is none any more.
    pub fn deliver_worker_event(&self, request: RequestId, worker: WorkerId, news: WorkerEvent) -> bool {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.requests.get(&request).is_some_and(|flow| flow.send(RequestEvent::Worker(worker, news)).is_ok())
    }

    /// A flow has ended with all its schedulings.
    pub fn request_completed(&self, request: RequestId) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.requests.remove(&request);
        inner.completed.insert(request);
    }

    /// How many flows have not ended.
    pub fn active_requests(&self) -> usize {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).requests.len()
    }
}
