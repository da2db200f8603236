//! Settings of the dispatch policy: attempts and slow start.
use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// Limits on retries, hedging and cancellation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Attempts")]
pub struct AttemptConfig {
    /// Maximum number of attempts of one request; at least 1.
    pub most: u32,
    /// Whether two attempts of one request may be in flight at once (hedging), if its class allows a repeat.
    pub second_copies: bool,
    /// Whether an attempt may be cancelled at the worker.
    pub may_cancel: bool,
}

impl Default for AttemptConfig {
    fn default() -> AttemptConfig {
        AttemptConfig { most: 4, second_copies: true, may_cancel: true }
    }
}

/// Slow start: limits the load of workers that have just started.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Cold")]
pub struct SlowStartConfig {
    /// Minimum capacity of a worker at its start, as a fraction of its full capacity; over 0 and at most 1.
    pub from: f64,
    /// Longest time from a worker's start until it has its full capacity.
    pub warm_within: HumanDuration,
    /// Overload limit in slow start, as a multiple of the worker's present capacity; over 0. A worker
    /// in slow start is overloaded and fails if all schedulers together send it more work than this limit
    /// within `fall_window`.
    pub fall_multiple: f64,
    /// Time window over which the work sent to a worker is summed for the limit `fall_multiple`; over 0.
    pub fall_window: HumanDuration,
}

impl Default for SlowStartConfig {
    fn default() -> SlowStartConfig {
        SlowStartConfig {
            from: 0.12,
            warm_within: HumanDuration(23 * SECOND),
            fall_multiple: 3.0,
            fall_window: HumanDuration(3 * SECOND),
        }
    }
}
