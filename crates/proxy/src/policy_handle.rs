//! Holds the dispatcher, alone: hands it events, keeps its timers and brings its actions to the
//! flows' mailboxes.
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};

use copperspread_dispatcher::*;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep_until;

use crate::clock::{Clock, from_now};
use crate::event_recorder::Witness;
use crate::invariant;
use crate::messages::{Mail, News};

/// The sending end of a flow's mailbox.
pub type Mailbox = mpsc::UnboundedSender<Mail>;

/// How many ids of ended flows are remembered at least; twice as many at most.
const REMEMBERED: usize = 8_192;

/// The ids of the flows that ended last.
#[derive(Default)]
struct Ended {
    last: HashSet<RequestId>,
    before: HashSet<RequestId>,
}

impl Ended {
    fn insert(&mut self, request: RequestId) {
        if self.last.len() >= REMEMBERED {
            self.before = std::mem::take(&mut self.last);
        }
        self.last.insert(request);
    }

    fn contains(&self, request: RequestId) -> bool {
        self.last.contains(&request) || self.before.contains(&request)
    }
}

struct Inner {
    dispatcher: Box<dyn Decide>,
    flows: HashMap<RequestId, Mailbox>,
    ended: Ended,
    actions: Vec<Action>,
    /// How many lists the module was told.
    version: u64,
    /// Probes that nobody has taken yet.
    probes: VecDeque<WorkerId>,
}

/// The dispatcher and the way from it to the flows. Its lock is never held over an await.
pub struct Decisions {
    clock: Clock,
    on_request: bool,
    inner: Mutex<Inner>,
    witness: Arc<Witness>,
    subscribe: Notify,
    probe: Notify,
}

impl Decisions {
    /// Over what decides; `on_request` where the worker list comes only when it is asked for.
    pub fn new(
        dispatcher: Box<dyn Decide>,
        on_request: bool,
        clock: Clock,
        witness: Arc<Witness>,
    ) -> Arc<Decisions> {
        let inner = Inner {
            dispatcher,
            flows: HashMap::new(),
            ended: Ended::default(),
            actions: Vec::new(),
            version: 0,
            probes: VecDeque::new(),
        };
        let (inner, subscribe, probe) = (Mutex::new(inner), Notify::new(), Notify::new());
        Arc::new(Decisions { clock, on_request, inner, witness, subscribe, probe })
    }

    /// Hands over one event; what comes of it is in the mailboxes, in order, when this returns.
    fn tell(self: &Arc<Self>, event: Event<'_>) {
        self.with(|inner, now, actions| inner.dispatcher.handle(now, event, actions));
    }

    fn with(self: &Arc<Self>, event: impl FnOnce(&mut Inner, Micros, &mut Vec<Action>)) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let mut actions = std::mem::take(&mut inner.actions);
        event(&mut inner, self.clock.now(), &mut actions);
        for action in actions.drain(..) {
            self.witness.decided(&action);
            let (request, mail) = match action {
                Action::Send { request, worker, .. } => (request, Mail::Send(worker)),
                Action::Refuse { request, retry_after, .. } => (request, Mail::Refuse(retry_after)),
                Action::Fail { request } => (request, Mail::Fail),
                Action::Cancel { request, attempt } => (request, Mail::Cancel(attempt)),
                Action::Wake { after, timer } => {
                    let decisions = Arc::clone(self);
                    let at = from_now(after);
                    tokio::spawn(async move {
                        sleep_until(at).await;
                        decisions.tell(Event::Timer(timer));
                    });
                    continue;
                }
                Action::Subscribe => {
                    self.subscribe.notify_one();
                    continue;
                }
                Action::Probe { worker } => {
                    inner.probes.push_back(worker);
                    self.probe.notify_one();
                    continue;
                }
            };
            let delivered = inner.flows.get(&request).is_some_and(|flow| flow.send(mail).is_ok());
            invariant!(delivered, "an action finds its flow");
        }
        inner.actions = actions;
    }

    /// A flow begins; false if another one had its id.
    pub fn job(self: &Arc<Self>, job: Job, mailbox: Mailbox) -> bool {
        let mut fresh = false;
        self.with(|inner, now, actions| {
            // Guards against an id that comes twice: the module would not answer the second while the
            // first is open. Afterwards the same would run again, and a client that asks anew as soon
            // as it is turned away would be answered as fast as it can ask.
            if inner.ended.contains(job.request) {
                return;
            }
            if let Entry::Vacant(place) = inner.flows.entry(job.request) {
                place.insert(mailbox);
                fresh = true;
                self.witness.taken(&job);
                inner.dispatcher.handle(now, Event::Job(job), actions);
            }
        });
        fresh
    }

    /// A scheduling ended.
    pub fn outcome(self: &Arc<Self>, outcome: AttemptOutcome) {
        self.tell(Event::Outcome(outcome));
    }

    /// News of a scheduling that is still out.
    pub fn progress(self: &Arc<Self>, request: RequestId, attempt: u32, progress: Progress) {
        self.tell(Event::Progress { request, attempt, progress });
    }

    /// A flow's client has gone.
    pub fn gone(self: &Arc<Self>, request: RequestId) {
        self.tell(Event::Gone(request));
    }

    /// News from discovery, whose order the table of entries has settled. Guards against revisions
    /// that begin anew where discovery moves: the module hears of a version that only grows.
    pub fn roster(self: &Arc<Self>, kind: RosterKind, entries: &[WorkerEntry]) {
        self.with(|inner, now, actions| {
            inner.version += 1;
            self.witness.roster(kind, entries);
            let roster = Roster { kind, version: inner.version, entries };
            inner.dispatcher.handle(now, Event::Roster(roster), actions);
        });
    }

    /// Whether the roster comes only after a subscription.
    pub fn on_request(&self) -> bool {
        self.on_request
    }

    /// Waits until the module asks for a subscription.
    pub async fn subscription(&self) {
        self.subscribe.notified().await;
    }

    /// Waits until the module asks for a probe. For one taker.
    pub async fn probe(&self) -> WorkerId {
        loop {
            let asked = self.inner.lock().unwrap_or_else(PoisonError::into_inner).probes.pop_front();
            if let Some(worker) = asked {
                return worker;
            }
            self.probe.notified().await;
        }
    }

    /// What came of a probe.
    pub fn probed(self: &Arc<Self>, worker: WorkerId, outcome: Outcome, report: Option<Report>) {
        self.tell(Event::Probed { worker, outcome, report });
    }

    /// Brings a call-back to its flow; false if there is none any more.
    pub fn news(&self, request: RequestId, worker: WorkerId, news: News) -> bool {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.flows.get(&request).is_some_and(|flow| flow.send(Mail::News(worker, news)).is_ok())
    }

    /// A flow has ended with all its schedulings.
    pub fn ended(&self, request: RequestId) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.flows.remove(&request);
        inner.ended.insert(request);
    }

    /// How many flows have not ended.
    pub fn flows(&self) -> usize {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner).flows.len()
    }
}
