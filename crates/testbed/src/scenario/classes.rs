//! Job classes of a scenario: work, time limits, priority weights and idempotency.
use copperspread_dispatcher::{Idempotency, KeyScope, RequestClass};
use serde::{Deserialize, Serialize};

use super::{is_zero, micros_from_seconds};

/// Whether the jobs of a class may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Repeat", rename_all = "lowercase")]
pub enum RepeatPolicy {
    /// A job of the class must not run more than once.
    Never,
    /// A job of the class carries an idempotency key. Workers use the key to drop duplicates of the job.
    /// [`DeduplicationScope`] says which workers recognise each other's duplicates.
    Keyed,
    /// A job of the class may run any number of times.
    Safe,
}

/// The groups of workers that recognise duplicates of a job together. A worker drops an attempt as a
/// duplicate if a worker of the same group has accepted an attempt with the same idempotency key before. The
/// acceptance must lie within the class's deduplication window. Attempts in different groups can both run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Scope", rename_all = "lowercase")]
pub enum DeduplicationScope {
    /// All workers form one group: a worker recognises a duplicate of an attempt that any worker accepted.
    All,
    /// The workers of each zone form a group. Two attempts of a job in different zones can both run.
    #[default]
    Zone,
    /// The workers of each cell form a group. A cell is a group of workers of one zone. Two attempts of a job
    /// in different cells can both run.
    Cell,
}

impl DeduplicationScope {
    fn is_zone(&self) -> bool {
        *self == DeduplicationScope::Zone
    }
}

/// How the work of a class's jobs is distributed around its mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Spread", rename_all = "lowercase")]
pub enum WorkDistribution {
    /// The work is log-normally distributed. The value is sigma, the standard deviation of the logarithm of
    /// the work.
    LogNormal(f64),
    /// The work is exponentially distributed, with the mean work of the class as its mean.
    #[default]
    Exponential,
    /// The work is constant: every job has the mean work of the class.
    Constant,
}

/// A class of jobs. The jobs of a class have the same time limits, priority weight and distribution of work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Class", deny_unknown_fields)]
pub struct JobClass {
    /// Name of the class. Results and event logs refer to the class by this name.
    pub name: String,
    /// The class's share of all jobs, relative to the shares of the other classes.
    pub share: f64,
    /// Mean work of the class's jobs, in seconds at speed 1.
    #[serde(rename = "work")]
    pub mean_work: f64,
    /// Distribution of the work of the class's jobs around its mean.
    #[serde(rename = "spread", default)]
    pub work_distribution: WorkDistribution,
    /// Share of the class's jobs that take two slots, from 0 to 1. The other jobs take one slot.
    #[serde(rename = "wide", default)]
    pub two_slot_share: f64,
    /// Numbers of slots that the class's jobs take, as an alternative to `two_slot_share`. Each pair has a
    /// number of slots, and the relative share of the jobs that take this number.
    #[serde(rename = "slots", default, skip_serializing_if = "Vec::is_empty")]
    pub slot_distribution: Vec<[f64; 2]>,
    /// Mean memory that a running job of the class holds for each of its slots, in the unit of the workers'
    /// memory.
    #[serde(rename = "memory", default)]
    pub mean_memory: f64,
    /// Sigma of the log-normal distribution of the memory of the class's jobs. With 0, every job takes the
    /// mean memory.
    #[serde(rename = "memory_spread", default, skip_serializing_if = "is_zero")]
    pub memory_sigma: f64,
    /// Latency objective of the class's jobs, in seconds. `latency_stretch` adds a part that depends on the
    /// job's work.
    #[serde(rename = "aim")]
    pub latency_objective_s: f64,
    /// Multiple of a job's work that is added to the job's latency objective.
    #[serde(rename = "stretch", default)]
    pub latency_stretch: f64,
    /// Deadline of the client for a job, in seconds from the arrival of the job. All retries of the client
    /// fall into this time.
    #[serde(rename = "deadline")]
    pub deadline_s: f64,
    /// Priority weight of the class's jobs, for each core-second of work.
    #[serde(rename = "worth")]
    pub priority_weight: f64,
    /// Whether a job of the class may run more than once.
    pub repeat: RepeatPolicy,
    /// The workers among which duplicates of a job are dropped. Applies only to jobs with an idempotency key.
    #[serde(rename = "scope", default, skip_serializing_if = "DeduplicationScope::is_zone")]
    pub deduplication_scope: DeduplicationScope,
    /// Length of the deduplication window, in seconds. The window begins when a worker accepts an attempt.
    /// During the window, workers drop further attempts with the same key. Applies only to jobs with an
    /// idempotency key.
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

    /// Returns the class's `Idempotency` for the dispatch policy. It combines [`JobClass::repeat`] (whether a
    /// job may run more than once) with the deduplication scope and window.
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

    /// Returns the class's `RequestClass` for the dispatch policy.
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
