//! The startup configuration of a scheduler, independent of the format in which it is written.
use std::mem::discriminant;
use std::net::SocketAddr;

use copperspread_dispatcher::{Idempotency, Micros, Settings};
use http::uri::Authority;

use crate::endpoints::EndpointList;

/// The configuration that a scheduler process starts with.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// The scheduler's name, the same after a restart.
    pub name: String,
    /// The IP address and port on which the scheduler accepts client connections, and the callbacks by which
    /// workers report the progress and outcome of attempts.
    pub listen: SocketAddr,
    /// The source from which the scheduler gets its endpoint lists.
    pub discovery: DiscoveryConfig,
    /// The seed of the dispatch policy's random number generator.
    pub seed: u64,
    /// The maximum number of file descriptors that the process may hold open.
    pub descriptor_limit: usize,
    /// The maximum memory that the process may use, in megabytes.
    pub memory_limit_mb: f64,
    /// The endpoint list that this scheduler had before it was restarted, if it is known. The list may be
    /// stale.
    pub cached_endpoints: Option<EndpointList>,
    /// The settings of the dispatch policy and of the proxy.
    pub settings: SchedulerSettings,
}

impl StartupConfig {
    /// Returns the names of those parts of the configuration that differ between `self` and `other` and take
    /// effect only after a restart. The seed is not compared, because each configuration file has a new seed,
    /// so the seeds would always differ. The cached endpoints are not compared, because discovery replaces
    /// them.
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

/// The source from which a scheduler gets its endpoint lists.
#[derive(Clone, Debug, PartialEq)]
pub enum DiscoveryConfig {
    /// The hosting platform's discovery service, with its address.
    Platform(Authority),
    /// A fixed list from the configuration. The list is replaced only when the configuration is reloaded.
    Static(EndpointList),
}

/// The settings of a scheduler, divided into those of the dispatch policy and those of the proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct SchedulerSettings {
    /// The settings of the dispatch policy, which selects workers and decides on rejections and retries.
    pub dispatch: Settings,
    /// The settings of the proxy, which carries out the policy's decisions.
    pub proxy: ProxySettings,
}

/// The settings of the proxy, which forwards requests between clients and workers.
#[derive(Clone, Debug, PartialEq)]
pub struct ProxySettings {
    /// The names of the request classes. The position of a name in this list is the index by which the
    /// dispatch policy knows the class.
    pub classes: Vec<String>,
    /// Whether the requests of each class may be run more than once, in the order of `classes`.
    pub idempotency: Vec<Idempotency>,
    /// The names of the tenants. The position of a name in this list is the index by which the dispatch
    /// policy knows the tenant.
    pub tenants: Vec<String>,
    /// The names of the zones. The position of a name in this list is the index by which the dispatch policy
    /// knows the zone.
    pub zones: Vec<String>,
    /// The names of the worker kinds. The position of a name in this list is the index by which the dispatch
    /// policy knows the worker kind.
    pub worker_kinds: Vec<String>,
    /// The time limit for establishing a connection to a worker. An attempt to connect that takes longer
    /// counts as failed.
    pub connect_timeout: Micros,
    /// The idle time after which workers close a connection from the scheduler.
    pub keep_alive_timeout: Micros,
    /// Whether rejections carry a Retry-After header.
    pub sends_retry_after: bool,
    /// The longest time that a Retry-After header asks clients to wait. A longer time is reduced to this
    /// maximum, because clients are assumed not to wait longer.
    pub max_retry_after: Micros,
}
