//! Clients of a scenario: when their jobs arrive, and when they retry after a rejection.
use copperspread_dispatcher::{Micros, SECOND};
use serde::{Deserialize, Serialize};

use super::micros_from_seconds;

/// How clients send jobs to the schedulers, and how they retry after a rejection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// Number of new jobs per second. The rate does not depend on the responses (open loop).
    #[serde(rename = "rate")]
    pub rate_per_s: f64,
    /// Maximum number of times that a client retries a rejected job.
    #[serde(rename = "retries", default)]
    pub max_retries: u32,
    /// Longest time for which clients follow a `Retry-After`, in seconds. A longer `Retry-After` is cut to
    /// this time.
    #[serde(rename = "heed", default = "default_max_retry_after_s")]
    pub max_retry_after_s: f64,
    /// How long clients wait before they retry after a rejection.
    #[serde(rename = "again", default, skip_serializing_if = "RetryTiming::is_default")]
    pub retry_timing: RetryTiming,
    /// Grace period after a request's deadline, in seconds. A request without a response at the end of the
    /// grace period violates a rule. On a machine that stalls, responses can arrive later than the default of
    /// 0.05 s allows. A scenario that must tolerate such stalls sets a longer grace period.
    #[serde(rename = "grace", default = "default_deadline_grace_s")]
    pub deadline_grace_s: f64,
    /// Recorded jobs, sorted by arrival time, that replace random arrivals. `copperspread-testbed trace`
    /// generates them from a scheduler's event log.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trace: Vec<RecordedJob>,
    /// Uneven distribution of the clients over the schedulers. If absent, the clients are distributed evenly.
    #[serde(rename = "crowded", default, skip_serializing_if = "Option::is_none")]
    pub skew: Option<ClientSkew>,
    /// Sigma of the log-normal distribution of the error of cost hints. If absent, jobs carry no cost hints.
    #[serde(rename = "hint_error", default)]
    pub hint_error_sigma: Option<f64>,
}

fn default_max_retry_after_s() -> f64 {
    2.0
}

fn default_deadline_grace_s() -> f64 {
    0.05
}

/// How long a client waits before it retries after a rejection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Again", rename_all = "snake_case")]
pub enum RetryTiming {
    /// The client waits for the time given by `Retry-After`, which is cut to [`Clients::max_retry_after_s`].
    /// To the cut time, the client adds 10 ms and a random jitter of up to 20% of the cut time. The sum can
    /// exceed [`Clients::max_retry_after_s`].
    #[default]
    #[serde(rename = "heed")]
    HonorRetryAfter,
    /// The client retries immediately and ignores `Retry-After`.
    #[serde(rename = "at_once")]
    Immediately,
    /// The client retries after this many seconds and ignores `Retry-After`.
    #[serde(rename = "after")]
    FixedDelay(f64),
}

impl RetryTiming {
    fn is_default(&self) -> bool {
        *self == RetryTiming::HonorRetryAfter
    }

    /// Returns how long a client waits before a retry. `retry_after` is the time that the response gives. The
    /// client honors at most `max_retry_after_s` seconds of it. `jitter` is a random number that is uniformly
    /// distributed from 0 to 1.
    pub fn delay(self, retry_after: Micros, max_retry_after_s: f64, jitter: f64) -> Micros {
        match self {
            RetryTiming::HonorRetryAfter => {
                let honored = retry_after.min(micros_from_seconds(max_retry_after_s));
                honored + micros_from_seconds(0.01 + 0.2 * jitter * honored as f64 / SECOND as f64)
            }
            RetryTiming::Immediately => 0,
            RetryTiming::FixedDelay(delay_s) => micros_from_seconds(delay_s),
        }
    }
}

/// Uneven distribution of the clients: the first schedulers get more clients than the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Crowded", deny_unknown_fields)]
pub struct ClientSkew {
    /// Number of schedulers that get more clients. These schedulers are counted from the first.
    pub schedulers: u32,
    /// Ratio of the number of clients at each of the first `schedulers` schedulers to the number at each
    /// other scheduler.
    #[serde(rename = "times")]
    pub factor: f64,
}

/// A job of a recorded trace. Its arrival time is fixed and not random.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Recorded", deny_unknown_fields)]
pub struct RecordedJob {
    /// Arrival time of the job, in seconds from the start of the run.
    #[serde(rename = "at")]
    pub arrives_at_s: f64,
    /// Index of the job's class in the scenario's list of classes.
    pub class: u32,
    /// Work of the job, in seconds at speed 1.
    pub work: f64,
    /// Number of slots that the job takes.
    #[serde(default = "default_slots")]
    pub slots: f64,
    /// Cost hint that the client sends with the job, in seconds at speed 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<f64>,
}

fn default_slots() -> f64 {
    1.0
}
