//! What chooses: the decision module, textbook baselines, and schedulers that are broken on purpose.
use copperspread_dispatcher::{
    Action, AttemptOutcome, Discovery, DispatchPolicy, Dispatcher, Endpoint, EndpointUpdate,
    EndpointUpdateKind, Event, IncomingRequest, Micros, Outcome, Progress, Rejection, RequestId, SECOND,
    Settings, WorkerId, WorkerState,
};
use rand::RngExt;
use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};

use crate::model::chance::Chance;
use crate::model::worker::Truth;

/// One scheduler's decisions.
pub trait Policy: DispatchPolicy {
    /// Whether it sees the truth before each job.
    fn sees(&self) -> bool {
        false
    }

    /// The truth, by worker.
    fn see(&mut self, _truth: &[Truth]) {}
}

impl Policy for Dispatcher {}

/// Which policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
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

impl Kind {
    /// Those that are compared.
    pub const COMPARED: [Kind; 7] = [
        Kind::Copperspread,
        Kind::Random,
        Kind::RoundRobin,
        Kind::LeastOutstanding,
        Kind::TwoChoices,
        Kind::LeastCost,
        Kind::Oracle,
    ];

    /// Its name, as it is written.
    pub fn name(self) -> String {
        serde_json::to_value(self).ok().and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default()
    }

    /// Makes one for a scheduler.
    ///
    /// # Errors
    /// Settings that the decision module does not take.
    pub fn make(self, settings: Settings, seed: u64, chance: Chance) -> Result<Box<dyn Policy>, String> {
        let module = |settings| Dispatcher::new(settings, seed).map_err(|e| e.to_string());
        let asks = settings.discovery == Discovery::Polled;
        let plain = |pick| Box::new(Baseline { asks, ..Baseline::new(pick, chance.clone()) });
        Ok(match self {
            Kind::Copperspread => Box::new(module(settings)?),
            Kind::Random => plain(Pick::Random),
            Kind::RoundRobin => plain(Pick::RoundRobin),
            Kind::LeastOutstanding => plain(Pick::Least),
            Kind::TwoChoices => plain(Pick::Two),
            Kind::LeastCost => plain(Pick::Cost),
            Kind::Oracle => plain(Pick::Truth),
            Kind::FloodsTheNew => plain(Pick::Newest),
            Kind::AnswersTwice | Kind::NeverAnswers | Kind::Resends | Kind::IgnoresDrains => {
                let inner = module(settings)?;
                Box::new(Broken {
                    inner,
                    how: self,
                    entries: Vec::new(),
                    count: 0,
                    resent: FxHashMap::default(),
                    taken_over: FxHashSet::default(),
                })
            }
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pick {
    Random,
    RoundRobin,
    Least,
    Two,
    Cost,
    Truth,
    Newest,
}

/// A textbook policy: picks at arrival, and tries once more where an attempt never ran.
struct Baseline {
    pick: Pick,
    chance: Chance,
    workers: Vec<(WorkerState, Option<Micros>)>,
    ready: Vec<u32>,
    outstanding: Vec<u32>,
    /// Work of this scheduler at each worker, in core-seconds by hint.
    cost: Vec<f64>,
    /// Each worker's speed, as its jobs' running times against their hints tell.
    speed: Vec<f64>,
    /// The list must be asked for.
    asks: bool,
    turn: usize,
    truth: Vec<Truth>,
    open: FxHashMap<RequestId, Open>,
}

struct Open {
    job: IncomingRequest,
    deadline: Micros,
    at: Vec<WorkerId>,
    /// When its last attempt was sent or, later, told to have started.
    since: Micros,
    answered: bool,
}

/// A job's work by its hint, in core-seconds.
fn work(job: &IncomingRequest) -> f64 {
    job.cost_hint.unwrap_or(1.0) * job.slots.unwrap_or(1.0)
}

/// Most attempts of a baseline.
const TRIES: usize = 3;
/// How much of a learned speed one job's time replaces.
const SPEED_GAIN: f64 = 0.1;

impl Baseline {
    fn new(pick: Pick, chance: Chance) -> Baseline {
        Baseline {
            pick,
            chance,
            workers: Vec::new(),
            ready: Vec::new(),
            outstanding: Vec::new(),
            cost: Vec::new(),
            speed: Vec::new(),
            asks: false,
            turn: 0,
            truth: Vec::new(),
            open: FxHashMap::default(),
        }
    }

    fn roster(&mut self, roster: EndpointUpdate<'_>) {
        if matches!(roster.kind, EndpointUpdateKind::Full | EndpointUpdateKind::Cached) {
            self.workers.iter_mut().for_each(|worker| worker.0 = WorkerState::Removed);
        }
        for entry in roster.endpoints {
            let at = entry.worker.0 as usize;
            if self.workers.len() <= at {
                self.workers.resize(at + 1, (WorkerState::Removed, None));
                self.outstanding.resize(at + 1, 0);
                self.cost.resize(at + 1, 0.0);
                self.speed.resize(at + 1, 1.0);
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
        let chosen = self.of(job, &ready);
        if tried.is_empty() {
            self.ready = ready;
        }
        chosen
    }

    fn of(&mut self, job: &IncomingRequest, ready: &[u32]) -> Option<u32> {
        if ready.is_empty() {
            return None;
        }
        let any = |chance: &mut Chance| ready[chance.random_range(0..ready.len())];
        Some(match self.pick {
            Pick::Random => any(&mut self.chance),
            Pick::RoundRobin => {
                self.turn += 1;
                ready[self.turn % ready.len()]
            }
            Pick::Two => {
                let (one, two) = (any(&mut self.chance), any(&mut self.chance));
                if self.outstanding[two as usize] < self.outstanding[one as usize] { two } else { one }
            }
            Pick::Least => {
                // Ties go round, so that an idle fleet is used as a whole.
                self.turn += 1;
                let from = self.turn % ready.len();
                let order = (0..ready.len()).map(|step| ready[(from + step) % ready.len()]);
                order.min_by_key(|&at| self.outstanding[at as usize])?
            }
            Pick::Cost => {
                // Ties go round, as above.
                self.turn += 1;
                let (from, own) = (self.turn % ready.len(), work(job));
                let cost = |at: u32| (self.cost[at as usize] + own) / self.speed[at as usize];
                let order = (0..ready.len()).map(|step| ready[(from + step) % ready.len()]);
                order.min_by(|&a, &b| cost(a).total_cmp(&cost(b)))?
            }
            Pick::Newest => ready.iter().copied().max_by_key(|&at| self.workers[at as usize].1)?,
            Pick::Truth => {
                let ends = |at: u32| {
                    let of = self.truth.get(at as usize).copied().unwrap_or_default();
                    let work = job.cost_hint.unwrap_or(1.0);
                    if of.takes { of.wait + work / of.rate.max(1e-9) } else { f64::INFINITY }
                };
                let best = ready.iter().copied().min_by(|&a, &b| ends(a).total_cmp(&ends(b)))?;
                if ends(best) * SECOND as f64 > job.time_left as f64 {
                    return None;
                }
                best
            }
        })
    }

    fn send(&mut self, now: Micros, id: RequestId, mut open: Open, actions: &mut Vec<Action>) {
        match self.choose(&open.job, &open.at) {
            Some(at) => {
                let worker = WorkerId(at);
                open.at.push(worker);
                self.outstanding[at as usize] += 1;
                self.cost[at as usize] += work(&open.job);
                open.since = now;
                actions.push(Action::Send { request: id, worker, estimate: 0 });
                self.open.insert(id, open);
            }
            None => actions.push(Action::Reject {
                request: id,
                retry_after: SECOND,
                reason: Rejection::NoEligibleWorker,
            }),
        }
    }

    fn outcome(&mut self, now: Micros, end: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(mut open) = self.open.remove(&end.request) else { return };
        if let Some(worker) = open.at.get(end.attempt as usize) {
            let at = worker.0 as usize;
            self.outstanding[at] = self.outstanding[at].saturating_sub(1);
            // What is left of many sums and differences is no work.
            self.cost[at] = if self.outstanding[at] == 0 { 0.0 } else { self.cost[at] - work(&open.job) };
            let took = now.saturating_sub(open.since) as f64 / SECOND as f64;
            if end.outcome == Outcome::Served && took > 0.0 {
                let speed = (open.job.cost_hint.unwrap_or(1.0) / took).clamp(0.05, 5.0);
                self.speed[at] += (speed - self.speed[at]) * SPEED_GAIN;
            }
        }
        if end.request_finished || open.answered {
            return;
        }
        if end.outcome.never_ran() && open.at.len() < TRIES && now < open.deadline {
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
                if self.asks && matches!(roster.kind, EndpointUpdateKind::Cached | EndpointUpdateKind::Failed)
                {
                    actions.push(Action::Subscribe);
                }
                if roster.kind != EndpointUpdateKind::Failed {
                    self.roster(roster);
                }
            }
            Event::AttemptProgress { request, progress: Progress::Started, .. } => {
                if let Some(open) = self.open.get_mut(&request) {
                    open.since = now;
                }
            }
            Event::Request(job) => {
                let deadline = now + job.time_left;
                let open = Open { job, deadline, at: Vec::new(), since: now, answered: false };
                self.send(now, job.request, open, actions);
            }
            Event::AttemptCompleted(end) => self.outcome(now, end, actions),
            _ => {}
        }
    }
}

impl Policy for Baseline {
    fn sees(&self) -> bool {
        self.pick == Pick::Truth
    }

    fn see(&mut self, truth: &[Truth]) {
        self.truth.clear();
        self.truth.extend_from_slice(truth);
    }
}

/// The module behind a fault of the kind that the referee must see.
struct Broken {
    inner: Dispatcher,
    how: Kind,
    entries: Vec<Endpoint>,
    count: u64,
    resent: FxHashMap<RequestId, Vec<WorkerId>>,
    taken_over: FxHashSet<RequestId>,
}

impl Broken {
    /// A worker of another zone than those tried, if there is one.
    fn elsewhere(&self, tried: &[WorkerId]) -> Option<WorkerId> {
        let zones: Vec<u32> = self
            .entries
            .iter()
            .filter(|entry| tried.contains(&entry.worker))
            .map(|entry| entry.zone)
            .collect();
        let fresh = self.entries.iter().filter(|entry| {
            entry.state == WorkerState::Ready
                && !tried.contains(&entry.worker)
                && !zones.contains(&entry.zone)
        });
        fresh.map(|entry| entry.worker).next()
    }
}

impl Policy for Broken {}

impl DispatchPolicy for Broken {
    fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        let from = actions.len();
        if let Event::Endpoints(roster) = event {
            for entry in roster.endpoints {
                self.entries.retain(|known| known.worker != entry.worker);
                self.entries.push(*entry);
            }
            if self.how == Kind::IgnoresDrains {
                let ready = |entry: &Endpoint| Endpoint { state: WorkerState::Ready, ..*entry };
                let entries: Vec<_> = roster.endpoints.iter().map(ready).collect();
                let roster = EndpointUpdate { endpoints: &entries, ..roster };
                return self.inner.handle(now, Event::Endpoints(roster), actions);
            }
        }
        self.inner.handle(now, event, actions);
        for action in &actions[from..] {
            if let Action::Send { request, worker, .. } = action {
                self.resent.entry(*request).or_default().push(*worker);
            }
        }
        let final_answer = |action: &Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
        if let (Kind::Resends, Event::AttemptCompleted(end)) = (self.how, event)
            && !end.request_finished
        {
            let id = end.request;
            // Of what it once sent again the module knows nothing any more: it is ended here.
            let taken_over = self.taken_over.contains(&id);
            let may_have_run = matches!(end.outcome, Outcome::Reset | Outcome::Error);
            if taken_over || may_have_run {
                let tried = self.resent.get(&id).cloned().unwrap_or_default();
                actions.retain(|action| !matches!(action, Action::Fail { request } if *request == id));
                match self.elsewhere(&tried).filter(|_| may_have_run && actions.len() == from) {
                    Some(worker) => {
                        self.taken_over.insert(id);
                        self.resent.entry(id).or_default().push(worker);
                        actions.push(Action::Send { request: id, worker, estimate: 0 });
                    }
                    None if actions.len() == from => actions.push(Action::Fail { request: id }),
                    None => {}
                }
            }
        }
        match self.how {
            Kind::NeverAnswers => actions.retain(|action| !final_answer(action)),
            Kind::AnswersTwice => {
                if let Event::AttemptCompleted(AttemptOutcome { request, outcome: Outcome::Served, .. }) =
                    event
                {
                    self.count += 1;
                    if self.count.is_multiple_of(10) {
                        actions.push(Action::Fail { request });
                    }
                }
            }
            _ => {}
        }
    }
}
