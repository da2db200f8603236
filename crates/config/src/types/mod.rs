//! The configuration's types. They are the TOML file's form: a field has the name of its key, and the
//! comments of types and fields are the descriptions that `copperspread-scheduler config schema`,
//! `config default` and docs/configuration.md show. `expecting` keeps the names that error texts have.
//! What the values mean to the dispatch policy and the proxy is in `startup.rs`.
mod classes;
mod dispatch;
mod downstream;
mod endpoints;
mod membership;
mod process;
mod upstream;

use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use self::classes::{Class, KeyScope, RepeatPolicy};
pub use self::dispatch::{AttemptConfig, SlowStartConfig};
pub use self::downstream::{DownstreamConfig, HttpDownstreamConfig};
pub use self::endpoints::{EndpointSourceConfig, EndpointSourceKind, Worker, WorkerPhase, ZoneConfig};
pub use self::membership::MembershipConfig;
pub use self::process::{EventLogConfig, LogConfig, LogFormat, ResourceLimits};
pub use self::upstream::{HttpUpstreamConfig, UpstreamConfig};
use crate::units::HumanDuration;

/// The configuration of one scheduler.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The scheduler's name, in log and event log.
    pub name: String,
    /// Seed of all chance; absent, each start draws one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u32>,
    /// How many schedulers share the workers, this one included.
    pub schedulers: u32,
    /// Clients' protocols.
    pub front: DownstreamConfig,
    /// Workers' protocols.
    pub back: UpstreamConfig,
    /// Where the worker list comes from.
    pub source: EndpointSourceConfig,
    /// Zones of workers.
    pub zones: ZoneConfig,
    /// What may be repeated, and how often.
    pub attempts: AttemptConfig,
    /// How workers that have just started are spared.
    pub cold: SlowStartConfig,
    /// Membership among schedulers; off unless `bind` is set. See docs/cluster.md.
    pub cluster: MembershipConfig,
    /// What the process may use.
    pub limits: ResourceLimits,
    /// The log, on standard error.
    pub log: LogConfig,
    /// The event log: what happened.
    pub records: EventLogConfig,
    /// Request classes. A request's class is the first part of its path.
    pub classes: Vec<Class>,
}

impl Default for Config {
    fn default() -> Config {
        let class = |name: &str, aim, stretch, deadline, worth, repeat| Class {
            name: name.into(),
            aim: HumanDuration(aim),
            stretch,
            deadline: HumanDuration(deadline),
            worth,
            repeat,
            ..Class::default()
        };
        Config {
            name: "copperspread".into(),
            seed: None,
            schedulers: 1,
            front: DownstreamConfig::default(),
            back: UpstreamConfig::default(),
            source: EndpointSourceConfig::default(),
            zones: ZoneConfig::default(),
            attempts: AttemptConfig::default(),
            cold: SlowStartConfig::default(),
            cluster: MembershipConfig::default(),
            limits: ResourceLimits::default(),
            log: LogConfig::default(),
            records: EventLogConfig::default(),
            classes: vec![
                class("status", SECOND / 2, 2.5, 5 * SECOND, 2.0, RepeatPolicy::Safe),
                class("uitbetaling", SECOND / 2, 2.0, 15 * SECOND / 2, 6.0, RepeatPolicy::Never),
            ],
        }
    }
}
