//! What a scheduler is told at its start, whatever the format.
use std::net::SocketAddr;

use copperspread_dispatcher::{Effect, Micros, Settings};
use http::uri::Authority;

use crate::members::List;

/// What a scheduler is told at its start.
#[derive(Clone, Debug)]
pub struct Start {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients and call-backs connect.
    pub listen: SocketAddr,
    /// Where its worker list comes from.
    pub source: SourceSpec,
    /// The seed of all chance.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub sockets: usize,
    /// How much memory it may use, in megabytes.
    pub memory_mb: f64,
    /// The service entries as this scheduler last had them, possibly stale.
    pub known: Option<List>,
    /// The settings.
    pub given: Given,
}

impl Start {
    /// The parts in which another configuration differs and which only a new start can change. The
    /// seed is new with each file and the known list is overtaken by discovery's own.
    pub fn fixed_unlike(&self, other: &Start) -> Vec<&'static str> {
        let limits = self.sockets == other.sockets && self.memory_mb == other.memory_mb;
        let parts = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("source", std::mem::discriminant(&self.source) == std::mem::discriminant(&other.source)),
            ("limits", limits),
            ("settings", self.given == other.given),
        ];
        parts.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }
}

/// Where a worker list comes from.
#[derive(Clone, Debug, PartialEq)]
pub enum SourceSpec {
    /// The platform's discovery, at this address.
    Targets(Authority),
    /// This list, until the configuration is read again.
    Fixed(List),
}

/// The settings, parted by who uses them.
#[derive(Clone, Debug, PartialEq)]
pub struct Given {
    /// For the decision module.
    pub decisions: Settings,
    /// For the node round it.
    pub node: NodeSettings,
}

/// What the settings tell the node that the decision module has no use for.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// The classes' names, by index.
    pub classes: Vec<String>,
    /// What may be repeated of the classes' jobs, by index.
    pub effects: Vec<Effect>,
    /// The tenants' names, by index.
    pub tenants: Vec<String>,
    /// The zones' names, by index.
    pub zones: Vec<String>,
    /// The names of the kinds of worker, by index.
    pub kinds: Vec<String>,
    /// A connection that is not up by then has failed.
    pub connect_within: Micros,
    /// Workers close a connection that has stood idle for this long.
    pub keepalive: Micros,
    /// The simulator's clients are told when to come back.
    pub tells_when: bool,
    /// The longest time for which clients heed a refusal's word to stay away.
    pub max_retry_after: Micros,
}
