//! All decisions of a dispatcher. Types, events and actions are in `interface.rs`.
//!
//! The ordinary path follows "Empirical Study of Low-Latency Network Model with Orchestrator in
//! MEC", eq. (1): estimate the job's time at every ready worker, send it to the lowest, refuse it
//! on arrival when even that exceeds the time it has left.
use crate::interface::*;
use arrayvec::ArrayVec;
use rustc_hash::FxHashMap;
use std::collections::VecDeque;

/// Attempts kept for one request; a site that allows more is held to this many.
const MAX_ATTEMPTS: usize = 8;
/// Workers compared for one job, from a random place on: more would cost more than they find.
const SCAN_MOST: usize = 200;
/// The regular round over all workers: short beside the seconds in which roles and rates change.
const SWEEP: Micros = SECOND;
/// Weight of one sample in a worker's learned rate: about the last ten count.
const RATE_GAIN: f64 = 0.1;
/// Weight of one sample in a pool's rate, which sees many workers: about the last hundred count.
const POOL_GAIN: f64 = 0.01;
/// A worker's own rate counts as much as its pool's after this many samples; one sample of one job
/// says little, as hints are noisy.
const SHRINK: f64 = 3.0;
/// A rate not refreshed for this many typical job times loses half its weight against the pool's.
const DRIFT_JOBS: f64 = 5.0;
/// Bounds of a believable rate sample, in work a second: beyond them the hint or clock was absurd.
const RATE_BOUNDS: (f64, f64) = (1e-3, 1e3);
/// Slots of a worker before anything has been seen of its kind: small, so as not to pile jobs up.
const SLOTS_AT_FIRST: f64 = 2.0;
/// Share of a kind's slots taken by others before any report has come.
const BUSY_AT_FIRST: f64 = 0.5;
/// Age of what a report tells when it comes: workers renew it about once a second, and it travels.
const REPORT_AGE: Micros = 800_000;
/// All ready workers are probed once in this time, about as often as what they tell is renewed.
const PROBE_ROUND: Micros = SECOND;
/// What a job's probes may cost of its worth.
const PROBE_SPEND: f64 = 0.01;
/// Most probes saved up.
const PROBES_SAVED: f64 = 20.0;
/// Weight of one report in the fleet's level of load: about the last ten count, a few seconds.
const LEVEL_GAIN: f64 = 0.1;
/// Most that one report adds to the level, in shares of slots.
const LEVEL_CAP: f64 = 2.0;
/// Most by which a kind's or a zone's load is taken to differ from what was expected.
const SKEW_MOST: f64 = 5.0;
/// Weight of one figure in a slow mean: about the last twenty count.
const BUSY_GAIN: f64 = 0.05;
/// Weight of one report in a kind's slots when it shows more than is known; noise is up to a fifth.
const SLOTS_UP: f64 = 0.6;
/// Weight when it shows fewer, so that one noisy report does not stand for good.
const SLOTS_DOWN: f64 = 0.002;
/// Most that a listed size tells of what a worker holds, in times its slots.
const HELD_MOST: f64 = 8.0;
/// A size so many times the middle one of its kind is no worker's: one that is idle among others that
/// all hold the most believed shows less.
const ODD_SIZE: f64 = 2.0 * (1.0 + HELD_MOST);
/// Weight of one list in what a worker usually holds: about the last three count.
const LISTED_GAIN: f64 = 0.35;
/// From so many dispatchers on, one's own jobs tell little of what the others have at a worker.
const MANY: u32 = 16;
/// How much taste weighs there: of two workers one that ranks 1.1 times as high is chosen 1.1 to the power
/// of 1 / this times as rarely. At 0.1 too many still meet at one; 0.35 was no better.
const TASTE: f64 = 0.2;
/// Age of what a list tells when it comes, in seconds.
const LISTED_AGE: f64 = 0.9;
/// ... and it fades toward what the worker usually holds in this time, in seconds.
const LISTED_FADE: f64 = 1.0;
/// Attempts of a request while all are turned away; as many more as fewer are.
const FULL_TRIES: f64 = 1.5;
/// A worker that turned a job away unseen holds at least this many times its slots.
const FULL_LOAD: f64 = 1.5;
/// A job that has not started after this part of the time it could wait gets a second copy.
const COPY_AFTER: f64 = 0.6;
/// Copies earned by each job: bounds what copies add to the load where a cancelled one still runs,
/// or still waits and then runs. Each is one job more for workers that were late already.
const COPY_EARNED: f64 = 0.03;
/// Most copies that can be saved up.
const COPY_SAVED: f64 = 3.0;
/// Shortest wait before that, so that start notes under way arrive first.
const COPY_LEAST: Micros = 20_000;
/// How firmly the kind's mean is believed against the sample that own jobs give, in jobs.
const PEERS_ALIKE: f64 = 1.0;
/// Parts of the aim that one whole request's worth is held equal to, when crossing zones is priced.
const CROSSING: f64 = 3.0;
/// Work is scarce when the share of slots taken, waiting jobs included, is above this and one job a
/// worker more: few slots see queues on good days too.
const SCARCE_FROM: f64 = 0.9;
/// ... and all but the dearest is shed when they are taken this much further.
const SCARCE_SPAN: f64 = 1.0;
/// Time over which a tenant's rate is measured, in seconds: bursts last several.
const TENANT_WINDOW: f64 = 3.0;
/// A tenant is over its share past this many times this dispatcher's part of its allowance, since
/// clients are not spread evenly.
const TENANT_ROOM: f64 = 1.2;
/// Most of the offered work that is shed for being cheap.
const SHED_MOST: f64 = 0.7;
/// How fast the price below which jobs are shed follows what is offered.
const SHED_GAIN: f64 = 0.1;
/// The ranking counts the excess this many times: the time it costs the job itself and, about twice
/// as much, those that wait behind it. At 1 all crowd onto the fast kind, at 5 they spread too thin.
const CROWD: f64 = 3.0;
/// Makes a hyperbola follow the mean of a normal figure's part above 0: both agree at a mean of 0,
/// where it is 0.4 standard deviations, and far from it.
const SPREAD: f64 = 0.64;
/// Share of a cold worker's budget that all may use. What one sends counts for a whole window, so that none
/// sends more than its part in any; the rest is for dispatchers that judge the worker's capacity unlike.
const COLD_AIM: f64 = 0.9;
/// A cold worker's fall is laid to those who were told of its start if they sent more than all over this.
const COLD_TOLD: f64 = 1.5;
/// Steps of a window in which what was sent is summed.
const COLD_STEPS: Micros = 32;
/// A dispatcher's part of a budget holds so many usual jobs, or all of it where that is less.
const COLD_JOBS: f64 = 4.0;
/// Shortest believable job: keeps the typical job time, by which is divided, above 0.
const SHORTEST_JOB: Micros = 1_000;
/// Largest believable count of slots or memory units, and hint in seconds; beyond it they count as absent.
const MAX_UNITS: f64 = 1e4;
/// Weight of one outcome in a worker's share of failures.
const FAULT_GAIN: f64 = 0.2;
/// ... and in its share of failures of one class, of which a few must tell: each costs its whole job.
const CLASS_FAULT_GAIN: f64 = 0.3;
/// A job that has been out for this many times its estimate, and for this long, counts as a failure.
const OVERDUE_TIMES: f64 = 4.0;
const OVERDUE_LEAST: f64 = 0.5;
/// A worker's share of failures halves in this time without news, so that it is tried again.
const FAULT_HALF: f64 = 5.0;
/// Highest share of failures used: keeps the estimate finite, so that re-tries stay possible.
const FAULT_CAP: f64 = 0.9;
/// Weight of one try in the share of those that come when their whole aim seems spent.
const SHORT_GAIN: f64 = 0.05;
/// Most of all tries that can be repeats of so late; beyond it, clients wait less long than they might.
const SHORT_MOST: f64 = 0.08;
/// Latest first subscription, if half of `ask_within` is not sooner: early, but spread out so that
/// restarted dispatchers do not stampede discovery.
const SUBSCRIBE_FIRST: Micros = 3 * SECOND;
/// Spread of the first subscription for each dispatcher of the fleet: small fleets need none.
const SUBSCRIBE_EACH: Micros = 150_000;
/// First and longest wait after a failed call to discovery. A change counts as told 6 s after discovery
/// could be reached, whatever failed: a call given up just then, this wait and the next call fit in.
const SUBSCRIBE_BACKOFF: (Micros, Micros) = (SECOND, 2 * SECOND);

/// A rate in work a second, learned as a mean of logarithms so that one odd hint moves it little.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    log_mean: f64,
    weight: f64,
    at: Micros,
}

impl Rate {
    fn learn(&mut self, sample: f64, gain: f64, now: Micros) {
        self.weight += 1.0;
        self.log_mean += (sample - self.log_mean) * gain.max(1.0 / self.weight);
        self.weight = self.weight.min(1.0 / gain);
        self.at = now;
    }
}

/// How loaded some workers are against what was expected of them.
#[derive(Clone, Copy, Debug)]
struct Skew {
    seen: f64,
    expected: f64,
}

impl Default for Skew {
    fn default() -> Self {
        Skew { seen: BUSY_AT_FIRST, expected: BUSY_AT_FIRST }
    }
}

impl Skew {
    fn learn(&mut self, seen: f64, expected: f64) {
        self.seen += (seen - self.seen) * BUSY_GAIN;
        self.expected += (expected - self.expected) * BUSY_GAIN;
    }

    fn ratio(&self) -> f64 {
        (self.seen / self.expected.max(1e-3)).clamp(1.0 / SKEW_MOST, SKEW_MOST)
    }
}

/// What is known of the workers of one kind, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct Pool {
    rate: Rate,
    /// Slots of one worker of the kind.
    slots: Option<f64>,
    /// Its share of slots taken against the fleet's.
    skew: Skew,
    /// Share of attempts turned away unseen.
    full: f64,
    /// Largest size listed: one of an idle worker.
    size: f64,
}

#[derive(Clone, Debug, Default)]
struct Worker {
    state: WorkerState,
    zone: u32,
    kind: u32,
    cell: u32,
    started_at: Option<Micros>,
    /// Slots of this dispatcher's unfinished jobs here.
    own_slots: f64,
    /// This dispatcher's unfinished jobs here, in the order in which they were sent.
    jobs: Vec<Held>,
    /// When those that ended last did, when they were sent, and their slots.
    ended: VecDeque<(Micros, Micros, f64)>,
    rate: Rate,
    /// Work a second of one job alone on one slot, as used in estimates.
    service_rate: f64,
    faults: f64,
    /// The same of each class.
    class_faults: Vec<f64>,
    /// Slots of the other dispatchers' jobs here by the last report, and when it came.
    others: f64,
    others_at: Option<Micros>,
    /// Its size as last listed; slots that all take here by that, and on average over the lists; and when
    /// the last came.
    size: Option<f64>,
    listed: f64,
    listed_mean: f64,
    listed_at: Option<Micros>,
    /// Work sent here, and until when it counts: a cold worker's window from when it was sent.
    sent: VecDeque<(Micros, f64)>,
    /// The same at every dispatcher; and this one's place among them there (see `cold_place`).
    key: u64,
    place: Option<u32>,
    /// By how much this dispatcher's own taste raises the rank here (see `pick`).
    taste: f64,
}

/// One of this dispatcher's unfinished jobs at a worker.
#[derive(Clone, Copy, Debug)]
struct Held {
    request: RequestId,
    attempt: u32,
    slots: f64,
    sent_at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    worker: u32,
    sent_at: Micros,
    /// Own slots at the worker fitted when it was sent, so its time shows the worker's rate.
    fitted: bool,
    /// When it was last known how much of the job was done, and that share.
    mark: Option<(Micros, f64)>,
    out: bool,
    never_ran: bool,
    /// How long it was to take, in seconds, and whether it has been out for far longer.
    estimate: f64,
    overdue: bool,
}

#[derive(Clone, Debug)]
struct Request {
    class: usize,
    slots: f64,
    /// The cost hint, or the usual time of its class, or 1.
    work: f64,
    hinted: bool,
    /// When its full worth is lost, before the stretch.
    aim_at: Micros,
    deadline: Micros,
    /// It has its final answer.
    finished: bool,
    attempts: ArrayVec<Attempt, MAX_ATTEMPTS>,
}

impl Request {
    /// The first attempt that may have run, or is still out.
    fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| a.out || !a.never_ran)
    }
    fn any_out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }
}

/// The decisions of one dispatcher. See [`Dispatcher::handle`].
#[derive(Clone, Debug, Default)]
pub struct Dispatcher {
    settings: Settings,
    rng: fastrand::Rng,
    workers: Vec<Worker>,
    kinds: Vec<Pool>,
    zones: Vec<Skew>,
    /// Mean share of slots that is taken, by all dispatchers, waiting jobs included.
    busy: f64,
    fleet: Pool,
    /// The lowest taste of the ready workers is about 1 with this.
    usual_taste: f64,
    /// The worker probed last, and the probes that may be sent now.
    probed: usize,
    probes: f64,
    requests: FxHashMap<RequestId, Request>,
    /// Time from sending to a served answer, in seconds.
    job_time: f64,
    started_at: Option<Micros>,
    /// Worth per slot-second below which jobs are shed while slots are scarce.
    shed_below: f64,
    /// For each tenant, its requests a second here and when that was true.
    tenants: Vec<(f64, Micros)>,
    /// Second copies that may be sent now.
    copies: f64,
    /// Work times slots of a job, and slots of a job, on average.
    mean_load: f64,
    mean_slots: f64,
    /// Jobs that the first of them rests on, up to the last hundred.
    jobs: f64,
    version: u64,
    subscribed: bool,
    /// A call to discovery is under way or has a timer.
    asking: bool,
    failed_calls: u32,
    /// For each class, the time its jobs run, learned as a mean of logarithms.
    class_time: Vec<Rate>,
    /// For each class, the longest time left that a request came with.
    longest_try: Vec<Micros>,
    /// Share of tries that come when their whole aim seems spent.
    short: f64,
}

/// Seconds of a span.
fn secs(span: Micros) -> f64 {
    span as f64 / SECOND as f64
}

/// Span of some seconds; absurd figures saturate, NaN is 0.
fn span(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}

/// A figure from outside if it is one that can be meant.
fn sane(figure: Option<f64>, most: f64) -> Option<f64> {
    figure.filter(|&x| x.is_finite() && x > 0.0 && x <= most)
}

impl Dispatcher {
    /// Makes a dispatcher from what it is told at its start; `seed` settles all its chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.check()?;
        let longest_try = vec![0; settings.classes.len()];
        let class_time = vec![Rate::default(); settings.classes.len()];
        let tenants = vec![(0.0, 0); settings.tenants.len()];
        Ok(Dispatcher {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            busy: BUSY_AT_FIRST,
            usual_taste: 1.0,
            job_time: 1.0,
            tenants,
            copies: 1.0,
            probes: PROBES_SAVED,
            mean_load: 1.0,
            mean_slots: 1.0,
            class_time,
            longest_try,
            ..Dispatcher::default()
        })
    }

    /// Takes one event and appends what is to be done about it, in order.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        if self.started_at.is_none() {
            self.start(now, actions);
        }
        match event {
            Event::Endpoints(roster) => self.on_roster(now, roster, actions),
            Event::Request(job) => self.on_job(now, job, actions),
            Event::AttemptCompleted(outcome) => self.on_outcome(now, outcome, actions),
            Event::AttemptProgress { request, attempt, progress } => {
                self.on_progress(now, request, attempt, progress, actions);
            }
            Event::ClientDisconnected(request) => self.finish(request, actions),
            Event::TimerExpired(Timer::PeriodicRefresh) => self.on_sweep(now, actions),
            // Stays `asking` until the one roster event that answers the call.
            Event::TimerExpired(Timer::Subscription) if !self.subscribed => actions.push(Action::Subscribe),
            Event::TimerExpired(Timer::Subscription) => {}
            Event::TimerExpired(Timer::HedgeCheck(request)) => self.on_check(now, request, actions),
            Event::TimerExpired(Timer::LoadQuery) => self.on_probe_timer(actions),
            Event::LoadQueryCompleted { worker, outcome, report } => {
                self.on_probed(now, worker, outcome, report)
            }
        }
    }

    fn start(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.started_at = Some(now);
        actions.push(Action::StartTimer { after: SWEEP, timer: Timer::PeriodicRefresh });
        if self.settings.load_by_query {
            let after = self.rng.u64(0..=PROBE_ROUND / 10);
            actions.push(Action::StartTimer { after, timer: Timer::LoadQuery });
        }
        if self.settings.discovery == Discovery::Polled {
            let most = SUBSCRIBE_FIRST.min(self.settings.poll_within / 2);
            let spread = (SUBSCRIBE_EACH * Micros::from(self.settings.fleet_size)).min(most);
            let after = self.rng.u64(0..=spread);
            self.asking = true;
            actions.push(Action::StartTimer { after, timer: Timer::Subscription });
        }
    }

    // ---- Discovery -------------------------------------------------------------------------

    fn on_roster(&mut self, now: Micros, roster: EndpointUpdate<'_>, actions: &mut Vec<Action>) {
        match roster.kind {
            EndpointUpdateKind::Failed => {
                // A dropped subscription or a call turned away: ask again, later each time and at
                // a random moment, so that a recovering discovery is not stampeded.
                self.subscribed = false;
                if self.settings.discovery == Discovery::Polled {
                    let doubled = SUBSCRIBE_BACKOFF.0 << self.failed_calls.min(4);
                    let most = doubled.min(SUBSCRIBE_BACKOFF.1).min(self.settings.poll_within);
                    self.failed_calls += 1;
                    let after = most / 2 + self.rng.u64(0..=most / 2);
                    self.asking = true;
                    actions.push(Action::StartTimer { after, timer: Timer::Subscription });
                }
                return;
            }
            EndpointUpdateKind::Cached => {}
            EndpointUpdateKind::Changes | EndpointUpdateKind::Full => {
                if self.asking {
                    self.asking = false;
                    self.subscribed = true;
                    self.failed_calls = 0;
                }
            }
        }
        // A duplicate or an older list changes nothing.
        if roster.version < self.version {
            return;
        }
        self.version = roster.version;
        if roster.kind != EndpointUpdateKind::Changes {
            // Who is not in a full list is gone.
            for worker in &mut self.workers {
                worker.state = WorkerState::Removed;
            }
        }
        for entry in roster.endpoints {
            self.enter(now, entry);
        }
        if self.settings.fleet_size >= MANY {
            // Not of those that left: a list that changes for days would raise it without end.
            let ready = self.workers.iter().filter(|worker| worker.state == WorkerState::Ready).count();
            self.usual_taste = (ready.max(1) as f64).powf(TASTE);
        }
        if self.settings.sizes_reflect_load {
            self.learn_sizes(roster.endpoints);
            for entry in roster.endpoints {
                self.learn_listed(now, entry);
            }
        }
    }

    /// The size of an idle worker of each kind is the largest that was listed. Guards against an absurd
    /// one, beside which all others of its kind would seem to hold a great deal: such is left out.
    fn learn_sizes(&mut self, entries: &[Endpoint]) {
        for entry in entries {
            if let Some(worker) = self.workers.get_mut(entry.worker.0 as usize) {
                worker.size = sane(entry.size, MAX_UNITS);
            }
        }
        let mut sizes: Vec<_> = self.workers.iter().filter_map(|of| Some((of.kind, of.size?))).collect();
        sizes.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for kind in sizes.chunk_by(|a, b| a.0 == b.0) {
            let most = ODD_SIZE * kind[(kind.len() - 1) / 2].1;
            let largest = kind.iter().rev().map(|of| of.1).find(|&size| size <= most).unwrap_or(most);
            let known = &mut self.kinds[kind[0].0 as usize].size;
            *known = known.max(largest);
        }
    }

    /// Takes what a listed size tells: all that the worker holds, known to nobody else so soon.
    fn learn_listed(&mut self, now: Micros, entry: &Endpoint) {
        let index = entry.worker.0 as usize;
        let Some(worker) = self.workers.get(index) else { return };
        let Some(size) = worker.size.filter(|_| entry.state == WorkerState::Ready) else { return };
        let held = (self.kinds[worker.kind as usize].size / size - 1.0).clamp(0.0, HELD_MOST);
        let slots = self.slots_of(worker);
        let worker = &mut self.workers[index];
        worker.listed = held * slots * self.mean_slots;
        let gain = if worker.listed_at.is_some() { LISTED_GAIN } else { 1.0 };
        worker.listed_mean += (worker.listed - worker.listed_mean) * gain;
        worker.listed_at = Some(now);
    }

    fn enter(&mut self, now: Micros, entry: &Endpoint) {
        let index = entry.worker.0 as usize;
        let (kind, zone) = (entry.kind as usize, entry.zone as usize);
        // Ids are given out densely; a wild one would only ask for memory.
        if index > self.workers.len() + 100_000 || kind > 10_000 || zone > 10_000 {
            return;
        }
        if zone >= self.zones.len() {
            self.zones.resize(zone + 1, Skew::default());
        }
        if kind >= self.kinds.len() {
            self.kinds.resize(kind + 1, Pool::default());
        }
        while self.workers.len() <= index {
            let class_faults = vec![0.0; self.settings.classes.len()];
            self.workers.push(Worker { class_faults, taste: 1.0, ..Worker::default() });
        }
        let worker = &mut self.workers[index];
        if entry.started_at != worker.started_at && entry.started_at.is_some_and(|t| t > 0) {
            // A new or restarted process: what was learned of the old one no longer holds.
            worker.rate = Rate::default();
            worker.faults = 0.0;
            worker.class_faults.fill(0.0);
            worker.others_at = None;
            worker.listed_at = None;
        }
        if entry.hash_key != worker.key {
            (worker.key, worker.place) = (entry.hash_key, None);
            if self.settings.fleet_size >= MANY {
                // An exponential figure to a power: of such, each times a rank, the lowest is at a worker
                // with a chance that falls with its rank to the inverse power.
                worker.taste = (-(1.0 - self.rng.f64()).ln()).powf(TASTE);
            }
        }
        (worker.state, worker.zone, worker.kind, worker.cell) =
            (entry.state, entry.zone, entry.kind, entry.cell);
        worker.started_at = entry.started_at.filter(|&t| t > 0);
        self.refresh_rate(now, index);
    }

    // ---- Learning --------------------------------------------------------------------------

    /// The rate in use: the worker's own samples, shrunk to its kind's, and that to the fleet's.
    fn refresh_rate(&mut self, now: Micros, index: usize) {
        let fleet = self.fleet.rate;
        let kind = self.kinds[self.workers[index].kind as usize].rate;
        let worker = &mut self.workers[index];
        let pool = (kind.weight * kind.log_mean + SHRINK * fleet.log_mean) / (kind.weight + SHRINK);
        let mut weight = worker.rate.weight;
        if worker.jobs.is_empty() {
            let idle = secs(now.saturating_sub(worker.rate.at));
            weight *= 0.5_f64.powf(idle / (DRIFT_JOBS * self.job_time));
        }
        let log_rate = (weight * worker.rate.log_mean + SHRINK * pool) / (weight + SHRINK);
        worker.service_rate = log_rate.exp();
    }

    fn learn_rate(&mut self, now: Micros, index: usize, work: f64, took: f64) {
        let sample = work / took;
        if !(sample >= RATE_BOUNDS.0 && sample <= RATE_BOUNDS.1) {
            return;
        }
        let log_sample = sample.ln();
        let worker = &mut self.workers[index];
        worker.rate.learn(log_sample, RATE_GAIN, now);
        self.kinds[worker.kind as usize].rate.learn(log_sample, POOL_GAIN, now);
        self.fleet.rate.learn(log_sample, POOL_GAIN, now);
        self.refresh_rate(now, index);
    }

    fn slots_of(&self, worker: &Worker) -> f64 {
        self.kinds[worker.kind as usize].slots.or(self.fleet.slots).unwrap_or(SLOTS_AT_FIRST)
    }

    fn learn_slots(&mut self, kind: usize, seen: f64) {
        // From one slot at the least: a first report of none free must not divide by zero.
        let slots = self.kinds[kind].slots.get_or_insert(seen.max(1.0));
        *slots += (seen - *slots) * if seen > *slots { SLOTS_UP } else { SLOTS_DOWN };
    }

    /// Takes a worker's report: what the other dispatchers have there, and what its kind is like.
    fn on_report(&mut self, now: Micros, index: usize, report: &LoadReport, full: bool) {
        let kind = self.workers[index].kind as usize;
        let figure = |x: Option<f64>| x.filter(|&x| (0.0..=MAX_UNITS).contains(&x));
        let (inflight, queue) = (figure(report.in_flight), figure(report.queue));
        let waiting = queue.unwrap_or(0.0) * self.mean_slots;
        let mut total = if let Some(free) = figure(report.free_slots) {
            let running = inflight.zip(queue).map_or(0.0, |(held, queue)| (held - queue).max(0.0));
            self.learn_slots(kind, free + running);
            let taken = (self.slots_of(&self.workers[index]) - free).max(0.0);
            // Where the jobs that wait are not told, they are those held beyond the slots taken.
            let held = inflight.filter(|_| queue.is_none()).unwrap_or(0.0) * self.mean_slots;
            held.max(taken) + waiting
        } else {
            // Nothing reported: an answer says only that the worker was not full. Guards against a
            // level that hears of full answers alone and never falls.
            let util = figure(report.utilization).unwrap_or(BUSY_AT_FIRST);
            util * self.slots_of(&self.workers[index]) + waiting
        };
        let slots = self.slots_of(&self.workers[index]);
        if full {
            // Guards against a whole kind that turns jobs away while its reports, which are older
            // than the rush or end at all cores busy, still look inviting.
            total = total.max(FULL_LOAD * slots);
        }
        let mean = self.fleet.slots.get_or_insert(slots);
        *mean += (slots - *mean) * BUSY_GAIN;
        // Guards against a few sick workers whose long queues would pass for a lack of slots.
        let taken = (total / slots).min(LEVEL_CAP);
        self.busy += (taken - self.busy) * LEVEL_GAIN;
        // The level moves fast; how kinds and zones differ moves slowly and is learned apart, a zone against
        // what its kinds carry, so that the level is not explained away twice.
        let kind = &mut self.kinds[kind].skew;
        kind.learn(taken, self.busy);
        self.zones[self.workers[index].zone as usize].learn(taken, self.busy * kind.ratio());
        // What is told was so some time ago: own jobs sent since are not in it, some that ended are.
        // Guards against dispatchers that take each other's jobs for their own and meet there.
        let then = now.saturating_sub(REPORT_AGE);
        let worker = &mut self.workers[index];
        let out = worker.jobs.iter().map(|held| (held.sent_at, held.slots));
        let ended = worker.ended.iter().filter(|&&(ended, ..)| ended >= then);
        let own = out.chain(ended.map(|&(_, sent_at, slots)| (sent_at, slots)));
        let own: f64 = own.filter(|&(sent_at, _)| sent_at <= then).map(|(_, slots)| slots).sum();
        worker.others = (total - own).max(0.0);
        worker.others_at = Some(now);
    }

    /// Probes the ready workers in turn, as far as this dispatcher's jobs have earned it. Guards against a
    /// large fleet that probes without end, at a price and at the workers' cost.
    fn on_probe_timer(&mut self, actions: &mut Vec<Action>) {
        let count = self.workers.len();
        let ready = |&index: &usize| self.workers[index].state == WorkerState::Ready;
        let next = (1..=count).map(|step| (self.probed + step) % count).find(ready);
        if let Some(index) = next.filter(|_| self.probes >= 1.0) {
            self.probes -= 1.0;
            self.probed = index;
            actions.push(Action::QueryLoad { worker: WorkerId(index as u32) });
        }
        let ready = (0..count).filter(ready).count().max(1);
        actions.push(Action::StartTimer { after: PROBE_ROUND / ready as Micros, timer: Timer::LoadQuery });
    }

    /// What a probe tells. One that was not answered in time waited behind jobs, as those do: it says as
    /// much as a job that was turned away, and nothing of faults.
    fn on_probed(&mut self, now: Micros, worker: WorkerId, outcome: Outcome, report: Option<LoadReport>) {
        let index = worker.0 as usize;
        if index >= self.workers.len() {
            return;
        }
        let late = outcome == Outcome::TimedOut;
        if !late {
            self.learn_fault(index, None, outcome);
        }
        if late || report.is_some() {
            self.on_report(now, index, &report.unwrap_or_default(), late);
        }
    }

    /// Errors, resets, failed connects and time-outs lower the trust in a worker, service restores it;
    /// the same for each class there. Guards against workers that serve all classes but one.
    fn learn_fault(&mut self, index: usize, class: Option<usize>, outcome: Outcome) {
        let worker = &mut self.workers[index];
        let failed = match outcome {
            Outcome::Served => 0.0,
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed | Outcome::TimedOut => 1.0,
            Outcome::Rejected | Outcome::Cancelled | Outcome::Superseded => return,
        };
        worker.faults += (failed - worker.faults) * FAULT_GAIN;
        if let Some(faults) = class.and_then(|class| worker.class_faults.get_mut(class)) {
            *faults += (failed - *faults) * CLASS_FAULT_GAIN;
        }
    }

    /// Jobs that have been out for far longer than estimated count as failures of their class there
    /// before they end.
    /// Guards against workers that take jobs and fall silent: their end tells only at the deadline.
    fn learn_overdue(&mut self, now: Micros) {
        let mut found = Vec::new();
        for request in self.requests.values_mut() {
            for attempt in request.attempts.iter_mut().filter(|a| a.out && !a.overdue) {
                let out = secs(now.saturating_sub(attempt.sent_at));
                attempt.overdue = out > (OVERDUE_TIMES * attempt.estimate).max(OVERDUE_LEAST);
                if attempt.overdue {
                    found.push((attempt.worker as usize, request.class));
                }
            }
        }
        for (index, class) in found {
            let faults = &mut self.workers[index].class_faults[class];
            *faults += (1.0 - *faults) * CLASS_FAULT_GAIN;
        }
    }

    /// Slots that the other dispatchers' jobs take at a worker: the last report, fading to the
    /// mean of its kind as it ages, and how uncertain that is (a variance).
    fn others(&self, now: Micros, worker: &Worker, slots: f64) -> (f64, f64) {
        // Guards against cold workers that pass for as crowded as the warm ones and stay idle. Not for
        // warm ones: all who read one list would meet at those it shows idle.
        if let Some(at) = worker.listed_at.filter(|_| self.is_cold(now, worker)) {
            let age = LISTED_AGE + secs(now.saturating_sub(at));
            let fresh = (-age / LISTED_FADE).exp();
            let all = worker.listed_mean + (worker.listed - worker.listed_mean) * fresh;
            let part = 1.0 / f64::from(self.settings.fleet_size);
            return (all * (1.0 - part), all * (1.0 - fresh * fresh));
        }
        // Guards against a crowded zone that keeps its crowd while its kinds look usual elsewhere.
        let skew = self.kinds[worker.kind as usize].skew.ratio() * self.zones[worker.zone as usize].ratio();
        let mean = self.busy * skew * slots;
        // This dispatcher's own jobs are a sample of all: the more it has here, the more its
        // peers, who judge alike, are likely to have. Guards against late and missing reports.
        let part = 1.0 / f64::from(self.settings.fleet_size);
        let all = (worker.own_slots + PEERS_ALIKE) / (part + PEERS_ALIKE / mean.max(1e-3));
        let usual = all * (1.0 - part);
        match worker.others_at {
            None => (usual, usual),
            Some(at) => {
                // Falls about as the exponential, at less cost.
                let age = secs(now.saturating_sub(at) + REPORT_AGE);
                let aged = 1.0 + age / self.job_time;
                let fresh = 1.0 / (aged * aged);
                (usual + (worker.others - usual) * fresh, usual * (1.0 - fresh * fresh))
            }
        }
    }

    fn on_sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.learn_overdue(now);
        let fade = 0.5_f64.powf(secs(SWEEP) / FAULT_HALF);
        for index in 0..self.workers.len() {
            self.workers[index].faults *= fade;
            self.workers[index].class_faults.iter_mut().for_each(|faults| *faults *= fade);
            self.refresh_rate(now, index);
        }
        actions.push(Action::StartTimer { after: SWEEP, timer: Timer::PeriodicRefresh });
    }

    // ---- The estimate and the gate ---------------------------------------------------------

    /// Eq. (1): the job's time at a worker. Where the paper knows all jobs there, a dispatcher
    /// knows its own and expects the others', so that it does not crowd onto one quick worker
    /// together with its peers; the excess over the slots is a mean over what they may hold.
    fn estimate(&self, now: Micros, worker: &Worker, job: &Request) -> (f64, f64) {
        let alone = job.work / worker.service_rate;
        let slots = self.slots_of(worker);
        let (others, variance) = self.others(now, worker, slots);
        let over = worker.own_slots + job.slots + others - slots;
        let excess = 0.5 * (over + (over * over + SPREAD * variance).sqrt());
        (alone * (1.0 + excess / slots), alone * (1.0 + CROWD * excess / slots))
    }

    /// The share of attempts at a worker that end in an answer. The ranking divides by it: guards
    /// against errors that come fast and look like speed, and against spending a request's few
    /// attempts on a kind that is full.
    fn answers(&self, worker: &Worker, class: usize) -> f64 {
        let kind = &self.kinds[worker.kind as usize];
        let faults = worker.class_faults.get(class).map_or(worker.faults, |&own| own.max(worker.faults));
        (1.0 - faults.min(FAULT_CAP)) * (1.0 - kind.full.min(FAULT_CAP))
    }

    /// Time left at a worker until the aim, which grows with the job's own time there.
    fn time_left(&self, now: Micros, worker: &Worker, job: &Request) -> f64 {
        let stretch = self.settings.classes[job.class].latency_stretch;
        let aim = secs(job.aim_at) + stretch * (job.work / worker.service_rate);
        aim.min(secs(job.deadline)) - secs(now)
    }

    /// The lowest ready worker that keeps to the rules, if the job passes its gate; ties at random.
    /// Otherwise, when to come back: the jobs there must first shrink by as much as the estimate exceeds
    /// the time left; with no worker at all, a round later.
    /// In a large fleet each dispatcher has a taste of its own. Guards against dispatchers that know the
    /// same and all meet at one worker, of which each hears only when its own jobs come back late.
    fn pick(&mut self, now: Micros, job: &Request) -> Result<usize, (Micros, Rejection)> {
        let class = &self.settings.classes[job.class];
        let bound = class.worker_kind;
        let group = match (class.idempotency, job.may_have_run()) {
            (Idempotency::IdempotentWithKey { scope, .. }, Some(attempt)) => {
                Some((scope, attempt.worker as usize))
            }
            _ => None,
        };
        // A crossing to another zone costs its price in worth, told in time: worth falls over the aim.
        let aim =
            secs(class.latency_objective) + class.latency_stretch * job.work / self.fleet.rate.log_mean.exp();
        let crossing = CROSSING * self.settings.cross_zone_cost * aim;
        let mut best: Option<(usize, (bool, f64), f64)> = None;
        let mut ties = 1;
        let count = self.workers.len();
        let many = self.settings.fleet_size >= MANY;
        let start = if count > SCAN_MOST { self.rng.usize(0..count) } else { 0 };
        let mut seen = 0;
        for step in 0..count {
            // Guards against a cost of decisions that grows with the fleet.
            if seen >= SCAN_MOST && best.is_some() {
                break;
            }
            let index = (start + step) % count;
            let worker = &self.workers[index];
            if worker.state != WorkerState::Ready || bound.is_some_and(|kind| kind != worker.kind) {
                continue;
            }
            // Repeats of a keyed job stay where they are dropped.
            let in_group = group.is_none_or(|(scope, first)| match scope {
                KeyScope::All => true,
                KeyScope::Zone => self.workers[first].zone == worker.zone,
                KeyScope::Cell => self.workers[first].cell == worker.cell,
            });
            if !in_group || job.attempts.iter().any(|a| a.worker as usize == index) {
                continue;
            }
            seen += 1;
            let (estimate, weighed) = self.estimate(now, worker, job);
            let cold = self.is_cold(now, worker);
            let excess = estimate - self.time_left(now, worker, job);
            let crossing = if worker.zone == self.settings.zone { 0.0 } else { crossing };
            // A cold worker is open to few dispatchers, each with a part: there no crowd can meet.
            let taste = if cold { 1.0 } else { worker.taste * self.usual_taste };
            let rank = (weighed + crossing) * taste / self.answers(worker, job.class);
            // Those past the gate come first, where taste may have put one that is not before them.
            let rank = (many && excess > 0.0, rank);
            let beats = match best {
                None => !rank.1.is_nan(),
                Some((_, lowest, _)) => rank <= lowest,
            };
            if !beats || (cold && !self.cold_admits(now, index, job)) {
                continue;
            }
            let tied = best.is_some_and(|(_, lowest, _)| rank == lowest);
            ties = if tied { ties + 1 } else { 1 };
            if !tied || self.rng.u32(0..ties) == 0 {
                best = Some((index, rank, excess));
            }
        }
        let (index, _, excess) = best.ok_or((SWEEP, Rejection::NoEligibleWorker))?;
        if excess <= 0.0 { Ok(index) } else { Err((span(excess), Rejection::TooLate(span(excess)))) }
    }

    // ---- Cold workers ----------------------------------------------------------------------

    fn is_cold(&self, now: Micros, worker: &Worker) -> bool {
        worker.started_at.is_some_and(|t| now < t.saturating_add(self.settings.slow_start_duration))
    }

    /// The share of its capacity that a worker has by now at the least, 1 once it is warm.
    fn present(&self, now: Micros, worker: &Worker) -> f64 {
        let Some(started) = worker.started_at else { return 1.0 };
        let s = &self.settings;
        let warm = (secs(now.saturating_sub(started)) / secs(s.slow_start_duration.max(1))).min(1.0);
        s.slow_start_initial_capacity + (1.0 - s.slow_start_initial_capacity) * warm
    }

    /// This dispatcher's place among all for a worker, from 0, by rendezvous: each pair of the two has
    /// a random figure that all can compute, and the lowest comes first.
    fn cold_place(&mut self, index: usize) -> u32 {
        if let Some(place) = self.workers[index].place {
            return place;
        }
        let fleet = self.settings.fleet_size;
        let key = self.workers[index].key;
        let figure = |number: u32| fastrand::Rng::with_seed(key ^ (u64::from(number) << 32)).u64(..);
        let place = match self.settings.instance_index.filter(|&own| own < fleet) {
            Some(own) => (0..fleet).filter(|&other| figure(other) < figure(own)).count() as u32,
            // Not told its number: a place at random, as often shared as left out.
            None => self.rng.u32(0..fleet),
        };
        self.workers[index].place = Some(place);
        place
    }

    /// Whether a cold worker may get this job. All dispatchers together must stay inside the worker's
    /// budget and none knows of the others. So as many of them share it as leaves each a part that
    /// holds a few jobs, in the order of their places, and none sends more than its part.
    /// Guards against a part of each that is smaller than any job, with which a large fleet sends
    /// nothing, and against chance, which with small jobs of many goes beyond any budget. What a worker
    /// may get in a window goes by its capacity over that window, which is that at its middle.
    fn cold_admits(&mut self, now: Micros, index: usize, job: &Request) -> bool {
        let place = self.cold_place(index);
        let window = self.settings.overload_window.max(1);
        let (s, worker) = (&self.settings, &self.workers[index]);
        // Not what its earlier process got.
        let from = now.max(worker.started_at.map_or(0, |at| at.saturating_add(window)));
        let sent: f64 = worker.sent.iter().filter(|&&(until, _)| until > from).map(|&(_, work)| work).sum();
        // Guards against dispatchers that restart amid the ramp: what each sent before, it has forgotten, and
        // it may have been its whole part just then.
        if worker.started_at < self.started_at && now < self.started_at.unwrap_or(now) + window {
            return false;
        }
        let slots = self.kinds[worker.kind as usize].slots.unwrap_or(1.0);
        let capacity = self.present(now.saturating_sub(window / 2), worker) * slots * worker.service_rate;
        let budget = s.overload_multiple * capacity * secs(window);
        // Guards against a fall of which the told ones have sent over two thirds, and the others a third.
        let chance = 2.0 * (budget * self.mean_load).sqrt() + 2.0 * self.mean_load;
        let aim = (COLD_AIM * budget).min((budget + chance) / COLD_TOLD);
        let sharers = (aim / (COLD_JOBS * self.mean_load)).clamp(1.0, f64::from(s.fleet_size)).floor();
        // Guards against places drawn at random, which more may hold than there are.
        let drawn =
            s.instance_index.is_none_or(|own| own >= s.fleet_size) && sharers < f64::from(s.fleet_size);
        let part = aim / sharers * if drawn { 0.5 } else { 1.0 };
        f64::from(place) < sharers && sent + job.work * job.slots <= part
    }

    // ---- Requests --------------------------------------------------------------------------

    fn on_job(&mut self, now: Micros, job: IncomingRequest, actions: &mut Vec<Action>) {
        let class = job.class as usize;
        let refuse = |retry_after, why| Action::Reject { request: job.request, retry_after, reason: why };
        if class >= self.settings.classes.len() || job.time_left == 0 {
            actions.push(refuse(SWEEP, Rejection::Invalid));
            return;
        }
        if self.requests.contains_key(&job.request) {
            return;
        }
        let hint = sane(job.cost_hint, MAX_UNITS);
        let settings = &self.settings.classes[class];
        // Time spent before this try. Where every try is shortened, the time left says nothing
        // unless it falls below that of a first try.
        let longest = &mut self.longest_try[class];
        *longest = (*longest).max(job.time_left);
        let first_try = job.time_left >= *longest - *longest / 1000;
        let spent = if first_try { 0 } else { settings.deadline.saturating_sub(job.time_left) };
        let work = hint.unwrap_or_else(|| self.class_time[class].log_mean.exp());
        let wanted = secs(settings.latency_objective)
            + settings.latency_stretch * work / self.fleet.rate.log_mean.exp();
        // Guards against many clients that wait less long than their class allows: taken for time
        // spent before, the rest would leave none of the aim, and all of them would be refused.
        let short = secs(spent) >= wanted;
        self.short += (f64::from(short) - self.short) * SHORT_GAIN;
        let spent = if short && self.short > SHORT_MOST { 0 } else { spent };
        let mut request = Request {
            class,
            slots: sane(job.slots, MAX_UNITS).unwrap_or(1.0),
            work,
            hinted: hint.is_some(),
            aim_at: now.saturating_add(settings.latency_objective).saturating_sub(spent),
            deadline: now.saturating_add(job.time_left),
            finished: false,
            attempts: ArrayVec::new(),
        };
        self.probes = (self.probes + PROBE_SPEND / self.settings.load_query_cost).min(PROBES_SAVED);
        self.copies = (self.copies + COPY_EARNED).min(COPY_SAVED);
        self.jobs = (self.jobs + 1.0).min(1.0 / POOL_GAIN);
        self.mean_load += (request.work * request.slots - self.mean_load) / self.jobs;
        self.mean_slots += (request.slots - self.mean_slots) * BUSY_GAIN;
        if self.shed(now, &request, job.tenant) {
            // Slots are scarce: about one usual job later some of them are free.
            actions.push(refuse(span(self.job_time), Rejection::Overloaded));
            return;
        }
        match self.pick(now, &request) {
            Ok(index) => {
                self.send(now, job.request, &mut request, index, actions);
                self.requests.insert(job.request, request);
            }
            Err((retry_after, why)) => actions.push(refuse(retry_after, why)),
        }
    }

    /// Whether a job is refused for being worth too little per slot-second while slots are scarce.
    /// The price floats so that, of the work offered, as much falls below it as is to be shed.
    /// Guards against an overload in which all jobs wait and the dearest are late with the rest.
    fn shed(&mut self, now: Micros, job: &Request, tenant: u32) -> bool {
        let over = self.over_share(now, tenant as usize);
        let class = &self.settings.classes[job.class];
        let per_work = if self.settings.weight_by_work { 1.0 } else { job.work };
        let mut worth = class.priority_weight / (per_work * job.slots);
        if self.rng.f64() < over {
            worth *= self.settings.over_quota_weight;
        }
        let from = SCARCE_FROM + 1.0 / self.fleet.slots.unwrap_or(SLOTS_AT_FIRST);
        let scarce = ((self.busy - from) / SCARCE_SPAN).clamp(0.0, SHED_MOST);
        if self.shed_below <= 0.0 {
            self.shed_below = worth;
        }
        let cheap = worth < self.shed_below;
        let weight = (job.work * job.slots / self.mean_load).min(3.0);
        self.shed_below *= (SHED_GAIN * (scarce - f64::from(cheap)) * weight).exp();
        scarce > 0.0 && cheap
    }

    /// The share of a tenant's requests that lies beyond its allowance, as seen from here.
    fn over_share(&mut self, now: Micros, tenant: usize) -> f64 {
        let Some(settings) = self.settings.tenants.get(tenant) else { return 0.0 };
        let part = TENANT_ROOM * settings.quota_per_second / f64::from(self.settings.fleet_size);
        let (rate, at) = &mut self.tenants[tenant];
        *rate = *rate * (-secs(now.saturating_sub(*at)) / TENANT_WINDOW).exp() + 1.0 / TENANT_WINDOW;
        *at = now;
        if part > 0.0 { (1.0 - part / *rate).max(0.0) } else { 0.0 }
    }

    fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        request: &mut Request,
        index: usize,
        actions: &mut Vec<Action>,
    ) {
        let slots = self.slots_of(&self.workers[index]);
        let (estimate, _) = self.estimate(now, &self.workers[index], request);
        let worker = &mut self.workers[index];
        worker.own_slots += request.slots;
        worker.jobs.push(Held {
            request: id,
            attempt: request.attempts.len() as u32,
            slots: request.slots,
            sent_at: now,
        });
        // To all workers, as one may turn out to have started anew. Summed over short steps: guards against
        // a cost that grows with the number of jobs.
        let window = self.settings.overload_window.max(1);
        let step = (window / COLD_STEPS).max(1);
        let (until, work) = ((now / step + 1) * step + window, request.work * request.slots);
        match worker.sent.back_mut().filter(|last| last.0 == until) {
            Some(last) => last.1 += work,
            None => worker.sent.push_back((until, work)),
        }
        while worker.sent.front().is_some_and(|&(until, _)| until <= now) {
            worker.sent.pop_front();
        }
        request.attempts.push(Attempt {
            worker: index as u32,
            sent_at: now,
            fitted: worker.own_slots <= slots,
            mark: None,
            out: true,
            never_ran: false,
            estimate,
            overdue: false,
        });
        let (worker, estimate) = (WorkerId(index as u32), span(estimate));
        actions.push(Action::Send { request: id, worker, estimate });
        if self.settings.reports_job_start && self.may_copy(now, request) {
            let worker = &self.workers[index];
            let slack = self.time_left(now, worker, request) - request.work / worker.service_rate;
            let after = span(slack * COPY_AFTER).max(COPY_LEAST);
            actions.push(Action::StartTimer { after, timer: Timer::HedgeCheck(id) });
        }
    }

    /// A job that should have started by now gets a copy elsewhere, through the same estimate and
    /// gate, where its class allows a repeat; where two copies may not be out together, it is called
    /// off and moves once that is answered. Guards against a worker whose queue is longer than any
    /// report told, that hangs, or that has slowed down.
    fn on_check(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let waits = request.attempts.iter().filter(|a| a.out).all(|a| a.mark.is_none());
        if !request.finished
            && waits
            && self.copies >= 1.0
            && self.may_copy(now, &request)
            && let Ok(index) = self.pick(now, &request)
        {
            self.copies -= 1.0;
            if self.settings.hedging_allowed {
                self.send(now, id, &mut request, index, actions);
            } else {
                self.cancel_others(id, &request, actions);
            }
        }
        self.requests.insert(id, request);
    }

    /// Whether a job that is out may be sent once more, by a second copy or by a move.
    fn may_copy(&self, now: Micros, request: &Request) -> bool {
        if self.settings.hedging_allowed {
            return self.may_resend(now, request);
        }
        let safe = self.settings.classes[request.class].idempotency == Idempotency::Idempotent;
        safe && self.settings.cancellation_allowed && request.attempts.len() < self.attempt_cap()
    }

    fn on_progress(
        &mut self,
        now: Micros,
        id: RequestId,
        number: u32,
        progress: Progress,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(number as usize) else { return };
        if !attempt.out {
            return;
        }
        match progress {
            Progress::Started => {
                attempt.mark = Some((now, 0.0));
                if self.settings.cancellation_allowed {
                    // One copy runs: those that still wait are called off.
                    for (other, attempt) in request.attempts.iter().enumerate() {
                        if attempt.out && attempt.mark.is_none() {
                            actions.push(Action::Cancel { request: id, attempt: other as u32 });
                        }
                    }
                }
            }
            Progress::Done(share) if share > 0.0 && share < 1.0 => {
                let earlier = attempt.mark.replace((now, share));
                let index = attempt.worker as usize;
                if let Some((at, done)) = earlier
                    && share > done
                    && now > at
                {
                    let work = request.work * (share - done);
                    self.learn_rate(now, index, work, secs(now - at));
                }
            }
            Progress::Done(_) => {}
            // The client owns it now: no final answer is owed any more.
            Progress::Streaming => request.finished = true,
        }
    }

    fn on_outcome(&mut self, now: Micros, end: AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&end.request) else { return };
        let known = request.attempts.get_mut(end.attempt as usize).filter(|a| a.out);
        if let Some(attempt) = known {
            attempt.out = false;
            attempt.never_ran = end.outcome.never_ran();
            let attempt = *attempt;
            self.settle(now, &attempt, &request, &end);
        }
        if end.request_finished && !request.finished {
            request.finished = true;
            self.cancel_others(end.request, &request, actions);
        }
        if !request.finished && !request.any_out() {
            self.resend(now, end.request, &mut request, actions);
        }
        if !request.finished || request.any_out() {
            self.requests.insert(end.request, request);
        }
    }

    /// Takes an ended attempt off its worker's count and learns from it.
    fn settle(&mut self, now: Micros, attempt: &Attempt, job: &Request, end: &AttemptOutcome) {
        let index = attempt.worker as usize;
        let worker = &mut self.workers[index];
        let is_it = |held: &Held| (held.request, held.attempt) == (end.request, end.attempt);
        if let Some(at) = worker.jobs.iter().position(is_it) {
            let held = worker.jobs.remove(at);
            worker.ended.push_back((now, held.sent_at, held.slots));
            while worker.ended.front().is_some_and(|&(ended, ..)| ended + REPORT_AGE < now) {
                worker.ended.pop_front();
            }
        }
        worker.own_slots = worker.jobs.iter().map(|held| held.slots).sum();
        if !(attempt.overdue && end.outcome == Outcome::TimedOut) {
            self.learn_fault(index, Some(job.class), end.outcome);
        }
        if end.outcome == Outcome::Served {
            let took = secs(end.elapsed.max(SHORTEST_JOB));
            self.job_time += (took - self.job_time) * POOL_GAIN;
            let (share, time) = match attempt.mark {
                Some((at, done)) => (1.0 - done, now.saturating_sub(at)),
                None if attempt.fitted && !self.settings.reports_job_start => (1.0, end.elapsed),
                None => (0.0, 0),
            };
            if share > 0.0 && time > 0 {
                if !job.hinted && share == 1.0 {
                    // Guards against classes of unlike cost that no hint tells apart: at a work
                    // of 1 for all, a worker's rate would tell its mix of classes.
                    self.class_time[job.class].learn(secs(time).ln(), POOL_GAIN, now);
                }
                self.learn_rate(now, index, job.work * share, secs(time));
            }
        }
        let full = end.outcome == Outcome::Rejected;
        for pool in [&mut self.kinds[self.workers[index].kind as usize], &mut self.fleet] {
            pool.full += (f64::from(full) - pool.full) * BUSY_GAIN;
        }
        let served = end.outcome == Outcome::Served && !self.settings.load_by_query;
        if full || end.report.is_some() || served {
            self.on_report(now, index, &end.report.unwrap_or_default(), full);
        }
    }

    fn cancel_others(&self, id: RequestId, request: &Request, actions: &mut Vec<Action>) {
        if !self.settings.cancellation_allowed {
            return;
        }
        for (number, attempt) in request.attempts.iter().enumerate() {
            if attempt.out {
                actions.push(Action::Cancel { request: id, attempt: number as u32 });
            }
        }
    }

    /// Another attempt through the same estimate and gate, or else the final answer.
    fn resend(&mut self, now: Micros, id: RequestId, request: &mut Request, actions: &mut Vec<Action>) {
        let (mut retry_after, mut why) = (span(self.job_time), Rejection::AttemptsExhausted);
        if self.may_resend(now, request) {
            match self.pick(now, request) {
                Ok(index) => return self.send(now, id, request, index, actions),
                Err(refused) => (retry_after, why) = refused,
            }
        }
        request.finished = true;
        self.cancel_others(id, request, actions);
        actions.push(if self.may_refuse(request) && now < request.deadline {
            Action::Reject { request: id, retry_after, reason: why }
        } else {
            Action::Fail { request: id }
        });
    }

    fn attempt_cap(&self) -> usize {
        let mut cap = (self.settings.max_attempts as usize).min(MAX_ATTEMPTS);
        if self.fleet.full > 0.0 {
            // Guards against a full fleet that is asked for the same job all over, at the price of
            // its own work on every attempt.
            cap = cap.min((FULL_TRIES / self.fleet.full).ceil() as usize);
        }
        cap
    }

    fn may_resend(&self, now: Micros, request: &Request) -> bool {
        if request.attempts.len() >= self.attempt_cap() || now >= request.deadline {
            return false;
        }
        if request.any_out() && !self.settings.hedging_allowed {
            return false;
        }
        match (self.settings.classes[request.class].idempotency, request.may_have_run()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            // After the window the workers have forgotten the key and would run it again. It counts from the
            // first attempt that may have run, and holds for when the repeat is written, not decided on.
            (Idempotency::IdempotentWithKey { window, .. }, Some(first)) => {
                let written_by = now.saturating_add(self.settings.connect_timeout + DISPATCH_SLACK);
                written_by < first.sent_at.saturating_add(window)
            }
        }
    }

    fn may_refuse(&self, request: &Request) -> bool {
        match (self.settings.classes[request.class].idempotency, request.may_have_run()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, Some(_)) => false,
            (Idempotency::IdempotentWithKey { scope, .. }, Some(_)) => scope == KeyScope::All,
        }
    }

    /// The client has gone: nothing more goes out for the request.
    fn finish(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        if !request.finished {
            request.finished = true;
            self.cancel_others(id, &request, actions);
        }
        if request.any_out() {
            self.requests.insert(id, request);
        }
    }
}
