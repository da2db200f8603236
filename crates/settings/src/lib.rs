//! The settings, limits and endpoint lists that a scheduler is given before and while it runs.
//!
//! The types belong to no format: [`platform`] reads the platform's JSON into them, and the crate
//! `copperspread-config` maps its TOML onto the same ones. Nothing here opens a file or a socket.
mod endpoints;
mod error;
pub mod json;
pub mod platform;
mod startup;

pub use endpoints::{EndpointList, EndpointPhase, EndpointRecord, name_key};
pub use error::ReadError;
pub use startup::{DiscoveryConfig, ProxySettings, SchedulerSettings, StartupConfig};
