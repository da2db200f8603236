//! What a scheduler is told at its start, whatever the format.
use std::net::SocketAddr;

use copperspread_dispatcher::{Idempotency, Micros, Settings};
use http::uri::Authority;

use crate::members::EndpointList;

/// What a scheduler is told at its start.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients and call-backs connect.
    pub listen: SocketAddr,
    /// Where its worker list comes from.
    pub discovery: DiscoveryConfig,
    /// The seed of all chance.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub descriptor_limit: usize,
    /// How much memory it may use, in megabytes.
    pub memory_limit_mb: f64,
    /// The service entries as this scheduler last had them, possibly stale.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings.
    pub settings: SchedulerSettings,
}

impl StartupConfig {
    /// The parts in which another configuration differs and which only a new start can change. The
    /// seed is new with each file and the known list is overtaken by discovery's own.
    pub fn restart_only_changes(&self, other: &StartupConfig) -> Vec<&'static str> {
        let limits =
            self.descriptor_limit == other.descriptor_limit && self.memory_limit_mb == other.memory_limit_mb;
        let parts = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("source", std::mem::discriminant(&self.discovery) == std::mem::discriminant(&other.discovery)),
            ("limits", limits),
            ("settings", self.settings == other.settings),
        ];
        parts.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }
}

/// Where a worker list comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryConfig {
    /// The platform's discovery, at this address.
    Platform(Authority),
    /// This list, until the configuration is read again.
    Static(EndpointList),
}

/// The settings, parted by who uses them.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// For the decision module.
    pub dispatch: Settings,
    /// For the node round it.
    pub proxy: ProxySettings,
}

/// What the settings tell the node that the decision module has no use for.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// The classes' names, by index.
    pub classes: Vec<String>,
    /// What may be repeated of the classes' jobs, by index.
    pub idempotency: Vec<Idempotency>,
    /// The tenants' names, by index.
    pub tenants: Vec<String>,
    /// The zones' names, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of worker, by index.
    pub kinds: Vec<String>,
    /// A connection that is not up by then has failed.
    pub connect_timeout: Micros,
    /// Workers close a connection that has stood idle for this long.
    pub keep_alive_timeout: Micros,
    /// The simulator's clients are told when to come back.
    pub sends_retry_after: bool,
    /// The longest time for which clients heed a refusal's word to stay away.
    pub max_retry_after: Micros,
}
