//! Reads scenarios: workers, clients, the network between them and the faults, as TOML files.
//! docs/testbed.md describes the format.
//!
//! The TOML keys are older than the names of the fields and stay as they are.
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

/// A connection that takes longer to open has failed.
pub(crate) const CONNECT_TIMEOUT: Micros = 250_000;

/// A scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// Its purpose, in a sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// How long new jobs arrive, in seconds.
    #[serde(rename = "seconds")]
    pub duration_s: f64,
    /// Zones; schedulers, workers and clients are assigned to them in turn.
    #[serde(default = "one")]
    pub zones: u32,
    /// Cells in each zone, to which its workers are assigned in turn.
    #[serde(default = "one", skip_serializing_if = "is_one")]
    pub cells: u32,
    /// Number of schedulers.
    pub schedulers: u32,
    /// Groups of workers.
    pub workers: Vec<WorkerGroup>,
    /// Classes of jobs.
    pub classes: Vec<JobClass>,
    /// What clients do.
    pub clients: Clients,
    /// Links between clients, schedulers and workers.
    #[serde(default)]
    pub network: Network,
    /// How endpoint lists reach the schedulers.
    #[serde(default)]
    pub discovery: Discovery,
    /// Load reports of workers.
    #[serde(rename = "reports", default)]
    pub load_reports: LoadReports,
    /// How workers warm up.
    #[serde(rename = "cold", default)]
    pub slow_start: SlowStart,
    /// What schedulers are configured to do.
    #[serde(rename = "settings", default)]
    pub tuning: SchedulerTuning,
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What schedulers are configured to do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Tuning", default, deny_unknown_fields)]
pub struct SchedulerTuning {
    /// The highest number of attempts of a request.
    pub max_attempts: u32,
    /// Whether a hedge may be sent while another attempt is in flight.
    #[serde(rename = "second_copies")]
    pub hedging_allowed: bool,
    /// Whether attempts may be cancelled.
    #[serde(rename = "may_cancel")]
    pub cancellation_allowed: bool,
    /// The cost of an attempt in another zone, in the weight of a unit of work.
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

/// Seconds as whole microseconds; negative ones count as 0.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds.max(0.0) * SECOND as f64).round() as Micros
}

impl Scenario {
    /// Reads a scenario and checks it.
    ///
    /// # Errors
    /// The first thing that is wrong, with its key.
    pub fn parse(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(ScenarioError::InvalidToml)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks the figures.
    ///
    /// # Errors
    /// The first one that is wrong, with its key.
    pub fn check(&self) -> Result<(), ScenarioError> {
        checks::check(self)
    }

    /// The dispatch policy's settings in one scheduler.
    pub fn settings(&self, scheduler: SchedulerId) -> Settings {
        Settings {
            fleet_size: self.schedulers,
            instance_index: Some(scheduler.0),
            sizes_reflect_load: self.discovery.size_interval_s > 0.0,
            zone: scheduler.zone(self.zones),
            classes: self.classes.iter().map(JobClass::request_class).collect(),
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
            load_query_cost: self.load_reports.load_query.map_or(0.0, |query| query.cost),
            discovery: if self.discovery.polled {
                dispatcher::Discovery::Polled
            } else {
                dispatcher::Discovery::Pushed
            },
            ..Settings::default()
        }
    }

    /// Jobs a second that the fleet can do, if all of them have their mean work.
    pub fn capacity(&self) -> f64 {
        let group_cores = |group: &WorkerGroup| {
            f64::from(group.count) * group.cores.min(group.slots) * (group.speed[0] + group.speed[1]) / 2.0
        };
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let class_work = |class: &JobClass| class.share / shares * class.mean_work * class.mean_slots();
        self.workers.iter().map(group_cores).sum::<f64>() / self.classes.iter().map(class_work).sum::<f64>()
    }
}
