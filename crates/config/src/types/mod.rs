//! The types that the TOML configuration file is deserialized into.
//!
//! A field has the name of its key. The doc comments of types and fields are printed as descriptions by
//! `copperspread-scheduler config schema` and `config default` and in docs/configuration.md. The `expecting`
//! attributes set the type names that error texts show, so that renaming a Rust type does not change the
//! error texts. `startup.rs` converts the values to the settings of the dispatcher and the proxy.
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
    /// Name of the scheduler in the log, the event log and membership; with membership, 1 to 64 bytes.
    pub name: String,
    /// Seed of the random number generator; if absent, each start draws one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub seed: Option<u32>,
    /// Number of schedulers that share the workers, including this one; at least 1.
    pub schedulers: u32,
    /// Protocols that clients use.
    pub front: DownstreamConfig,
    /// Protocols that workers use.
    pub back: UpstreamConfig,
    /// Source of the endpoint list.
    pub source: EndpointSourceConfig,
    /// Zones of the workers and of this scheduler.
    pub zones: ZoneConfig,
    /// Limits on retries, hedging and cancellation.
    pub attempts: AttemptConfig,
    /// Slow start: limits the load of workers that have just started.
    pub cold: SlowStartConfig,
    /// Membership among schedulers; off unless `bind` is set. See docs/cluster.md.
    pub cluster: MembershipConfig,
    /// Resource limits of the process.
    pub limits: ResourceLimits,
    /// The log, which is written to standard error.
    pub log: LogConfig,
    /// The event log: what the scheduler did, as JSON lines.
    pub records: EventLogConfig,
    /// Request classes. The first segment of a request's path names its class.
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
