//! Knows what clients and workers saw and what the list told, and nothing that a scheduler claims.
use std::collections::VecDeque;

use copperspread_dispatcher::{Idempotency, KeyScope, Micros, RequestId, SECOND};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};

/// Time limits grow by this much, as on sockets.
pub const GRACE: Micros = 50_000;
/// After a drain was told, new work may go there for so long.
pub const DRAIN: Micros = SECOND;

/// A rule that does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// A client got more than one final answer.
    OneAnswer,
    /// A client gave up without one.
    AnswerInTime,
    /// A client was served what no worker made for its request.
    Forged,
    /// A job that must never run twice did.
    UnsafeTwice,
    /// A keyed job that may have run was sent where, or when, no worker could know the key.
    KeyedTwice,
    /// New work went to a worker longer than 1 s after its drain was told.
    Drained,
    /// A cold worker was sent more than its budget.
    ColdBudget,
}

/// One breach.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    /// Of which rule.
    pub rule: Rule,
    /// When, in microseconds.
    pub at: Micros,
    /// Whose, and how.
    pub what: String,
}

/// A cold worker's budget, as the fleet is told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBudget {
    /// Its share of its capacity at the start.
    pub from: f64,
    /// When it is warm.
    pub warm_after: Micros,
    /// So many times its present capacity ...
    pub multiple: f64,
    /// ... within any span of this length.
    pub window: Micros,
}

struct Client {
    answers: u32,
    /// A scheduler has sent its answer off.
    said: bool,
    gives_up: Micros,
    /// A worker made a result for it.
    made: bool,
}

/// What a client heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// A result that a worker may have made.
    Served,
    /// What is no result of this request.
    Forged,
    /// A refusal or a failure.
    Said,
    /// The connection broke: no answer, and the end of the wait.
    Broken,
}

#[derive(Default)]
struct Runs {
    /// Starts, of a job that must never run twice.
    starts: u32,
    /// Attempts that a worker took: number, group and when each was sent.
    taken: Vec<(u64, u32, Micros)>,
}

struct Cold {
    started_at: Micros,
    capacity: f64,
    sent: VecDeque<(Micros, f64)>,
    breached: bool,
}

/// The referee of one run.
pub struct Referee {
    budget: Option<ColdBudget>,
    clients: FxHashMap<RequestId, Client>,
    /// By the client's job, over all its tries.
    runs: FxHashMap<u64, Runs>,
    told: FxHashMap<(u32, u32), Micros>,
    cold: FxHashMap<u32, Cold>,
    breaches: Vec<Breach>,
    counts: std::collections::BTreeMap<Rule, u64>,
}

/// Breaches that are kept with their words; all are counted.
const KEPT: usize = 20;

impl Referee {
    /// One that holds cold workers to a budget, or to none.
    pub fn new(budget: Option<ColdBudget>) -> Referee {
        Referee {
            budget,
            clients: FxHashMap::default(),
            runs: FxHashMap::default(),
            told: FxHashMap::default(),
            cold: FxHashMap::default(),
            breaches: Vec::new(),
            counts: Default::default(),
        }
    }

    fn breach(&mut self, rule: Rule, at: Micros, what: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { rule, at, what: what() });
        }
    }

    /// A client asks, and gives up at an instant.
    pub fn asked(&mut self, request: RequestId, gives_up: Micros) {
        self.clients.insert(request, Client { answers: 0, said: false, gives_up, made: false });
    }

    /// A worker told that it made a request's result.
    pub fn made(&mut self, request: RequestId) {
        if let Some(client) = self.clients.get_mut(&request) {
            client.made = true;
        }
    }

    /// A final answer reached the client, or its connection broke.
    pub fn answered(&mut self, now: Micros, request: RequestId, heard: Heard) {
        let Some(client) = self.clients.get_mut(&request) else { return };
        client.answers += 1;
        let (again, forged) =
            (client.answers > 1, heard == Heard::Forged || heard == Heard::Served && !client.made);
        if again {
            self.breach(Rule::OneAnswer, now, || format!("request {:x}", request.0));
        }
        if forged {
            self.breach(Rule::Forged, now, || format!("request {:x}", request.0));
        }
    }

    /// A scheduler sends a client's answer off.
    pub fn said(&mut self, request: RequestId) {
        if let Some(client) = self.clients.get_mut(&request) {
            client.said = true;
        }
    }

    /// A client gives up, or a little later: has it had its answer? One that was under way by then, held up by a
    /// segment sent again, is no scheduler's breach.
    pub fn gave_up(&mut self, now: Micros, request: RequestId) {
        if let Some(client) = self.clients.get(&request)
            && client.answers == 0
            && !client.said
            && now >= client.gives_up
        {
            self.breach(Rule::AnswerInTime, now, || format!("request {:x}", request.0));
        }
    }

    /// All of a request is over: its state is let go.
    pub fn over(&mut self, request: RequestId) {
        self.clients.remove(&request);
    }

    /// All of a client's job is over.
    pub fn job_over(&mut self, job: u64) {
        self.runs.remove(&job);
    }

    /// A worker began to run a client's job.
    pub fn ran(&mut self, now: Micros, job: u64, effect: Idempotency) {
        if effect != Idempotency::NonIdempotent {
            return;
        }
        let runs = self.runs.entry(job).or_default();
        runs.starts += 1;
        if runs.starts > 1 {
            self.breach(Rule::UnsafeTwice, now, || format!("job {job}"));
        }
    }

    /// A worker of a group (see [`crate::model::idempotency_keys::key_group`]) took an attempt, which may run from now on.
    /// Repeats are dropped only in the group of the first, and only so long after that was sent.
    pub fn took(
        &mut self,
        now: Micros,
        job: u64,
        attempt: u64,
        effect: Idempotency,
        group: u32,
        sent_at: Micros,
    ) {
        let Idempotency::IdempotentWithKey { scope, window } = effect else { return };
        let runs = self.runs.entry(job).or_default();
        let first = runs.taken.iter().copied().min_by_key(|&(_, _, sent)| sent);
        runs.taken.push((attempt, group, sent_at));
        if let Some((_, at, sent)) = first
            && (at != group || sent_at > sent + window + GRACE)
        {
            let of = match scope {
                KeyScope::All => "group",
                KeyScope::Zone => "zone",
                KeyScope::Cell => "cell",
            };
            self.breach(Rule::KeyedTwice, now, || {
                format!("job {job}, sent to {of} {at} and to {of} {group}")
            });
        }
    }

    /// A worker handed an attempt back unstarted: it never ran.
    pub fn handed_back(&mut self, job: u64, attempt: u64) {
        if let Some(runs) = self.runs.get_mut(&job) {
            runs.taken.retain(|&(taken, _, _)| taken != attempt);
        }
    }

    /// A scheduler was told that a worker drains or is gone, or takes work again.
    pub fn told(&mut self, now: Micros, scheduler: u32, worker: u32, takes: bool) {
        if takes {
            self.told.remove(&(scheduler, worker));
        } else {
            self.told.entry((scheduler, worker)).or_insert(now);
        }
    }

    /// A worker's process started, cold, with this much capacity once warm.
    pub fn started(&mut self, now: Micros, worker: u32, capacity: f64) {
        let cold = Cold { started_at: now, capacity, sent: VecDeque::new(), breached: false };
        self.cold.insert(worker, cold);
    }

    /// A scheduler sends work to a worker.
    pub fn sent(&mut self, now: Micros, scheduler: u32, worker: u32, load: f64) {
        if let Some(&at) = self.told.get(&(scheduler, worker))
            && now > at + DRAIN + GRACE
        {
            let late = (now - at) as f64 / SECOND as f64;
            self.breach(Rule::Drained, now, || format!("worker {worker}, told {late:.2} s before"));
        }
        let Some(budget) = self.budget else { return };
        let Some(cold) = self.cold.get_mut(&worker) else { return };
        let age = now.saturating_sub(cold.started_at);
        if age >= budget.warm_after {
            self.cold.remove(&worker);
            return;
        }
        cold.sent.push_back((now, load));
        while cold.sent.front().is_some_and(|&(at, _)| at + budget.window < now) {
            cold.sent.pop_front();
        }
        let warmth = budget.from + (1.0 - budget.from) * age as f64 / budget.warm_after as f64;
        let most = budget.multiple * cold.capacity * warmth * budget.window as f64 / SECOND as f64;
        let sent: f64 = cold.sent.iter().map(|&(_, load)| load).sum();
        // Told once for each start: what follows is the same flood.
        if sent > most && !cold.breached {
            cold.breached = true;
            self.breach(Rule::ColdBudget, now, || {
                format!("worker {worker}: {sent:.1} of {most:.1} core-seconds")
            });
        }
    }

    /// The breaches: counted by rule, and the first of them.
    pub fn verdict(self) -> (std::collections::BTreeMap<Rule, u64>, Vec<Breach>) {
        (self.counts, self.breaches)
    }
}
