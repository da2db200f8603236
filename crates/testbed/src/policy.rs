//! What chooses: the decision module, textbook baselines, and schedulers that are broken on purpose.
use copperspread_dispatcher::{
    Action, AttemptOutcome, Discovery, DispatchPolicy, Dispatcher, Endpoint, EndpointUpdate,
    EndpointUpdateKind, Event, IncomingRequest, Micros, Outcome, Progress, Rejection, RequestId, SECOND,
    Settings, WorkerId, WorkerState,
};
use rand::RngExt;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::model::random::RandomStream;
use crate::model::worker::TrueState;

/// One scheduler's decisions.
pub trait Policy: DispatchPolicy {
    /// Whether it sees the truth before each job.
    fn needs_true_state(&self) -> bool {
        false
    }

    /// The truth, by worker.
    fn observe_true_state(&mut self, _truth: &[TrueState]) {}
}

impl Policy for Dispatcher {}

/// Which policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename = "Kind", rename_all = "snake_case", expecting = "enum Kind")]
pub enum PolicyKind {
    /// The decision module.
    Copperspread,
    /// Any ready worker.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest jobs of this scheduler.
    LeastOutstanding,
    /// The one with fewer jobs of this scheduler, of two at random.
    TwoChoices,
    /// The one with the least work of this scheduler, by hint and over its speed as learned; refuses none.
    LeastCost,
    /// The one that would truly end it first, refusing what would be too late.
    Oracle,
    /// The module, broken: answers some twice.
    AnswersTwice,
    /// The module, broken: answers some not at all.
    NeverAnswers,
    /// The module, broken: sends what may have run once more, to another zone too.
    Resends,
    /// The module, broken: heeds no drain.
    IgnoresDrains,
    /// Broken: sends all to what started last.
    FloodsTheNew,
}

impl PolicyKind {
    /// Those that are compared.
    pub const COMPARED: [PolicyKind; 7] = [
        PolicyKind::Copperspread,
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastOutstanding,
        PolicyKind::TwoChoices,
        PolicyKind::LeastCost,
        PolicyKind::Oracle,
    ];

    /// Its name, as it is written.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Makes one for a scheduler.
    ///
    /// # Errors
    /// Settings that the decision module does not take.
    pub fn build(
        self,
        settings: Settings,
        seed: u64,
        chance: RandomStream,
    ) -> Result<Box<dyn Policy>, String> {
        let module = |settings| Dispatcher::new(settings, seed).map_err(|e| e.to_string());
        let asks = settings.discovery == Discovery::Polled;
        let plain = |pick| Box::new(Baseline { must_subscribe: asks, ..Baseline::new(pick, chance.clone()) });
        Ok(match self {
            PolicyKind::Copperspread => Box::new(module(settings)?),
            PolicyKind::Random => plain(SelectionRule::Random),
            PolicyKind::RoundRobin => plain(SelectionRule::RoundRobin),
            PolicyKind::LeastOutstanding => plain(SelectionRule::LeastOutstanding),
            PolicyKind::TwoChoices => plain(SelectionRule::TwoChoices),
            PolicyKind::LeastCost => plain(SelectionRule::LeastCost),
            PolicyKind::Oracle => plain(SelectionRule::EarliestTrueFinish),
            PolicyKind::FloodsTheNew => plain(SelectionRule::Newest),
            PolicyKind::AnswersTwice
            | PolicyKind::NeverAnswers
            | PolicyKind::Resends
            | PolicyKind::IgnoresDrains => {
                let inner = module(settings)?;
                Box::new(FaultyPolicy {
                    inner,
                    fault: self,
                    endpoints: Vec::new(),
                    served_count: 0,
                    sent_to: FxHashMap::default(),
                    taken_over: FxHashSet::default(),
                })
            }
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SelectionRule {
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    LeastCost,
    EarliestTrueFinish,
    Newest,
}

/// A textbook policy: picks at arrival, and tries once more where an attempt never ran.
struct Baseline {
    rule: SelectionRule,
    random: RandomStream,
    workers: Vec<(WorkerState, Option<Micros>)>,
    ready: Vec<u32>,
    outstanding: Vec<u32>,
    /// Work of this scheduler at each worker, in core-seconds by hint.
    outstanding_work: Vec<f64>,
    /// Each worker's speed, as its jobs' running times against their hints tell.
    learned_speed: Vec<f64>,
    /// The list must be asked for.
    must_subscribe: bool,
    rotation: usize,
    true_states: Vec<TrueState>,
    open_requests: FxHashMap<RequestId, OpenRequest>,
}

struct OpenRequest {
    job: IncomingRequest,
    deadline: Micros,
    attempted: Vec<WorkerId>,
    /// When its last attempt was sent or, later, told to have started.
    started_at: Micros,
    answered: bool,
}

/// A job's work by its hint, in core-seconds.
fn hinted_work(job: &IncomingRequest) -> f64 {
    job.cost_hint.unwrap_or(1.0) * job.slots.unwrap_or(1.0)
}

/// Most attempts of a baseline.
const MAX_ATTEMPTS: usize = 3;
/// How much of a learned speed one job's time replaces.
const SPEED_LEARNING_RATE: f64 = 0.1;

impl Baseline {
    fn new(pick: SelectionRule, chance: RandomStream) -> Baseline {
        Baseline {
            rule: pick,
            random: chance,
            workers: Vec::new(),
            ready: Vec::new(),
            outstanding: Vec::new(),
            outstanding_work: Vec::new(),
            learned_speed: Vec::new(),
            must_subscribe: false,
            rotation: 0,
            true_states: Vec::new(),
            open_requests: FxHashMap::default(),
        }
    }

    fn update_endpoints(&mut self, roster: EndpointUpdate<'_>) {
        if matches!(roster.kind, EndpointUpdateKind::Full | EndpointUpdateKind::Cached) {
            self.workers.iter_mut().for_each(|worker| worker.0 = WorkerState::Removed);
        }
        for entry in roster.endpoints {
            let at = entry.worker.0 as usize;
            if self.workers.len() <= at {
                self.workers.resize(at + 1, (WorkerState::Removed, None));
                self.outstanding.resize(at + 1, 0);
                self.outstanding_work.resize(at + 1, 0.0);
                self.learned_speed.resize(at + 1, 1.0);
            }
            self.workers[at] = (entry.state, entry.started_at);
        }
        let ready = self.workers.iter().enumerate().filter(|(_, of)| of.0 == WorkerState::Ready);
        self.ready = ready.map(|(at, _)| at as u32).collect();
    }

    fn choose(&mut self, job: &IncomingRequest, tried: &[WorkerId]) -> Option<u32> {
        let ready: Vec<u32> = match tried {
            [] => std::mem::take(&mut self.ready),
            tried => self.ready.iter().copied().filter(|&at| !tried.contains(&WorkerId(at))).collect(),
        };
        let chosen = self.select(job, &ready);
        if tried.is_empty() {
            self.ready = ready;
        }
        chosen
    }

    fn select(&mut self, job: &IncomingRequest, ready: &[u32]) -> Option<u32> {
        if ready.is_empty() {
            return None;
        }
        let any = |chance: &mut RandomStream| ready[chance.random_range(0..ready.len())];
        Some(match self.rule {
            SelectionRule::Random => any(&mut self.random),
            SelectionRule::RoundRobin => {
                self.rotation += 1;
                ready[self.rotation % ready.len()]
            }
            SelectionRule::TwoChoices => {
                let (one, two) = (any(&mut self.random), any(&mut self.random));
                if self.outstanding[two as usize] < self.outstanding[one as usize] { two } else { one }
            }
            SelectionRule::LeastOutstanding => {
                // Ties go round, so that an idle fleet is used as a whole.
                self.rotation += 1;
                let from = self.rotation % ready.len();
                let order = (0..ready.len()).map(|step| ready[(from + step) % ready.len()]);
                order.min_by_key(|&at| self.outstanding[at as usize])?
            }
            SelectionRule::LeastCost => {
                // Ties go round, as above.
                self.rotation += 1;
                let (from, own) = (self.rotation % ready.len(), hinted_work(job));
                let cost =
                    |at: u32| (self.outstanding_work[at as usize] + own) / self.learned_speed[at as usize];
                let order = (0..ready.len()).map(|step| ready[(from + step) % ready.len()]);
                order.min_by(|&a, &b| cost(a).total_cmp(&cost(b)))?
            }
            SelectionRule::Newest => ready.iter().copied().max_by_key(|&at| self.workers[at as usize].1)?,
            SelectionRule::EarliestTrueFinish => {
                let ends = |at: u32| {
                    let of = self.true_states.get(at as usize).copied().unwrap_or_default();
                    let work = job.cost_hint.unwrap_or(1.0);
                    if of.accepts_jobs { of.wait + work / of.rate.max(1e-9) } else { f64::INFINITY }
                };
                let best = ready.iter().copied().min_by(|&a, &b| ends(a).total_cmp(&ends(b)))?;
                if ends(best) * SECOND as f64 > job.time_left as f64 {
                    return None;
                }
                best
            }
        })
    }

    fn send(&mut self, now: Micros, id: RequestId, mut open: OpenRequest, actions: &mut Vec<Action>) {
        match self.choose(&open.job, &open.attempted) {
            Some(at) => {
                let worker = WorkerId(at);
                open.attempted.push(worker);
                self.outstanding[at as usize] += 1;
                self.outstanding_work[at as usize] += hinted_work(&open.job);
                open.started_at = now;
                actions.push(Action::Send { request: id, worker, estimate: 0 });
                self.open_requests.insert(id, open);
            }
            None => actions.push(Action::Reject {
                request: id,
                retry_after: SECOND,
                reason: Rejection::NoEligibleWorker,
            }),
        }
    }

    fn complete_attempt(&mut self, now: Micros, end: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(mut open) = self.open_requests.remove(&end.request) else { return };
        if let Some(worker) = open.attempted.get(end.attempt as usize) {
            let at = worker.0 as usize;
            self.outstanding[at] = self.outstanding[at].saturating_sub(1);
            // What is left of many sums and differences is no work.
            self.outstanding_work[at] = if self.outstanding[at] == 0 {
                0.0
            } else {
                self.outstanding_work[at] - hinted_work(&open.job)
            };
            let took = now.saturating_sub(open.started_at) as f64 / SECOND as f64;
            if end.outcome == Outcome::Served && took > 0.0 {
                let speed = (open.job.cost_hint.unwrap_or(1.0) / took).clamp(0.05, 5.0);
                self.learned_speed[at] += (speed - self.learned_speed[at]) * SPEED_LEARNING_RATE;
            }
        }
        if end.request_finished || open.answered {
            return;
        }
        if end.outcome.never_ran() && open.attempted.len() < MAX_ATTEMPTS && now < open.deadline {
            return self.send(now, end.request, open, actions);
        }
        open.answered = true;
        actions.push(Action::Fail { request: end.request });
    }
}

impl DispatchPolicy for Baseline {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(roster) => {
                // Awake, or turned away.
                if self.must_subscribe
                    && matches!(roster.kind, EndpointUpdateKind::Cached | EndpointUpdateKind::Failed)
                {
                    actions.push(Action::Subscribe);
                }
                if roster.kind != EndpointUpdateKind::Failed {
                    self.update_endpoints(roster);
                }
            }
            Event::AttemptProgress { request, progress: Progress::Started, .. } => {
                if let Some(open) = self.open_requests.get_mut(&request) {
                    open.started_at = now;
                }
            }
            Event::Request(job) => {
                let deadline = now + job.time_left;
                let open =
                    OpenRequest { job, deadline, attempted: Vec::new(), started_at: now, answered: false };
                self.send(now, job.request, open, actions);
            }
            Event::AttemptCompleted(end) => self.complete_attempt(now, end, actions),
            _ => {}
        }
    }
}

impl Policy for Baseline {
    fn needs_true_state(&self) -> bool {
        self.rule == SelectionRule::EarliestTrueFinish
    }

    fn observe_true_state(&mut self, truth: &[TrueState]) {
        self.true_states.clear();
        self.true_states.extend_from_slice(truth);
    }
}

/// The module behind a fault of the kind that the referee must see.
struct FaultyPolicy {
    inner: Dispatcher,
    fault: PolicyKind,
    endpoints: Vec<Endpoint>,
    served_count: u64,
    sent_to: FxHashMap<RequestId, Vec<WorkerId>>,
    taken_over: FxHashSet<RequestId>,
}

impl FaultyPolicy {
    /// A worker of another zone than those tried, if there is one.
    fn untried_zone_worker(&self, tried: &[WorkerId]) -> Option<WorkerId> {
        let zones: Vec<u32> = self
            .endpoints
            .iter()
            .filter(|entry| tried.contains(&entry.worker))
            .map(|entry| entry.zone)
            .collect();
        let fresh = self.endpoints.iter().filter(|entry| {
            entry.state == WorkerState::Ready
                && !tried.contains(&entry.worker)
                && !zones.contains(&entry.zone)
        });
        fresh.map(|entry| entry.worker).next()
    }
}

impl Policy for FaultyPolicy {}

impl DispatchPolicy for FaultyPolicy {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let from = actions.len();
        if let Event::Endpoints(roster) = event {
            for entry in roster.endpoints {
                self.endpoints.retain(|known| known.worker != entry.worker);
                self.endpoints.push(*entry);
            }
            if self.fault == PolicyKind::IgnoresDrains {
                let ready = |entry: &Endpoint| Endpoint { state: WorkerState::Ready, ..*entry };
                let entries: Vec<_> = roster.endpoints.iter().map(ready).collect();
                let roster = EndpointUpdate { endpoints: &entries, ..roster };
                return self.inner.handle(now, Event::Endpoints(roster), actions);
            }
        }
        self.inner.handle(now, event, actions);
        for action in &actions[from..] {
            if let Action::Send { request, worker, .. } = action {
                self.sent_to.entry(*request).or_default().push(*worker);
            }
        }
        let final_answer = |action: &Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
        if let (PolicyKind::Resends, Event::AttemptCompleted(end)) = (self.fault, event)
            && !end.request_finished
        {
            let id = end.request;
            // Of what it once sent again the module knows nothing any more: it is ended here.
            let taken_over = self.taken_over.contains(&id);
            let may_have_run = matches!(end.outcome, Outcome::Reset | Outcome::Error);
            if taken_over || may_have_run {
                let tried = self.sent_to.get(&id).cloned().unwrap_or_default();
                actions.retain(|action| !matches!(action, Action::Fail { request } if *request == id));
                match self.untried_zone_worker(&tried).filter(|_| may_have_run && actions.len() == from) {
                    Some(worker) => {
                        self.taken_over.insert(id);
                        self.sent_to.entry(id).or_default().push(worker);
                        actions.push(Action::Send { request: id, worker, estimate: 0 });
                    }
                    None if actions.len() == from => actions.push(Action::Fail { request: id }),
                    None => {}
                }
            }
        }
        match self.fault {
            PolicyKind::NeverAnswers => actions.retain(|action| !final_answer(action)),
            PolicyKind::AnswersTwice => {
                if let Event::AttemptCompleted(AttemptOutcome { request, outcome: Outcome::Served, .. }) =
                    event
                {
                    self.served_count += 1;
                    if self.served_count.is_multiple_of(10) {
                        actions.push(Action::Fail { request });
                    }
                }
            }
            _ => {}
        }
    }
}
