//! What a scheduler is told, from outside, before and while it runs: settings, limits and worker
//! lists. The types belong to no format; [`platform`] reads the platform's JSON into them, and other
//! formats map onto the same ones. Nothing here opens a file or a socket.
pub mod json;
mod members;
pub mod platform;
mod start;

pub use members::{EndpointList, EndpointPhase, EndpointRecord, name_key};
pub use start::{DiscoveryConfig, ProxySettings, SchedulerSettings, StartupConfig};
