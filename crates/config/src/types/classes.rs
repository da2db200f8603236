//! Settings of request classes.
use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// A request class: latency objective, deadline, priority weight and retry rules of its requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name of the class: the first segment of the path of its requests.
    pub name: String,
    /// Latency objective: a response within this time, extended by `stretch`, counts with the full `worth`;
    /// at most `deadline`.
    #[serde(default = "default_aim")]
    pub aim: HumanDuration,
    /// Multiple of a request's own running time by which the latency objective `aim` is extended; 0 or more.
    #[serde(default)]
    pub stretch: f64,
    /// Time after which the client gives up, including its own retries; over 0 and at most a day.
    #[serde(default = "default_deadline")]
    pub deadline: HumanDuration,
    /// Priority weight of a request; 0 or more.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// Idempotency of the requests: whether a request may be sent to workers again.
    #[serde(default)]
    pub repeat: RepeatPolicy,
    /// Which workers share a store of idempotency keys; used only if `repeat` is `keyed`.
    #[serde(default)]
    pub key_scope: KeyScope,
    /// How long workers drop repeats of an idempotency key; over 0. Required for `keyed`, and not allowed
    /// otherwise.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_window: Option<HumanDuration>,
    /// Worker kind that runs the requests; if absent, any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub worker_kind: Option<String>,
}

impl Default for Class {
    fn default() -> Class {
        Class {
            name: String::new(),
            aim: default_aim(),
            stretch: 0.0,
            deadline: default_deadline(),
            worth: default_worth(),
            repeat: RepeatPolicy::Never,
            key_scope: KeyScope::All,
            key_window: None,
            worker_kind: None,
        }
    }
}

fn default_aim() -> HumanDuration {
    HumanDuration(SECOND)
}

fn default_deadline() -> HumanDuration {
    HumanDuration(10 * SECOND)
}

fn default_worth() -> f64 {
    1.0
}

/// Idempotency of a class's requests: whether a request may be sent to workers again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", expecting = "enum Repeat")]
pub enum RepeatPolicy {
    /// A request must not run twice (non-idempotent).
    #[default]
    Never,
    /// A request carries a key by which workers drop a repeat (idempotent with key).
    Keyed,
    /// A request may run any number of times (idempotent).
    Safe,
}

/// Which workers share a store of idempotency keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum KeyScope {
    /// All workers share one store.
    #[default]
    All,
    /// The workers of each zone share one store.
    Zone,
    /// The workers with the same `cell` share one store.
    Cell,
}
