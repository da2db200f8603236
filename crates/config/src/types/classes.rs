//! Request classes and what may be repeated of them.
use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The first part of the path of its requests.
    pub name: String,
    /// Full worth is earned by a response within this time plus the stretch.
    #[serde(default = "default_aim")]
    pub aim: HumanDuration,
    /// The aim grows by this many times the request's own running time.
    #[serde(default)]
    pub stretch: f64,
    /// The client gives up after this time, over all its attempts.
    #[serde(default = "default_deadline")]
    pub deadline: HumanDuration,
    /// What one unit of this class is worth.
    #[serde(default = "default_worth")]
    pub worth: f64,
    /// What may be repeated; absent, nothing.
    #[serde(default)]
    pub repeat: RepeatPolicy,
    /// For `keyed`: the workers that share the memory of a key.
    #[serde(default)]
    pub key_scope: KeyScope,
    /// For `keyed`: how long a repeat is dropped there.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_window: Option<HumanDuration>,
    /// The one kind of worker that runs it; absent, any.
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

/// What may be repeated of a class's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase", expecting = "enum Repeat")]
pub enum RepeatPolicy {
    /// It must never run twice.
    #[default]
    Never,
    /// It carries a key by which workers drop a repeat.
    Keyed,
    /// It may run any number of times.
    Safe,
}

/// Which workers share the memory of a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum KeyScope {
    /// All of them.
    #[default]
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}
