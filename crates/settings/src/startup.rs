//! The configuration that a scheduler starts with, whatever format it came in.
use std::mem::discriminant;
use std::net::SocketAddr;

use copperspread_dispatcher::{Idempotency, Micros, Settings};
use http::uri::Authority;

use crate::endpoints::EndpointList;

/// What a scheduler is given at its start.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// The scheduler's name, the same after a restart.
    pub name: String,
    /// Where clients connect, and workers with their callbacks.
    pub listen: SocketAddr,
    /// Where endpoint lists come from.
    pub discovery: DiscoveryConfig,
    /// The seed of the dispatch policy's random numbers.
    pub seed: u64,
    /// How many descriptors the process may hold open.
    pub descriptor_limit: usize,
    /// How much memory it may use, in megabytes.
    pub memory_limit_mb: f64,
    /// The endpoint list as this scheduler last held it, possibly stale.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings of its parts.
    pub settings: SchedulerSettings,
}

impl StartupConfig {
    /// The names of the parts in which `other` differs and that only a restart can change. The seed
    /// does not count, as each file has a new one, nor the cached endpoints, which discovery's own
    /// list replaces.
    pub fn restart_only_changes(&self, other: &StartupConfig) -> Vec<&'static str> {
        let has_same_limits =
            self.descriptor_limit == other.descriptor_limit && self.memory_limit_mb == other.memory_limit_mb;
        let parts = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("source", discriminant(&self.discovery) == discriminant(&other.discovery)),
            ("limits", has_same_limits),
            ("settings", self.settings == other.settings),
        ];
        parts.into_iter().filter(|(_, is_same)| !is_same).map(|(name, _)| name).collect()
    }
}

/// Where endpoint lists come from.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryConfig {
    /// The platform's discovery, at this address.
    Platform(Authority),
    /// This list, until the configuration is read again.
    Static(EndpointList),
}

/// The settings, divided by who uses them.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// Those of the dispatch policy.
    pub dispatch: Settings,
    /// Those of the proxy that runs the policy.
    pub proxy: ProxySettings,
}

/// The settings that the proxy needs beside the policy's own.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// The request classes' names, by index.
    pub classes: Vec<String>,
    /// The request classes' idempotency, by index.
    pub idempotency: Vec<Idempotency>,
    /// The tenants' names, by index.
    pub tenants: Vec<String>,
    /// The zones' names, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of worker, by index.
    pub kinds: Vec<String>,
    /// A connection that is not established within this time has failed.
    pub connect_timeout: Micros,
    /// Workers close a connection that has been idle for this long.
    pub keep_alive_timeout: Micros,
    /// Whether a rejection carries a Retry-After.
    pub sends_retry_after: bool,
    /// The longest Retry-After that clients follow.
    pub max_retry_after: Micros,
}
