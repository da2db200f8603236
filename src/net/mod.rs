//! The real scheduler round the decision module: sockets, timers and nothing that decides.
pub mod clock;
pub mod config;
pub mod decisions;
pub mod edge;
pub mod edge_connection;
pub mod flow;
pub mod invariant;
pub mod real_server;
pub mod service_entry;

use std::sync::Arc;

use crate::net::clock::Clock;

/// What the parts of one real scheduler share.
pub struct Node {
    /// The clock of all events.
    pub clock: Clock,
    /// The decision module and the way to the flows.
    pub decisions: Arc<decisions::Decisions>,
    /// The way to the real servers.
    pub real_servers: real_server::RealServers,
    /// What discovery has told.
    pub entries: Arc<service_entry::ServiceEntries>,
    /// The settings that concern the node.
    pub settings: crate::settings::NodeSettings,
    /// The node's own ending.
    pub ending: edge::Ending,
}
