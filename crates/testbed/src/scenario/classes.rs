//! Job classes of a scenario: work, time limits, weights and idempotency.
use copperspread_dispatcher::{Idempotency, KeyScope, RequestClass};
use serde::{Deserialize, Serialize};

use super::{is_zero, micros_from_seconds};

/// Whether the jobs of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Repeat", rename_all = "lowercase")]
pub enum RepeatPolicy {
    /// A job must not run more than once.
    Never,
    /// A job carries an idempotency key by which the workers of a scope drop duplicates.
    Keyed,
    /// A job may run any number of times.
    Safe,
}

/// The set of workers among which duplicates of an idempotency key are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Scope", rename_all = "lowercase")]
pub enum DeduplicationScope {
    /// Duplicates are dropped among all workers.
    All,
    /// Duplicates are dropped among the workers of one zone.
    #[default]
    Zone,
    /// Duplicates are dropped among the workers of one cell.
    Cell,
}

impl DeduplicationScope {
    fn is_zone(&self) -> bool {
        *self == DeduplicationScope::Zone
    }
}

/// The distribution of the work of a class's jobs around its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Spread", rename_all = "lowercase")]
pub enum WorkDistribution {
    /// Log-normal, with this sigma (the standard deviation of the logarithm).
    LogNormal(f64),
    /// Exponential, with the mean work of the class as its mean.
    #[default]
    Exponential,
    /// Constant: every job has the mean work.
    Constant,
}

/// A class of jobs, which have the same time limits, priority weight and distribution of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Class", deny_unknown_fields)]
pub struct JobClass {
    /// Name of the class, by which results and event logs refer to the class.
    pub name: String,
    /// The class's share of all jobs, relative to the shares of the other classes.
    pub share: f64,
    /// Mean work of a job, in seconds at speed 1.
    #[serde(rename = "work")]
    pub mean_work: f64,
    /// Distribution of the work around its mean.
    #[serde(rename = "spread", default)]
    pub work_distribution: WorkDistribution,
    /// The share of jobs that take two slots, from 0 to 1; the others take one.
    #[serde(rename = "wide", default)]
    pub two_slot_share: f64,
    /// Alternative to `two_slot_share`: pairs of a number of slots and the relative share of the jobs that
    /// take that number.
    #[serde(rename = "slots", default, skip_serializing_if = "Vec::is_empty")]
    pub slot_distribution: Vec<[f64; 2]>,
    /// Mean memory that a running job holds per slot, in the unit of the workers' memory.
    #[serde(rename = "memory", default)]
    pub mean_memory: f64,
    /// Sigma of the log-normal distribution of memory; 0 gives every job the mean.
    #[serde(rename = "memory_spread", default, skip_serializing_if = "is_zero")]
    pub memory_sigma: f64,
    /// Latency objective, in seconds, to which `latency_stretch` adds a part that depends on the job's work.
    #[serde(rename = "aim")]
    pub latency_objective_s: f64,
    /// Multiple of the job's own work that is added to the latency objective.
    #[serde(rename = "stretch", default)]
    pub latency_stretch: f64,
    /// Seconds from a job's arrival until its client stops waiting. All of the client's retries fall into
    /// this time.
    #[serde(rename = "deadline")]
    pub deadline_s: f64,
    /// Priority weight of each core-second of a job's work.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether a job may run more than once.
    pub repeat: RepeatPolicy,
    /// The set of workers among which a duplicate of a job is dropped. Applies only to jobs with an
    /// idempotency key.
    #[serde(rename = "scope", default, skip_serializing_if = "DeduplicationScope::is_zone")]
    pub deduplication_scope: DeduplicationScope,
    /// Seconds from the acceptance of an attempt during which workers drop further attempts with the same
    /// key. Applies only to jobs with an idempotency key.
    #[serde(rename = "window", default)]
    pub deduplication_window_s: f64,
}

impl JobClass {
    /// Returns the mean number of slots that a job of the class takes.
    pub fn mean_slots(&self) -> f64 {
        if self.slot_distribution.is_empty() {
            return 1.0 + self.two_slot_share;
        }
        let shares: f64 = self.slot_distribution.iter().map(|[_, share]| share).sum();
        self.slot_distribution.iter().map(|[slots, share]| slots * share / shares).sum()
    }

    /// Converts the repeat policy, key scope and window to the dispatch policy's `Idempotency`.
    pub fn idempotency(&self) -> Idempotency {
        match self.repeat {
            RepeatPolicy::Safe => Idempotency::Idempotent,
            RepeatPolicy::Keyed => Idempotency::IdempotentWithKey {
                scope: self.key_scope(),
                window: micros_from_seconds(self.deduplication_window_s),
            },
            RepeatPolicy::Never => Idempotency::NonIdempotent,
        }
    }

    fn key_scope(&self) -> KeyScope {
        match self.deduplication_scope {
            DeduplicationScope::All => KeyScope::All,
            DeduplicationScope::Zone => KeyScope::Zone,
            DeduplicationScope::Cell => KeyScope::Cell,
        }
    }

    /// Converts the class to the dispatch policy's `RequestClass`.
    pub(super) fn request_class(&self) -> RequestClass {
        RequestClass {
            latency_objective: micros_from_seconds(self.latency_objective_s),
            latency_stretch: self.latency_stretch,
            deadline: micros_from_seconds(self.deadline_s),
            priority_weight: self.priority_weight,
            idempotency: self.idempotency(),
            worker_kind: None,
        }
    }
}
