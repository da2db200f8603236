//! Types of a scenario's clients: when their jobs arrive, and when they retry after a rejection.
use copperspread_dispatcher::{Micros, SECOND};
use serde::{Deserialize, Serialize};

use super::micros_from_seconds;

/// What clients do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// New jobs a second, whatever the responses are: an open loop.
    #[serde(rename = "rate")]
    pub rate_per_s: f64,
    /// Retries of a rejected job.
    #[serde(rename = "retries", default)]
    pub max_retries: u32,
    /// Clients follow `Retry-After` up to this many seconds.
    #[serde(rename = "heed", default = "default_max_retry_after_s")]
    pub max_retry_after_s: f64,
    /// When clients retry.
    #[serde(rename = "again", default, skip_serializing_if = "RetryTiming::is_default")]
    pub retry_timing: RetryTiming,
    /// A client without a response this many seconds after its deadline is a violation. Machines that
    /// stall, and tests that must not fail for it, need more than the default.
    #[serde(rename = "grace", default = "default_deadline_grace_s")]
    pub deadline_grace_s: f64,
    /// A recorded trace in place of drawn arrivals, in order of arrival. `copperspread-testbed trace`
    /// makes one from a scheduler's event log.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub trace: Vec<RecordedJob>,
    /// How much more the first schedulers get than the others; without it, all get the same.
    #[serde(rename = "crowded", default, skip_serializing_if = "Option::is_none")]
    pub skew: Option<ClientSkew>,
    /// Sigma of the log-normal error of cost hints; without it, there are no hints.
    #[serde(rename = "hint_error", default)]
    pub hint_error_sigma: Option<f64>,
}

fn default_max_retry_after_s() -> f64 {
    2.0
}

fn default_deadline_grace_s() -> f64 {
    0.05
}

/// When clients retry after a rejection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Again", rename_all = "snake_case")]
pub enum RetryTiming {
    /// At the time that `Retry-After` gives, and a random time later.
    #[default]
    #[serde(rename = "heed")]
    HonorRetryAfter,
    /// At once, whatever `Retry-After` says.
    #[serde(rename = "at_once")]
    Immediately,
    /// After this many seconds, whatever `Retry-After` says.
    #[serde(rename = "after")]
    FixedDelay(f64),
}

impl RetryTiming {
    fn is_default(&self) -> bool {
        *self == RetryTiming::HonorRetryAfter
    }

    /// The delay of a client that got `retry_after` and follows at most `max_retry_after_s` of it.
    /// `jitter` is drawn evenly from 0 to 1.
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

/// Schedulers that get more clients than the others.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Crowded", deny_unknown_fields)]
pub struct ClientSkew {
    /// How many schedulers; they are the first ones.
    pub schedulers: u32,
    /// The clients of each of them, relative to each of the others.
    #[serde(rename = "times")]
    pub factor: f64,
}

/// A job of a recorded trace.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename = "Recorded", deny_unknown_fields)]
pub struct RecordedJob {
    /// When it arrived, in seconds.
    #[serde(rename = "at")]
    pub arrives_at_s: f64,
    /// The index of its class.
    pub class: u32,
    /// Its work, in seconds at speed 1.
    pub work: f64,
    /// Its slots.
    #[serde(default = "default_slots")]
    pub slots: f64,
    /// The cost hint, in seconds at speed 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<f64>,
}

fn default_slots() -> f64 {
    1.0
}
