//! Types of a scenario's job classes: sizes, time limits, weights and whether a job may be repeated.
use copperspread_dispatcher::{Idempotency, KeyScope, RequestClass};
use serde::{Deserialize, Serialize};

use super::{is_zero, micros_from_seconds};

/// Whether the jobs of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Repeat", rename_all = "lowercase")]
pub enum RepeatPolicy {
    /// A job must never run twice.
    Never,
    /// A job carries a key by which the workers of a scope drop a repeat.
    Keyed,
    /// A job may run any number of times.
    Safe,
}

/// The workers that drop a repeat of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Scope", rename_all = "lowercase")]
pub enum DeduplicationScope {
    /// All workers.
    All,
    /// The workers of a zone.
    #[default]
    Zone,
    /// The workers of a cell.
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
    /// Log-normal, with this sigma.
    LogNormal(f64),
    /// Exponential.
    #[default]
    Exponential,
    /// All jobs have the mean work.
    Constant,
}

/// A class of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Class", deny_unknown_fields)]
pub struct JobClass {
    /// Its name.
    pub name: String,
    /// Its share of all jobs, relative to the shares of the other classes.
    pub share: f64,
    /// Mean work, in seconds at speed 1.
    #[serde(rename = "work")]
    pub mean_work: f64,
    /// Distribution of the work.
    #[serde(rename = "spread", default)]
    pub work_distribution: WorkDistribution,
    /// The share of jobs that take two slots.
    #[serde(rename = "wide", default)]
    pub two_slot_share: f64,
    /// In place of `two_slot_share`: numbers of slots, each with its share of the jobs.
    #[serde(rename = "slots", default, skip_serializing_if = "Vec::is_empty")]
    pub slot_distribution: Vec<[f64; 2]>,
    /// Mean memory that a running job holds for each of its slots.
    #[serde(rename = "memory", default)]
    pub mean_memory: f64,
    /// Sigma of the log-normal distribution of memory; 0: all jobs have the mean.
    #[serde(rename = "memory_spread", default, skip_serializing_if = "is_zero")]
    pub memory_sigma: f64,
    /// A response is in time within this many seconds ...
    #[serde(rename = "aim")]
    pub latency_objective_s: f64,
    /// ... plus this multiple of the job's own work.
    #[serde(rename = "stretch", default)]
    pub latency_stretch: f64,
    /// Clients stop waiting after this many seconds, over all attempts of theirs.
    #[serde(rename = "deadline")]
    pub deadline_s: f64,
    /// The weight of a unit of work.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether a job may run more than once.
    pub repeat: RepeatPolicy,
    /// For keyed jobs: the workers that drop a repeat.
    #[serde(rename = "scope", default, skip_serializing_if = "DeduplicationScope::is_zone")]
    pub deduplication_scope: DeduplicationScope,
    /// For keyed jobs: seconds for which a repeat is dropped.
    #[serde(rename = "window", default)]
    pub deduplication_window_s: f64,
}

impl JobClass {
    /// The mean number of slots that a job takes.
    pub fn mean_slots(&self) -> f64 {
        if self.slot_distribution.is_empty() {
            return 1.0 + self.two_slot_share;
        }
        let shares: f64 = self.slot_distribution.iter().map(|[_, share]| share).sum();
        self.slot_distribution.iter().map(|[slots, share]| slots * share / shares).sum()
    }

    /// The dispatch policy's form of `repeat` and its scope and window.
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

    /// The dispatch policy's form of the class.
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
