//! How often a request is attempted, and how workers are treated that have just started.
use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// What may be repeated, and how often.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Attempts")]
pub struct AttemptConfig {
    /// The most attempts that one request may have.
    pub most: u32,
    /// Two attempts of one request may be in flight at once (hedging), where its class may be repeated.
    pub second_copies: bool,
    /// An attempt may be cancelled at the worker.
    pub may_cancel: bool,
}

impl Default for AttemptConfig {
    fn default() -> AttemptConfig {
        AttemptConfig { most: 4, second_copies: true, may_cancel: true }
    }
}

/// How workers that have just started are spared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Cold")]
pub struct SlowStartConfig {
    /// A worker starts at this share of its capacity or more; over 0, at most 1.
    pub from: f64,
    /// It is warm after this long at most.
    pub warm_within: HumanDuration,
    /// Sent more than this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long, by all schedulers together, a cold worker falls over.
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
