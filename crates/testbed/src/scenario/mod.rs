//! Scenario files in TOML. A scenario describes workers, clients, the network between them and faults.
//!
//! docs/testbed.md describes the format. Where the name of a field differs from its TOML key, an attribute
//! keeps the key, so that existing scenario files remain valid.
mod checks;
mod classes;
mod clients;
mod discovery;
mod faults;
mod network;
mod workers;

use copperspread_dispatcher::{self as dispatcher, Micros, SECOND, Settings};
use serde::{Deserialize, Serialize};

use crate::model::scheduler_id::SchedulerId;
pub use checks::ScenarioError;
pub use classes::{DeduplicationScope, JobClass, RepeatPolicy, WorkDistribution};
pub use clients::{ClientSkew, Clients, RecordedJob, RetryTiming};
pub use discovery::{Discovery, LoadQuery, LoadReports};
pub use faults::{Fault, FaultKind};
pub use network::{Network, ZoneLink, ZoneLinkQuality};
pub use workers::{QueueOrder, SlowStart, WorkerGroup};

/// Time after which the opening of a connection to a worker fails, in microseconds.
pub(crate) const CONNECT_TIMEOUT: Micros = 250_000;

/// A scenario: a fleet of workers, with its schedulers, clients and faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario, as shown in results and reports.
    pub name: String,
    /// Purpose of the scenario, in one sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// Time during which new jobs arrive, in seconds from the start of the run.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Number of zones. Schedulers, workers and clients are assigned to the zones in turn.
    #[serde(default = "one")]
    pub zones: u32,
    /// Number of cells in each zone. A cell is a group of workers that can drop duplicates of a job among
    /// themselves, by the job's idempotency key. The workers of a zone are assigned to its cells in turn.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub cells: u32,
    /// Number of schedulers. The clients are distributed over them.
    pub schedulers: u32,
    /// Groups of workers, which together form the fleet.
    pub workers: Vec<WorkerGroup>,
    /// Classes of the jobs that clients send.
    pub classes: Vec<JobClass>,
    /// How clients send jobs to the schedulers, and how they retry after a rejection.
    pub clients: Clients,
    /// Delays and losses of the network between clients, schedulers and workers.
    #[serde(default)]
    pub network: Network,
    /// How the schedulers get endpoint lists, and with which delay.
    #[serde(default)]
    pub discovery: Discovery,
    /// How workers report their load to the schedulers.
    #[serde(rename = "reports", default)]
    pub load_reports: LoadReports,
    /// Slow start of workers: the reduced capacity after a worker's start, and the worker's failure from
    /// overload during that time.
    #[serde(rename = "cold", default)]
    pub slow_start: SlowStart,
    /// Scheduler settings that the scenario controls, such as the maximum number of attempts.
    #[serde(rename = "settings", default)]
    pub tuning: SchedulerTuning,
    /// Faults that are injected during the run.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// Settings of the schedulers that a scenario can set. A setting that the scenario omits has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Tuning", default, deny_unknown_fields)]
pub struct SchedulerTuning {
    /// Maximum number of attempts that a scheduler sends for a request.
    pub max_attempts: u32,
    /// Whether a scheduler may send a hedge, which is a further attempt while another attempt of the request
    /// is in flight.
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Whether schedulers may cancel attempts.
    #[serde(rename = "may_cancel")]
    pub cancellation_allowed: bool,
    /// Cost that the dispatcher counts for sending an attempt to another zone. The unit is the priority
    /// weight of the request: 0.03 means 3% of this weight.
    #[serde(rename = "price_cross_zone")]
    pub cross_zone_cost: f64,
    /// Whether a worker stops a queued or running job when the job's attempt is cancelled or times out.
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

/// Converts seconds to microseconds. The result is rounded; for negative values it is 0.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds.max(0.0) * SECOND as f64).round() as Micros
}

impl Scenario {
    /// Parses a scenario in TOML, and checks its values.
    ///
    /// # Errors
    /// Returns the first syntax error or invalid value, with its key.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(ScenarioError::InvalidToml)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks the values of the scenario.
    ///
    /// # Errors
    /// Returns the first invalid value, with its key.
    pub fn check(&self) -> Result<(), ScenarioError> {
        checks::check(self)
    }

    /// Returns the settings with which the dispatch policy of a scheduler is built.
    pub fn settings(&self, scheduler: SchedulerId) -> Settings {
        Settings {
            fleet_size: self.schedulers,
            instance_index: Some(scheduler.0),
            listed_sizes_reflect_load: self.discovery.size_interval_s > 0.0,
            zone: scheduler.zone(self.zones),
            classes: self.classes.iter().map(JobClass::request_class).collect(),
            priority_weight_per_core_second: true,
            slow_start_initial_capacity: self.slow_start.initial_capacity,
            slow_start_duration: micros_from_seconds(self.slow_start.duration_s),
            overload_multiple: self.slow_start.overload_multiple,
            // The overload window is the time over which a worker's load is summed for its overload limit. In
            // a scenario, a window of 0 means that workers in slow start never fail from overload. For the
            // dispatch policy, 0 has no such meaning, so the policy gets a window of at least 1 ms.
            overload_window: micros_from_seconds(self.slow_start.overload_window_s.max(0.001)),
            connect_timeout: CONNECT_TIMEOUT,
            max_attempts: self.tuning.max_attempts,
            hedging_allowed: self.tuning.hedging_allowed,
            cancellation_allowed: self.tuning.cancellation_allowed,
            workers_report_request_start: true,
            cross_zone_cost: self.tuning.cross_zone_cost,
            workers_report_load_only_on_query: self.load_reports.load_query.is_some(),
            load_query_cost: self.load_reports.load_query.map_or(0.0, |query| query.cost),
            discovery: if self.discovery.polled {
                dispatcher::DiscoveryMode::Polled
            } else {
                dispatcher::DiscoveryMode::Pushed
            },
            ..Settings::default()
        }
    }

    /// Returns the number of jobs per second that all workers together can run. It follows from the cores,
    /// slots and mean speeds of the workers, and from the mean work, mean slots and shares of the classes.
    pub fn capacity(&self) -> f64 {
        let group_capacity = |group: &WorkerGroup| {
            f64::from(group.count) * group.cores.min(group.slots) * (group.speed[0] + group.speed[1]) / 2.0
        };
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let class_work = |class: &JobClass| class.share / shares * class.mean_work * class.mean_slots();
        self.workers.iter().map(group_capacity).sum::<f64>()
            / self.classes.iter().map(class_work).sum::<f64>()
    }
}
