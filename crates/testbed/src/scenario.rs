//! A scenario: who works, who asks, and what goes wrong, as a TOML file. docs/testbed.md describes it.
use copperspread_dispatcher::{self as decisions, Idempotency, Micros, SECOND, Settings};
use serde::{Deserialize, Serialize};

/// A connection that is not up by then has failed.
pub(crate) const CONNECT_TIMEOUT: Micros = 250_000;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// What it is for, in a sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// How long clients come, in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Zones; schedulers, workers and clients are dealt to them in turn.
    #[serde(default = "one")]
    pub zones: u32,
    /// Cells in each zone, to which its workers are dealt in turn.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub cells: u32,
    /// Schedulers in all.
    pub schedulers: u32,
    /// Groups of workers.
    pub workers: Vec<WorkerGroup>,
    /// Classes of jobs.
    pub classes: Vec<JobClass>,
    /// What clients do.
    pub clients: Clients,
    /// Ways between the parties.
    #[serde(default)]
    pub network: Network,
    /// The worker list's way to the schedulers.
    #[serde(default)]
    pub discovery: Discovery,
    /// Load reports.
    #[serde(rename = "reports", default)]
    pub load_reports: LoadReports,
    /// Cold workers.
    #[serde(rename = "cold", default)]
    pub slow_start: SlowStart,
    /// What schedulers are told that they may do.
    #[serde(rename = "settings", default)]
    pub tuning: SchedulerTuning,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What schedulers are told that they may do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Tuning", default, deny_unknown_fields)]
pub struct SchedulerTuning {
    /// Most attempts of a request.
    pub max_attempts: u32,
    /// Whether a second copy may be sent while the first is out.
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Whether attempts may be given up.
    #[serde(rename = "may_cancel")]
    pub cancellation_allowed: bool,
    /// What an attempt in another zone costs, in the worth of a unit of work.
    #[serde(rename = "price_cross_zone")]
    pub cross_zone_cost: f64,
    /// An attempt that is cancelled or timed out stops at its worker, waiting or running.
    #[serde(rename = "cancel_stops", skip_serializing_if = "is_false")]
    pub cancel_stops_job: bool,
}

impl Default for SchedulerTuning {
    fn default() -> SchedulerTuning {
        SchedulerTuning {
            max_attempts: 4,
            hedging_allowed: true,
            cancellation_allowed: true,
            cross_zone_cost: 0.03,
            cancel_stops_job: false,
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
#[serde(rename = "Order", rename_all = "lowercase")]
pub enum QueueOrder {
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
#[serde(rename = "Group", deny_unknown_fields)]
pub struct WorkerGroup {
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
    #[serde(rename = "queue", default = "hundred")]
    pub queue_capacity: usize,
    /// The order in which they start.
    #[serde(rename = "order", default)]
    pub queue_order: QueueOrder,
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
#[serde(rename = "Repeat", rename_all = "lowercase")]
pub enum RepeatPolicy {
    /// It must never run twice.
    Never,
    /// It carries a key by which workers of a zone drop a repeat.
    Keyed,
    /// It may run any number of times.
    Safe,
}

/// Which workers drop a repeat of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Scope", rename_all = "lowercase")]
pub enum DeduplicationScope {
    /// All of them.
    All,
    /// Those of a zone.
    #[default]
    Zone,
    /// Those of a cell.
    Cell,
}

impl DeduplicationScope {
    fn is_zone(&self) -> bool {
        *self == DeduplicationScope::Zone
    }
}

/// How the work of a class's jobs is spread round its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Spread", rename_all = "lowercase")]
pub enum WorkDistribution {
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
#[serde(rename = "Class", deny_unknown_fields)]
pub struct JobClass {
    /// Its name.
    pub name: String,
    /// Its share of all jobs, against the others' shares.
    pub share: f64,
    /// Mean work, in seconds at speed 1.
    #[serde(rename = "work")]
    pub mean_work: f64,
    /// How it is spread.
    #[serde(rename = "spread", default)]
    pub work_distribution: WorkDistribution,
    /// The share of jobs that take two slots.
    #[serde(rename = "wide", default)]
    pub two_slot_share: f64,
    /// In place of `wide`: how many slots a job takes, each with its share of the jobs.
    #[serde(rename = "slots", default, skip_serializing_if = "Vec::is_empty")]
    pub slot_distribution: Vec<[f64; 2]>,
    /// Mean memory that a job holds for each of its slots while it runs.
    #[serde(rename = "memory", default)]
    pub mean_memory: f64,
    /// Sigma of its log-normal spread; 0: all alike.
    #[serde(rename = "memory_spread", default, skip_serializing_if = "is_zero")]
    pub memory_sigma: f64,
    /// An answer in time comes within so many seconds ...
    #[serde(rename = "aim")]
    pub latency_objective_s: f64,
    /// ... plus so many times the job's own work.
    #[serde(rename = "stretch", default)]
    pub latency_stretch: f64,
    /// Clients give up after so many seconds, over all tries.
    #[serde(rename = "deadline")]
    pub deadline_s: f64,
    /// What a unit of work is worth.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// For `keyed`: which workers drop a repeat.
    #[serde(rename = "scope", default, skip_serializing_if = "DeduplicationScope::is_zone")]
    pub deduplication_scope: DeduplicationScope,
    /// For `keyed`: for how many seconds a repeat is dropped.
    #[serde(rename = "window", default)]
    pub deduplication_window_s: f64,
}

/// What clients do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second, whatever the answers: an open loop.
    #[serde(rename = "rate")]
    pub rate_per_s: f64,
    /// Tries after a refusal, past the first.
    #[serde(rename = "retries", default)]
    pub max_retries: u32,
    /// Clients heed `Retry-After` up to so many seconds.
    #[serde(rename = "heed", default = "two")]
    pub max_retry_after_s: f64,
    /// When they try again.
    #[serde(rename = "again", default, skip_serializing_if = "RetryTiming::heeds")]
    pub retry_timing: RetryTiming,
    /// A client that has heard nothing so many seconds after its time breaks a rule; more than the
    /// default is for machines that stall, and tests that must not fail for it.
    #[serde(rename = "grace", default = "grace")]
    pub deadline_grace_s: f64,
    /// A recorded trace in place of drawn arrivals, jobs in the order of their instants. The file of
    /// records of a scheduler gives one: `copperspread-testbed trace`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trace: Vec<RecordedJob>,
    /// The first schedulers get more than the others; absent, all get alike.
    #[serde(rename = "crowded", default, skip_serializing_if = "Option::is_none")]
    pub skew: Option<ClientSkew>,
    /// Sigma of the log-normal error of hints; absent, there are none.
    #[serde(rename = "hint_error", default)]
    pub hint_error_sigma: Option<f64>,
}

/// When clients try again after a refusal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Again", rename_all = "snake_case")]
pub enum RetryTiming {
    /// When `Retry-After` says, and a little later.
    #[default]
    #[serde(rename = "heed")]
    HonorRetryAfter,
    /// At once, whatever they were told.
    #[serde(rename = "at_once")]
    Immediately,
    /// After so many seconds, whatever they were told.
    #[serde(rename = "after")]
    FixedDelay(f64),
}

impl RetryTiming {
    fn heeds(&self) -> bool {
        *self == RetryTiming::HonorRetryAfter
    }

    /// How long a client waits that was told to stay away for `told`, of which it heeds so much at most;
    /// `spread` is drawn evenly from 0 to 1.
    pub fn delay(self, told: Micros, heed: f64, spread: f64) -> Micros {
        match self {
            RetryTiming::HonorRetryAfter => {
                let heeds = told.min(micros_from_seconds(heed));
                heeds + micros_from_seconds(0.01 + 0.2 * spread * heeds as f64 / SECOND as f64)
            }
            RetryTiming::Immediately => 0,
            RetryTiming::FixedDelay(wait) => micros_from_seconds(wait),
        }
    }
}

/// Schedulers that get more clients than the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Crowded", deny_unknown_fields)]
pub struct ClientSkew {
    /// How many, the first ones.
    pub schedulers: u32,
    /// How many times as many clients each of them gets as each of the others.
    #[serde(rename = "times")]
    pub factor: f64,
}

fn grace() -> f64 {
    0.05
}

fn two() -> f64 {
    2.0
}

/// A job of a recorded trace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Recorded", deny_unknown_fields)]
pub struct RecordedJob {
    /// When it came, in seconds.
    #[serde(rename = "at")]
    pub arrives_at_s: f64,
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
#[serde(rename = "Pair", deny_unknown_fields)]
pub struct ZoneLink {
    /// The zones.
    pub zones: [u32; 2],
    /// Seconds one way.
    #[serde(rename = "way")]
    pub delay_s: f64,
    /// The share of messages that come 0.2 s late, as after a loss.
    #[serde(default)]
    pub loss: f64,
}

/// Ways between the parties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Seconds one way inside a zone.
    #[serde(rename = "near")]
    pub intra_zone_delay_s: f64,
    /// Seconds one way between zones.
    #[serde(rename = "far")]
    pub inter_zone_delay_s: f64,
    /// The share of messages that come 0.2 s late, as after a loss.
    pub loss: f64,
    /// Seconds by which a new connection to a worker delays the hand-over that it is opened for.
    #[serde(rename = "connect")]
    pub connect_delay_s: f64,
    /// Pairs of zones whose ways are others.
    #[serde(rename = "pairs", skip_serializing_if = "Vec::is_empty")]
    pub zone_links: Vec<ZoneLink>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            intra_zone_delay_s: 0.0005,
            inter_zone_delay_s: 0.015,
            loss: 0.0,
            connect_delay_s: 0.0,
            zone_links: Vec::new(),
        }
    }
}

impl Network {
    /// The link between two zones, the same in both directions.
    pub fn link_between(&self, from: u32, to: u32) -> ZoneLinkQuality {
        let exception =
            self.zone_links.iter().find(|link| link.zones == [from, to] || link.zones == [to, from]);
        let usual_delay_s = if from == to { self.intra_zone_delay_s } else { self.inter_zone_delay_s };
        let usual = ZoneLinkQuality { delay_s: usual_delay_s, loss: self.loss };
        exception.map_or(usual, |link| ZoneLinkQuality { delay_s: link.delay_s, loss: link.loss })
    }
}

/// Delay and loss of the messages between two zones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ZoneLinkQuality {
    /// Seconds in one direction.
    pub delay_s: f64,
    /// The share of messages that are lost and sent again.
    pub loss: f64,
}

/// The worker list's way to the schedulers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Seconds until a change is told.
    #[serde(rename = "delay")]
    pub delay_s: f64,
    /// Seconds until the first list comes; before it, only the list of before the start is known.
    #[serde(rename = "first_after")]
    pub first_list_after_s: f64,
    /// The share of workers in the list of before the start that are not there any more.
    #[serde(rename = "stale")]
    pub stale_share: f64,
    /// The list tells each worker's size, divided by 1 and the jobs it holds a core, renewed every so
    /// many seconds; 0: never. In virtual time only.
    #[serde(rename = "sizes")]
    pub size_interval_s: f64,
    /// The list is told only to whom asks for it. In real time the agents stay, one for each scheduler.
    #[serde(rename = "on_request", skip_serializing_if = "is_false")]
    pub polled: bool,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery {
            delay_s: 2.0,
            first_list_after_s: 0.0,
            stale_share: 0.0,
            size_interval_s: 0.0,
            polled: false,
        }
    }
}

/// Load reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Reports", default, deny_unknown_fields)]
pub struct LoadReports {
    /// Seconds between refreshes.
    #[serde(rename = "refresh")]
    pub refresh_interval_s: f64,
    /// Sigma of the noise, in slots.
    #[serde(rename = "noise")]
    pub noise_slots: f64,
    /// Workers tell how far running jobs are, so many seconds apart; 0: never.
    #[serde(rename = "progress")]
    pub progress_interval_s: f64,
    /// Answers carry no report: workers tell their load only when they are probed.
    #[serde(rename = "probe", skip_serializing_if = "Option::is_none")]
    pub load_query: Option<LoadQuery>,
}

/// How workers are probed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Probe", deny_unknown_fields)]
pub struct LoadQuery {
    /// What answering one costs the worker, in seconds at speed 1.
    pub work: f64,
    /// A probe waits in the queue as a job of one slot does; else it is answered at once.
    #[serde(rename = "deep", default)]
    pub queued: bool,
    /// A scheduler waits for the answer for so many seconds.
    #[serde(rename = "timeout")]
    pub timeout_s: f64,
    /// A report tells what was true so many seconds before.
    #[serde(rename = "late", default)]
    pub staleness_s: f64,
    /// What one probe a job costs, in the share of the worth.
    #[serde(rename = "price", default)]
    pub cost: f64,
}

impl Default for LoadReports {
    fn default() -> LoadReports {
        LoadReports { refresh_interval_s: 1.0, noise_slots: 0.1, progress_interval_s: 0.0, load_query: None }
    }
}

/// Cold workers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Cold", default, deny_unknown_fields)]
pub struct SlowStart {
    /// A worker starts at this share of its capacity.
    #[serde(rename = "from")]
    pub initial_capacity: f64,
    /// It is warm after so many seconds.
    #[serde(rename = "warm_after")]
    pub duration_s: f64,
    /// Sent more than so many times its present capacity ...
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    /// ... for so many seconds, it falls over; 0 never.
    #[serde(rename = "fall_seconds")]
    pub overload_window_s: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart { initial_capacity: 0.12, duration_s: 23.0, overload_multiple: 3.0, overload_window_s: 3.0 }
    }
}

/// Something that goes wrong for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    #[serde(rename = "at")]
    pub starts_at_s: f64,
    /// How long it lasts, in seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// What it is.
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// The share of workers that it meets, at least one of them.
    #[serde(rename = "share", default = "tenth")]
    pub worker_share: f64,
    /// Only workers of this zone.
    #[serde(default)]
    pub zone: Option<u32>,
    /// The workers met follow one another over so many seconds; 0 is all at once.
    #[serde(rename = "spread_over", default)]
    pub stagger_s: f64,
}

fn tenth() -> f64 {
    0.1
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Trouble", rename_all = "snake_case")]
pub enum FaultKind {
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
    #[serde(rename = "late_news")]
    LateCallbacks(f64),
    /// They say everything twice.
    #[serde(rename = "doubled_news")]
    DuplicateCallbacks,
    /// Clients come ever more often, evenly, up to so many times as often at its end.
    Ramp(f64),
}

impl std::fmt::Display for FaultKind {
    /// The name as printed in reports.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FaultKind::LateCallbacks(by) => f.debug_tuple("LateNews").field(by).finish(),
            FaultKind::DuplicateCallbacks => f.write_str("DoubledNews"),
            kind => std::fmt::Debug::fmt(kind, f),
        }
    }
}

impl FaultKind {
    /// Whether it meets workers, and not clients, reports or the list.
    pub fn affects_workers(self) -> bool {
        !self.affects_schedulers()
            && !matches!(
                self,
                FaultKind::Burst(_)
                    | FaultKind::Ramp(_)
                    | FaultKind::HeavyTail(_)
                    | FaultKind::ReportsLate(_)
                    | FaultKind::DiscoveryDown
                    | FaultKind::DiscoveryMoves
                    | FaultKind::DiscoveryContradicts
            )
    }

    /// Whether it meets schedulers.
    pub fn affects_schedulers(self) -> bool {
        matches!(self, FaultKind::SchedulerCrash | FaultKind::SchedulerRestart)
    }
}

/// Seconds as microseconds.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds.max(0.0) * SECOND as f64).round() as Micros
}

impl Scenario {
    /// Reads a scenario and checks it.
    ///
    /// # Errors
    /// What is wrong, with line and key as TOML's reader tells them.
    pub fn parse(text: &str) -> Result<Scenario, String> {
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
        positive("seconds", self.duration_s)?;
        positive("clients.rate", self.clients.rate_per_s)?;
        positive("clients.grace", self.clients.deadline_grace_s)?;
        let sizes = self.discovery.size_interval_s;
        if sizes != 0.0 && !(0.05..=3_600.0).contains(&sizes) {
            return Err(format!("discovery.sizes: {sizes} is neither 0 nor between 0.05 and 3600"));
        }
        if self.cells == 0 {
            return Err("cells: at least one in each zone".into());
        }
        if let RetryTiming::FixedDelay(wait) = self.clients.retry_timing
            && !(wait.is_finite() && wait >= 0.0)
        {
            return Err(format!("clients.again: {wait} is not 0 or more"));
        }
        if let Some(probe) = self.load_reports.load_query {
            positive("reports.refresh", self.load_reports.refresh_interval_s)?;
            positive("reports.probe.timeout", probe.timeout_s)?;
            for (name, value) in [("work", probe.work), ("late", probe.staleness_s), ("price", probe.cost)] {
                if !value.is_finite() || value < 0.0 {
                    return Err(format!("reports.probe.{name}: {value} is not 0 or more"));
                }
            }
        }
        if self.zones == 0 || self.schedulers == 0 || self.classes.is_empty() || self.workers.is_empty() {
            return Err("zones, schedulers, workers and classes: at least one of each".into());
        }
        if let Some(ClientSkew { schedulers, factor: times }) = self.clients.skew {
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
                ("work", class.mean_work),
                ("deadline", class.deadline_s),
                ("worth", class.priority_weight),
            ] {
                positive(&format!("class {:?}: {name}", class.name), value)?;
            }
            for value in class.slot_distribution.as_flattened() {
                positive(&format!("class {:?}: slots", class.name), *value)?;
            }
            if class.two_slot_share > 0.0 && !class.slot_distribution.is_empty() {
                return Err(format!(
                    "class {:?}: wide and slots say the same thing; one of them",
                    class.name
                ));
            }
            for (name, value) in [("memory", class.mean_memory), ("memory_spread", class.memory_sigma)] {
                if !value.is_finite() || value < 0.0 {
                    return Err(format!("class {:?}: {name}: {value} is not 0 or more", class.name));
                }
            }
        }
        if self.clients.trace.windows(2).any(|pair| pair[0].arrives_at_s > pair[1].arrives_at_s) {
            return Err("clients.trace: not in the order of its instants".into());
        }
        for (number, job) in self.clients.trace.iter().enumerate() {
            let good = |value: f64| value.is_finite() && value > 0.0;
            let known = (job.class as usize) < self.classes.len();
            let came = job.arrives_at_s.is_finite() && job.arrives_at_s >= 0.0;
            if !(known && came && good(job.work) && good(job.slots)) {
                return Err(format!("clients.trace[{number}]: no such class, or a figure that is none"));
            }
        }
        for (number, pair) in self.network.zone_links.iter().enumerate() {
            let known = pair.zones.iter().all(|&zone| zone < self.zones);
            let good = pair.delay_s.is_finite() && pair.delay_s >= 0.0 && (0.0..=1.0).contains(&pair.loss);
            if !(known && good) {
                return Err(format!("network.pairs[{number}]: no such zone, or a figure that is none"));
            }
        }
        for (name, value) in [
            ("network.connect", self.network.connect_delay_s),
            ("reports.progress", self.load_reports.progress_interval_s),
        ] {
            if !value.is_finite() || value < 0.0 {
                return Err(format!("{name}: {value} is not 0 or more"));
            }
        }
        for (number, fault) in self.faults.iter().enumerate() {
            let class = match fault.kind {
                FaultKind::Silent(class) | FaultKind::HeavyTail(class) => class,
                _ => 0,
            };
            let unknown_zone = fault.zone.is_some_and(|zone| zone >= self.zones);
            if class as usize >= self.classes.len() || unknown_zone {
                return Err(format!("faults[{number}]: no such class or zone"));
            }
            let factor = match fault.kind {
                FaultKind::Slow(by) | FaultKind::Burst(by) | FaultKind::Ramp(by) => {
                    positive(&format!("faults[{number}].what"), by)
                }
                _ => Ok(()),
            };
            factor?;
            for (name, value) in
                [("at", fault.starts_at_s), ("lasts", fault.duration_s), ("spread_over", fault.stagger_s)]
            {
                if !value.is_finite() || value < 0.0 {
                    return Err(format!("faults[{number}].{name}: {value} is not 0 or more"));
                }
            }
            let broken = match fault.kind {
                FaultKind::Resetting(share) | FaultKind::Garbled(share) | FaultKind::Failing(share) => share,
                _ => 0.0,
            };
            if let FaultKind::LateCallbacks(by) | FaultKind::ReportsLate(by) = fault.kind
                && !(by.is_finite() && by >= 0.0)
            {
                return Err(format!("faults[{number}].what: {by} is not 0 or more"));
            }
            for share in [fault.worker_share, broken] {
                if !(0.0..=1.0).contains(&share) {
                    return Err(format!("faults[{number}]: a share of {share} is not between 0 and 1"));
                }
            }
        }
        Ok(())
    }

    /// The settings of one scheduler.
    pub fn settings(&self, scheduler: u32) -> Settings {
        let class = |class: &JobClass| decisions::RequestClass {
            latency_objective: micros_from_seconds(class.latency_objective_s),
            latency_stretch: class.latency_stretch,
            deadline: micros_from_seconds(class.deadline_s),
            priority_weight: class.priority_weight,
            idempotency: class.idempotency(),
            worker_kind: None,
        };
        Settings {
            fleet_size: self.schedulers,
            instance_index: Some(scheduler),
            sizes_reflect_load: self.discovery.size_interval_s > 0.0,
            zone: scheduler % self.zones,
            classes: self.classes.iter().map(class).collect(),
            weight_by_work: true,
            slow_start_initial_capacity: self.slow_start.initial_capacity,
            slow_start_duration: micros_from_seconds(self.slow_start.duration_s),
            overload_multiple: self.slow_start.overload_multiple,
            overload_window: micros_from_seconds(self.slow_start.overload_window_s.max(0.001)),
            connect_timeout: CONNECT_TIMEOUT,
            max_attempts: self.tuning.max_attempts,
            hedging_allowed: self.tuning.hedging_allowed,
            cancellation_allowed: self.tuning.cancellation_allowed,
            reports_job_start: true,
            cross_zone_cost: self.tuning.cross_zone_cost,
            load_by_query: self.load_reports.load_query.is_some(),
            load_query_cost: self.load_reports.load_query.map_or(0.0, |probe| probe.cost),
            discovery: if self.discovery.polled {
                decisions::Discovery::Polled
            } else {
                decisions::Discovery::Pushed
            },
            ..Settings::default()
        }
    }

    /// Jobs a second that the fleet can do, if all of them do their mean.
    pub fn capacity(&self) -> f64 {
        let cores = |group: &WorkerGroup| {
            f64::from(group.count) * group.cores.min(group.slots) * (group.speed[0] + group.speed[1]) / 2.0
        };
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work = |class: &JobClass| class.share / shares * class.mean_work * class.mean_slots();
        self.workers.iter().map(cores).sum::<f64>() / self.classes.iter().map(work).sum::<f64>()
    }
}

impl JobClass {
    /// The slots that a job takes in the mean.
    pub fn mean_slots(&self) -> f64 {
        if self.slot_distribution.is_empty() {
            return 1.0 + self.two_slot_share;
        }
        let shares: f64 = self.slot_distribution.iter().map(|[_, share]| share).sum();
        self.slot_distribution.iter().map(|[slots, share]| slots * share / shares).sum()
    }

    /// What may be repeated, in the module's form.
    pub fn idempotency(&self) -> Idempotency {
        match self.repeat {
            RepeatPolicy::Safe => Idempotency::Idempotent,
            RepeatPolicy::Keyed => {
                let scope = match self.deduplication_scope {
                    DeduplicationScope::All => decisions::KeyScope::All,
                    DeduplicationScope::Zone => decisions::KeyScope::Zone,
                    DeduplicationScope::Cell => decisions::KeyScope::Cell,
                };
                Idempotency::IdempotentWithKey {
                    scope,
                    window: micros_from_seconds(self.deduplication_window_s),
                }
            }
            RepeatPolicy::Never => Idempotency::NonIdempotent,
        }
    }
}
