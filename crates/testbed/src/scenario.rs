//! A scenario: who works, who asks, and what goes wrong, as a TOML file. docs/testbed.md describes it.
use copperspread_dispatcher::{self as decisions, Idempotency, Micros, SECOND, Settings};
use serde::{Deserialize, Serialize};

/// A connection that is not up by then has failed.
pub(crate) const CONNECT: Micros = 250_000;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    pub about: String,
    /// How long clients come, in seconds.
    pub seconds: f64,
    /// Zones; schedulers, workers and clients are dealt to them in turn.
    #[serde(default = "one")]
    pub zones: u32,
    /// Cells in each zone, to which its workers are dealt in turn.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub cells: u32,
    /// Schedulers in all.
    pub schedulers: u32,
    /// Groups of workers.
    pub workers: Vec<Group>,
    /// Classes of jobs.
    pub classes: Vec<Class>,
    /// What clients do.
    pub clients: Clients,
    /// Ways between the parties.
    #[serde(default)]
    pub network: Network,
    /// The worker list's way to the schedulers.
    #[serde(default)]
    pub discovery: Discovery,
    /// Load reports.
    #[serde(default)]
    pub reports: Reports,
    /// Cold workers.
    #[serde(default)]
    pub cold: Cold,
    /// What schedulers are told that they may do.
    #[serde(default)]
    pub settings: Tuning,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What schedulers are told that they may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tuning {
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// Whether a second copy may be sent while the first is out.
    pub second_copies: bool,
    /// Whether attempts may be given up.
    pub may_cancel: bool,
    /// What an attempt in another zone costs, in the worth of a unit of work.
    pub price_cross_zone: f64,
    /// An attempt that is cancelled or timed out stops at its worker, waiting or running.
    #[serde(skip_serializing_if = "is_false")]
    pub cancel_stops: bool,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning {
            max_attempts: 4,
            second_copies: true,
            may_cancel: true,
            price_cross_zone: 0.03,
            cancel_stops: false,
        }
    }
}

fn one() -> u32 {
    1
}

fn is_one(value: &u32) -> bool {
    *value == 1
}

fn is_false(value: &bool) -> bool {
    !*value
}

fn is_zero(value: &f64) -> bool {
    *value == 0.0
}

/// In which order waiting jobs start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// As they came; the first waits until it fits.
    #[default]
    Fifo,
    /// The first that fits.
    Backfill,
    /// The one that is worth most, and of equals the first; it waits until it fits.
    Priority,
}

/// Workers that are built alike.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The kind's name.
    pub kind: String,
    /// How many.
    pub count: u32,
    /// Cores of each.
    pub cores: f64,
    /// Slots of each.
    pub slots: f64,
    /// The least and the greatest speed of a core; each worker draws its own.
    pub speed: [f64; 2],
    /// Most jobs that wait.
    #[serde(default = "hundred")]
    pub queue: usize,
    /// The order in which they start.
    #[serde(default)]
    pub order: Order,
    /// Memory of each, in the unit of the classes'; absent, it never fills. Schedulers take a
    /// worker to have one unit for each slot.
    #[serde(default)]
    pub memory: Option<f64>,
}

fn hundred() -> usize {
    100
}

/// What may be repeated of a class's jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// It must never run twice.
    Never,
    /// It carries a key by which workers of a zone drop a repeat.
    Keyed,
    /// It may run any number of times.
    Safe,
}

/// Which workers drop a repeat of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// All of them.
    All,
    /// Those of a zone.
    #[default]
    Zone,
    /// Those of a cell.
    Cell,
}

impl Scope {
    fn is_zone(&self) -> bool {
        *self == Scope::Zone
    }
}

/// How the work of a class's jobs is spread round its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spread {
    /// Log-normal, with this sigma.
    LogNormal(f64),
    /// Exponential.
    #[default]
    Exponential,
    /// All alike.
    Constant,
}

/// A class of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its share of all jobs, against the others' shares.
    pub share: f64,
    /// Mean work, in seconds at speed 1.
    pub work: f64,
    /// How it is spread.
    #[serde(default)]
    pub spread: Spread,
    /// The share of jobs that take two slots.
    #[serde(default)]
    pub wide: f64,
    /// In place of `wide`: how many slots a job takes, each with its share of the jobs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slots: Vec<[f64; 2]>,
    /// Mean memory that a job holds for each of its slots while it runs.
    #[serde(default)]
    pub memory: f64,
    /// Sigma of its log-normal spread; 0: all alike.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub memory_spread: f64,
    /// An answer in time comes within so many seconds ...
    pub aim: f64,
    /// ... plus so many times the job's own work.
    #[serde(default)]
    pub stretch: f64,
    /// Clients give up after so many seconds, over all tries.
    pub deadline: f64,
    /// What a unit of work is worth.
    pub worth: f64,
    /// What may be repeated.
    pub repeat: Repeat,
    /// For `keyed`: which workers drop a repeat.
    #[serde(default, skip_serializing_if = "Scope::is_zone")]
    pub scope: Scope,
    /// For `keyed`: for how many seconds a repeat is dropped.
    #[serde(default)]
    pub window: f64,
}

/// What clients do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second, whatever the answers: an open loop.
    pub rate: f64,
    /// Tries after a refusal, past the first.
    #[serde(default)]
    pub retries: u32,
    /// Clients heed `Retry-After` up to so many seconds.
    #[serde(default = "two")]
    pub heed: f64,
    /// When they try again.
    #[serde(default, skip_serializing_if = "Again::heeds")]
    pub again: Again,
    /// A client that has heard nothing so many seconds after its time breaks a rule; more than the
    /// default is for machines that stall, and tests that must not fail for it.
    #[serde(default = "grace")]
    pub grace: f64,
    /// A recorded trace in place of drawn arrivals, jobs in the order of their instants. The file of
    /// records of a scheduler gives one: `copperspread-testbed trace`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trace: Vec<Recorded>,
    /// The first schedulers get more than the others; absent, all get alike.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crowded: Option<Crowded>,
    /// Sigma of the log-normal error of hints; absent, there are none.
    #[serde(default)]
    pub hint_error: Option<f64>,
}

/// When clients try again after a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Again {
    /// When `Retry-After` says, and a little later.
    #[default]
    Heed,
    /// At once, whatever they were told.
    AtOnce,
    /// After so many seconds, whatever they were told.
    After(f64),
}

impl Again {
    fn heeds(&self) -> bool {
        *self == Again::Heed
    }

    /// How long a client waits that was told to stay away for `told`, of which it heeds so much at most;
    /// `spread` is drawn evenly from 0 to 1.
    pub fn wait(self, told: Micros, heed: f64, spread: f64) -> Micros {
        match self {
            Again::Heed => {
                let heeds = told.min(micros(heed));
                heeds + micros(0.01 + 0.2 * spread * heeds as f64 / SECOND as f64)
            }
            Again::AtOnce => 0,
            Again::After(wait) => micros(wait),
        }
    }
}

/// Schedulers that get more clients than the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crowded {
    /// How many, the first ones.
    pub schedulers: u32,
    /// How many times as many clients each of them gets as each of the others.
    pub times: f64,
}

fn grace() -> f64 {
    0.05
}

fn two() -> f64 {
    2.0
}

/// A job of a recorded trace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recorded {
    /// When it came, in seconds.
    pub at: f64,
    /// Its class's place in the list.
    pub class: u32,
    /// Its work, in seconds at speed 1.
    pub work: f64,
    /// Its slots.
    #[serde(default = "one_slot")]
    pub slots: f64,
    /// The hint of its work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<f64>,
}

fn one_slot() -> f64 {
    1.0
}

/// The way between two zones, both ways, where it is not as all others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pair {
    /// The zones.
    pub zones: [u32; 2],
    /// Seconds one way.
    pub way: f64,
    /// The share of messages that come 0.2 s late, as after a loss.
    #[serde(default)]
    pub loss: f64,
}

/// Ways between the parties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Seconds one way inside a zone.
    pub near: f64,
    /// Seconds one way between zones.
    pub far: f64,
    /// The share of messages that come 0.2 s late, as after a loss.
    pub loss: f64,
    /// Seconds by which a new connection to a worker delays the hand-over that it is opened for.
    pub connect: f64,
    /// Pairs of zones whose ways are others.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub pairs: Vec<Pair>,
}

impl Default for Network {
    fn default() -> Network {
        Network { near: 0.0005, far: 0.015, loss: 0.0, connect: 0.0, pairs: Vec::new() }
    }
}

impl Network {
    /// Seconds one way between two zones, and the share of messages that are lost and sent again.
    pub fn between(&self, from: u32, to: u32) -> (f64, f64) {
        let pair = self.pairs.iter().find(|pair| pair.zones == [from, to] || pair.zones == [to, from]);
        let usual = if from == to { self.near } else { self.far };
        pair.map_or((usual, self.loss), |pair| (pair.way, pair.loss))
    }
}

/// The worker list's way to the schedulers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Seconds until a change is told.
    pub delay: f64,
    /// Seconds until the first list comes; before it, only the list of before the start is known.
    pub first_after: f64,
    /// The share of workers in the list of before the start that are not there any more.
    pub stale: f64,
    /// The list tells each worker's size, divided by 1 and the jobs it holds a core, renewed every so
    /// many seconds; 0: never. In virtual time only.
    pub sizes: f64,
    /// The list is told only to whom asks for it. In real time the agents stay, one for each scheduler.
    #[serde(skip_serializing_if = "is_false")]
    pub on_request: bool,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { delay: 2.0, first_after: 0.0, stale: 0.0, sizes: 0.0, on_request: false }
    }
}

/// Load reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Reports {
    /// Seconds between refreshes.
    pub refresh: f64,
    /// Sigma of the noise, in slots.
    pub noise: f64,
    /// Workers tell how far running jobs are, so many seconds apart; 0: never.
    pub progress: f64,
    /// Answers carry no report: workers tell their load only when they are probed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub probe: Option<Probe>,
}

/// How workers are probed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Probe {
    /// What answering one costs the worker, in seconds at speed 1.
    pub work: f64,
    /// A probe waits in the queue as a job of one slot does; else it is answered at once.
    #[serde(default)]
    pub deep: bool,
    /// A scheduler waits for the answer for so many seconds.
    pub timeout: f64,
    /// A report tells what was true so many seconds before.
    #[serde(default)]
    pub late: f64,
    /// What one probe a job costs, in the share of the worth.
    #[serde(default)]
    pub price: f64,
}

impl Default for Reports {
    fn default() -> Reports {
        Reports { refresh: 1.0, noise: 0.1, progress: 0.0, probe: None }
    }
}

/// Cold workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Cold {
    /// A worker starts at this share of its capacity.
    pub from: f64,
    /// It is warm after so many seconds.
    pub warm_after: f64,
    /// Sent more than so many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for so many seconds, it falls over; 0 never.
    pub fall_seconds: f64,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold { from: 0.12, warm_after: 23.0, fall_multiple: 3.0, fall_seconds: 3.0 }
    }
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at: f64,
    /// How long it lasts, in seconds.
    pub lasts: f64,
    /// What it is.
    pub what: Trouble,
    /// The share of workers that it meets, at least one of them.
    #[serde(default = "tenth")]
    pub share: f64,
    /// Only workers of this zone.
    #[serde(default)]
    pub zone: Option<u32>,
    /// The workers met follow one another over so many seconds; 0 is all at once.
    #[serde(default)]
    pub spread_over: f64,
}

fn tenth() -> f64 {
    0.1
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Trouble {
    /// Workers run so many times slower.
    Slow(f64),
    /// Their jobs do not go on.
    Stuck,
    /// They tell nothing of the class of this number.
    Silent(u32),
    /// They are listed and refuse connections.
    Refusing,
    /// So great a share of the hand-overs to them breaks, half of them after the job was taken.
    Resetting(f64),
    /// Their processes end, and start cold when it is over.
    Crash,
    /// Their machines are out of reach; when it is over, they start cold.
    Vanish,
    /// They drain, hand back what has not started, and start cold when it is over.
    Drain,
    /// Clients come so many times as often.
    Burst(f64),
    /// A hundredth of the jobs of the class of this number cost twenty times as much.
    HeavyTail(u32),
    /// Load reports are refreshed so many seconds later.
    ReportsLate(f64),
    /// No change of the list is told.
    DiscoveryDown,
    /// Every answer of the list but the first is the whole list as it was when this began, in turns
    /// with what is true: it contradicts itself.
    DiscoveryContradicts,
    /// Scheduler processes end with all that they took, and start anew when it is over.
    SchedulerCrash,
    /// Scheduler processes are told to end: they get no new clients, answer what they took, and start anew
    /// when it is over. What they have not answered by then is lost, and breaks a rule.
    SchedulerRestart,
    /// Schedulers are led to another discovery: nothing is told until it is over, and then the whole list
    /// as it is there. In virtual time only.
    DiscoveryMoves,
    /// So great a share of the hand-overs to them is answered with what is no HTTP; they never run.
    Garbled(f64),
    /// They fail so great a share of the hand-overs at once: those never run, but to the rules they may
    /// have, as nobody is told.
    Failing(f64),
    /// Their call-backs come so many seconds late.
    LateNews(f64),
    /// They say everything twice.
    DoubledNews,
    /// Clients come ever more often, evenly, up to so many times as often at its end.
    Ramp(f64),
}

impl Trouble {
    /// Whether it meets workers, and not clients, reports or the list.
    pub fn meets_workers(self) -> bool {
        !self.meets_schedulers()
            && !matches!(
                self,
                Trouble::Burst(_)
                    | Trouble::Ramp(_)
                    | Trouble::HeavyTail(_)
                    | Trouble::ReportsLate(_)
                    | Trouble::DiscoveryDown
                    | Trouble::DiscoveryMoves
                    | Trouble::DiscoveryContradicts
            )
    }

    /// Whether it meets schedulers.
    pub fn meets_schedulers(self) -> bool {
        matches!(self, Trouble::SchedulerCrash | Trouble::SchedulerRestart)
    }
}

/// Seconds as microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds.max(0.0) * SECOND as f64).round() as Micros
}

impl Scenario {
    /// Reads a scenario and checks it.
    ///
    /// # Errors
    /// What is wrong, with line and key as TOML's reader tells them.
    pub fn read(text: &str) -> Result<Scenario, String> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string().trim_end().to_owned())?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks its figures.
    ///
    /// # Errors
    /// What is wrong, with its key.
    pub fn check(&self) -> Result<(), String> {
        let positive = |name: &str, value: f64| {
            if value.is_finite() && value > 0.0 {
                Ok(())
            } else {
                Err(format!("{name}: {value} is not over 0"))
            }
        };
        positive("seconds", self.seconds)?;
        positive("clients.rate", self.clients.rate)?;
        positive("clients.grace", self.clients.grace)?;
        let sizes = self.discovery.sizes;
        if sizes != 0.0 && !(0.05..=3_600.0).contains(&sizes) {
            return Err(format!("discovery.sizes: {sizes} is neither 0 nor between 0.05 and 3600"));
        }
        if self.cells == 0 {
            return Err("cells: at least one in each zone".into());
        }
        if let Again::After(wait) = self.clients.again
            && !(wait.is_finite() && wait >= 0.0)
        {
            return Err(format!("clients.again: {wait} is not 0 or more"));
        }
        if let Some(probe) = self.reports.probe {
            positive("reports.refresh", self.reports.refresh)?;
            positive("reports.probe.timeout", probe.timeout)?;
            for (name, value) in [("work", probe.work), ("late", probe.late), ("price", probe.price)] {
                if !value.is_finite() || value < 0.0 {
                    return Err(format!("reports.probe.{name}: {value} is not 0 or more"));
                }
            }
        }
        if self.zones == 0 || self.schedulers == 0 || self.classes.is_empty() || self.workers.is_empty() {
            return Err("zones, schedulers, workers and classes: at least one of each".into());
        }
        if let Some(Crowded { schedulers, times }) = self.clients.crowded {
            positive("clients.crowded.times", times)?;
            if schedulers == 0 || schedulers >= self.schedulers {
                return Err(format!("clients.crowded.schedulers: {schedulers} is not some of them"));
            }
        }
        for group in &self.workers {
            positive(&format!("workers of kind {:?}: cores", group.kind), group.cores)?;
            positive(&format!("workers of kind {:?}: slots", group.kind), group.slots)?;
            positive(&format!("workers of kind {:?}: speed", group.kind), group.speed[0])?;
            if group.speed[0] > group.speed[1] {
                return Err(format!(
                    "workers of kind {:?}: speed: {:?} is no range",
                    group.kind, group.speed
                ));
            }
        }
        for class in &self.classes {
            for (name, value) in [
                ("share", class.share),
                ("work", class.work),
                ("deadline", class.deadline),
                ("worth", class.worth),
            ] {
                positive(&format!("class {:?}: {name}", class.name), value)?;
            }
            for value in class.slots.as_flattened() {
                positive(&format!("class {:?}: slots", class.name), *value)?;
            }
            if class.wide > 0.0 && !class.slots.is_empty() {
                return Err(format!(
                    "class {:?}: wide and slots say the same thing; one of them",
                    class.name
                ));
            }
            for (name, value) in [("memory", class.memory), ("memory_spread", class.memory_spread)] {
                if !value.is_finite() || value < 0.0 {
                    return Err(format!("class {:?}: {name}: {value} is not 0 or more", class.name));
                }
            }
        }
        if self.clients.trace.windows(2).any(|pair| pair[0].at > pair[1].at) {
            return Err("clients.trace: not in the order of its instants".into());
        }
        for (number, job) in self.clients.trace.iter().enumerate() {
            let good = |value: f64| value.is_finite() && value > 0.0;
            let known = (job.class as usize) < self.classes.len();
            let came = job.at.is_finite() && job.at >= 0.0;
            if !(known && came && good(job.work) && good(job.slots)) {
                return Err(format!("clients.trace[{number}]: no such class, or a figure that is none"));
            }
        }
        for (number, pair) in self.network.pairs.iter().enumerate() {
            let known = pair.zones.iter().all(|&zone| zone < self.zones);
            let good = pair.way.is_finite() && pair.way >= 0.0 && (0.0..=1.0).contains(&pair.loss);
            if !(known && good) {
                return Err(format!("network.pairs[{number}]: no such zone, or a figure that is none"));
            }
        }
        for (name, value) in
            [("network.connect", self.network.connect), ("reports.progress", self.reports.progress)]
        {
            if !value.is_finite() || value < 0.0 {
                return Err(format!("{name}: {value} is not 0 or more"));
            }
        }
        for (number, fault) in self.faults.iter().enumerate() {
            let class = match fault.what {
                Trouble::Silent(class) | Trouble::HeavyTail(class) => class,
                _ => 0,
            };
            let unknown_zone = fault.zone.is_some_and(|zone| zone >= self.zones);
            if class as usize >= self.classes.len() || unknown_zone {
                return Err(format!("faults[{number}]: no such class or zone"));
            }
            let factor = match fault.what {
                Trouble::Slow(by) | Trouble::Burst(by) | Trouble::Ramp(by) => {
                    positive(&format!("faults[{number}].what"), by)
                }
                _ => Ok(()),
            };
            factor?;
            for (name, value) in
                [("at", fault.at), ("lasts", fault.lasts), ("spread_over", fault.spread_over)]
            {
                if !value.is_finite() || value < 0.0 {
                    return Err(format!("faults[{number}].{name}: {value} is not 0 or more"));
                }
            }
            let broken = match fault.what {
                Trouble::Resetting(share) | Trouble::Garbled(share) | Trouble::Failing(share) => share,
                _ => 0.0,
            };
            if let Trouble::LateNews(by) | Trouble::ReportsLate(by) = fault.what
                && !(by.is_finite() && by >= 0.0)
            {
                return Err(format!("faults[{number}].what: {by} is not 0 or more"));
            }
            for share in [fault.share, broken] {
                if !(0.0..=1.0).contains(&share) {
                    return Err(format!("faults[{number}]: a share of {share} is not between 0 and 1"));
                }
            }
        }
        Ok(())
    }

    /// The settings of one scheduler.
    pub fn settings(&self, scheduler: u32) -> Settings {
        let class = |class: &Class| decisions::RequestClass {
            latency_objective: micros(class.aim),
            latency_stretch: class.stretch,
            deadline: micros(class.deadline),
            priority_weight: class.worth,
            idempotency: class.effect(),
            worker_kind: None,
        };
        Settings {
            fleet_size: self.schedulers,
            instance_index: Some(scheduler),
            sizes_reflect_load: self.discovery.sizes > 0.0,
            zone: scheduler % self.zones,
            classes: self.classes.iter().map(class).collect(),
            weight_by_work: true,
            slow_start_initial_capacity: self.cold.from,
            slow_start_duration: micros(self.cold.warm_after),
            overload_multiple: self.cold.fall_multiple,
            overload_window: micros(self.cold.fall_seconds.max(0.001)),
            connect_timeout: CONNECT,
            max_attempts: self.settings.max_attempts,
            hedging_allowed: self.settings.second_copies,
            cancellation_allowed: self.settings.may_cancel,
            reports_job_start: true,
            cross_zone_cost: self.settings.price_cross_zone,
            load_by_query: self.reports.probe.is_some(),
            load_query_cost: self.reports.probe.map_or(0.0, |probe| probe.price),
            discovery: if self.discovery.on_request {
                decisions::Discovery::Polled
            } else {
                decisions::Discovery::Pushed
            },
            ..Settings::default()
        }
    }

    /// Jobs a second that the fleet can do, if all of them do their mean.
    pub fn capacity(&self) -> f64 {
        let cores = |group: &Group| {
            f64::from(group.count) * group.cores.min(group.slots) * (group.speed[0] + group.speed[1]) / 2.0
        };
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work = |class: &Class| class.share / shares * class.work * class.mean_slots();
        self.workers.iter().map(cores).sum::<f64>() / self.classes.iter().map(work).sum::<f64>()
    }
}

impl Class {
    /// The slots that a job takes in the mean.
    pub fn mean_slots(&self) -> f64 {
        if self.slots.is_empty() {
            return 1.0 + self.wide;
        }
        let shares: f64 = self.slots.iter().map(|[_, share]| share).sum();
        self.slots.iter().map(|[slots, share]| slots * share / shares).sum()
    }

    /// What may be repeated, in the module's form.
    pub fn effect(&self) -> Idempotency {
        match self.repeat {
            Repeat::Safe => Idempotency::Idempotent,
            Repeat::Keyed => {
                let scope = match self.scope {
                    Scope::All => decisions::KeyScope::All,
                    Scope::Zone => decisions::KeyScope::Zone,
                    Scope::Cell => decisions::KeyScope::Cell,
                };
                Idempotency::IdempotentWithKey { scope, window: micros(self.window) }
            }
            Repeat::Never => Idempotency::NonIdempotent,
        }
    }
}
