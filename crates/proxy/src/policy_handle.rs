//! The owner of the dispatch policy. It passes events to the policy, runs the policy's timers, and passes the
//! policy's decisions to the tasks of the requests.
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use copperspread_dispatcher::{
    Action, AttemptOutcome, DispatchPolicy, Endpoint, EndpointUpdate, EndpointUpdateKind, Event,
    IncomingRequest, Micros, Progress, RequestId, Timer, WorkerId,
};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;

use crate::clock::{Clock, ClockReading, from_now};
use crate::event_recorder::EventRecorder;
use crate::invariant;
use crate::messages::{LoadQueryResult, RequestEvent, WorkerEvent};

/// The sending end of the channel through which a request's task receives its events.
pub type RequestEventSender = mpsc::UnboundedSender<RequestEvent>;

/// How many ids of completed requests are kept at least, to recognize a request that repeats an id. Old ids
/// are dropped many at a time, so that up to twice as many ids are kept (see [`CompletedRequests`]).
const MIN_COMPLETED_REQUESTS_RETAINED: usize = 8_192;

/// The ids of the requests that completed last.
///
/// The ids are kept in two sets, so that many old ids can be dropped at once. When the recent set is full, it
/// replaces the previous set, whose ids are dropped, and an empty recent set is begun.
#[derive(Default)]
struct CompletedRequests {
    recent: HashSet<RequestId>,
    previous: HashSet<RequestId>,
}

impl CompletedRequests {
    fn insert(&mut self, request: RequestId) {
        if self.recent.len() >= MIN_COMPLETED_REQUESTS_RETAINED {
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
    /// The number of endpoint updates that have been passed to the policy. It is also the version of the last
    /// endpoint update.
    endpoint_version: u64,
    /// The workers to which the policy wants to send a load query and that [`PolicyHandle::next_load_query`]
    /// has not returned yet.
    pending_load_queries: VecDeque<WorkerId>,
}

impl Inner {
    fn deliver(&self, request: RequestId, event: RequestEvent) {
        let is_delivered = self.requests.get(&request).is_some_and(|events| events.send(event).is_ok());
        invariant!(is_delivered, "an action finds its request");
    }
}

/// A shared handle to the dispatch policy, which passes the policy's decisions to the tasks of the requests.
/// The lock in this handle is never held across an await point.
pub struct PolicyHandle {
    clock: Clock,
    polls_endpoints: bool,
    inner: Mutex<Inner>,
    recorder: Arc<EventRecorder>,
    list_requested: Notify,
    load_query_requested: Notify,
}

impl PolicyHandle {
    /// Creates a handle that owns `policy`. `polls_endpoints` is the value that
    /// [`PolicyHandle::polls_endpoints`] returns.
    pub fn new(
        policy: Box<dyn DispatchPolicy>,
        polls_endpoints: bool,
        clock: Clock,
        recorder: Arc<EventRecorder>,
    ) -> Arc<PolicyHandle> {
        let inner = Inner {
            policy,
            requests: HashMap::new(),
            completed: CompletedRequests::default(),
            actions: Vec::new(),
            endpoint_version: 0,
            pending_load_queries: VecDeque::new(),
        };
        Arc::new(PolicyHandle {
            clock,
            polls_endpoints,
            inner: Mutex::new(inner),
            recorder,
            list_requested: Notify::new(),
            load_query_requested: Notify::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Passes an event to the policy. All actions with which the policy reacts are carried out in order
    /// before the method returns.
    fn handle(self: &Arc<Self>, event: Event<'_>) {
        self.with_policy(|inner, now, actions| inner.policy.handle(now, event, actions));
    }

    fn with_policy(self: &Arc<Self>, operation: impl FnOnce(&mut Inner, Micros, &mut Vec<Action>)) {
        let mut inner = self.lock();
        let mut actions = std::mem::take(&mut inner.actions);
        operation(&mut inner, self.clock.now(), &mut actions);
        for action in actions.drain(..) {
            self.recorder.action_decided(&action);
            self.execute_action(&mut inner, action);
        }
        inner.actions = actions;
    }

    fn execute_action(self: &Arc<Self>, inner: &mut Inner, action: Action) {
        match action {
            Action::Send { request, worker, .. } => inner.deliver(request, RequestEvent::Dispatch { worker }),
            Action::Reject { request, retry_after, reason } => {
                inner.deliver(request, RequestEvent::Reject { retry_after, reason });
            }
            Action::Fail { request } => inner.deliver(request, RequestEvent::Fail),
            Action::Cancel { request, attempt } => inner.deliver(request, RequestEvent::Cancel { attempt }),
            Action::StartTimer { after, timer } => self.start_timer(after, timer),
            Action::Subscribe => self.list_requested.notify_one(),
            Action::QueryLoad { worker } => {
                inner.pending_load_queries.push_back(worker);
                self.load_query_requested.notify_one();
            }
        }
    }

    /// Spawns a task that notifies the policy, `after` microseconds from now, that `timer` has expired.
    fn start_timer(self: &Arc<Self>, after: Micros, timer: Timer) {
        let handle = Arc::clone(self);
        let expiry = from_now(after);
        tokio::spawn(async move {
            sleep_until(expiry).await;
            handle.handle(Event::TimerExpired(timer));
        });
    }

    /// Passes a request to the policy, which then sends an attempt or rejects the request. Returns whether
    /// the request was passed.
    ///
    /// A request is not passed if another request with the same id is active or has recently completed.
    pub fn admit(self: &Arc<Self>, request: IncomingRequest, events: RequestEventSender) -> bool {
        let mut is_admitted = false;
        self.with_policy(|inner, now, actions| {
            // A request id is passed to the policy only once. The ids of the last completed requests are
            // therefore kept in `completed`, whatever their final responses were. A repeated id would have
            // these effects:
            //
            // While the first request is active, the policy would not answer the second request. If the first
            // request has been served, the second would run the same work again. If the first request has
            // been rejected, a client that repeats it at once would make the policy decide anew on each
            // repetition.
            if inner.completed.contains(request.request) {
                return;
            }
            if let Entry::Vacant(entry) = inner.requests.entry(request.request) {
                entry.insert(events);
                is_admitted = true;
                self.recorder.request_accepted(&request);
                inner.policy.handle(now, Event::Request(request), actions);
            }
        });
        is_admitted
    }

    /// Notifies the policy that an attempt of a request ended.
    pub fn attempt_ended(self: &Arc<Self>, outcome: AttemptOutcome) {
        self.handle(Event::AttemptCompleted(outcome));
    }

    /// Notifies the policy of a worker's report that an attempt has made progress.
    pub fn attempt_progress(self: &Arc<Self>, request: RequestId, attempt: u32, progress: Progress) {
        self.handle(Event::AttemptProgress { request, attempt, progress });
    }

    /// Notifies the policy that a request's client has disconnected.
    pub fn client_disconnected(self: &Arc<Self>, request: RequestId) {
        self.handle(Event::ClientDisconnected(request));
    }

    /// Notifies the policy of an endpoint update. Each update gets the next higher version.
    ///
    /// The endpoint table has already dropped lists that are older than the previous list. The revisions of
    /// lists are not used as versions, because they may start anew when the discovery service changes.
    pub fn update_endpoints(self: &Arc<Self>, kind: EndpointUpdateKind, endpoints: &[Endpoint]) {
        self.with_policy(|inner, now, actions| {
            inner.endpoint_version += 1;
            self.recorder.endpoints_changed(kind, endpoints);
            let update = EndpointUpdate { kind, version: inner.endpoint_version, endpoints };
            inner.policy.handle(now, Event::Endpoints(update), actions);
        });
    }

    /// Reads the scheduler's clock, from which the policy gets the time, and then the wall clock.
    pub fn read_clocks(&self) -> ClockReading {
        self.clock.read()
    }

    /// Returns whether the policy polls discovery, which means that it requests endpoint lists. Otherwise all
    /// lists are published without a request.
    ///
    /// A policy that polls requests a list at its start, and another each time it is notified that discovery
    /// gave no list. After a request has been answered by a list, later changes of the list are published
    /// without a request, until the policy is notified of a failure.
    pub fn polls_endpoints(&self) -> bool {
        self.polls_endpoints
    }

    /// Waits until the policy requests an endpoint list, by [`Action::Subscribe`].
    pub async fn list_requested(&self) {
        self.list_requested.notified().await;
    }

    /// Waits until the policy requests a load query, and returns the worker to which the load query is to be
    /// sent. Only one task may call this method.
    pub async fn next_load_query(&self) -> WorkerId {
        loop {
            let pending = self.lock().pending_load_queries.pop_front();
            if let Some(worker) = pending {
                return worker;
            }
            self.load_query_requested.notified().await;
        }
    }

    /// Notifies the policy of the result of a load query to a worker.
    pub fn load_query_ended(self: &Arc<Self>, worker: WorkerId, result: LoadQueryResult) {
        let LoadQueryResult { outcome, load_report: report } = result;
        self.handle(Event::LoadQueryCompleted { worker, outcome, report });
    }

    /// Passes a worker's report on an attempt to the task of the request. Returns false if the request has
    /// completed.
    pub fn deliver_worker_event(&self, request: RequestId, worker: WorkerId, event: WorkerEvent) -> bool {
        let inner = self.lock();
        let task = inner.requests.get(&request);
        task.is_some_and(|events| events.send(RequestEvent::Worker { worker, event }).is_ok())
    }

    /// Removes a completed request, whose attempts have all ended. The id of the request is kept to recognize
    /// a request that repeats the id.
    pub fn request_completed(&self, request: RequestId) {
        let mut inner = self.lock();
        inner.requests.remove(&request);
        inner.completed.insert(request);
    }

    /// Returns the number of requests that have not completed.
    pub fn active_requests(&self) -> usize {
        self.lock().requests.len()
    }
}
