//! Settings, limits and endpoint lists that a scheduler receives at its start and while it runs.
//!
//! The types are independent of any file format: [`platform`] reads the platform's JSON into them, and the
//! crate `copperspread-config` maps its TOML onto them. This crate opens no file and no socket.
mod endpoints;
mod error;
pub mod json;
pub mod platform;
mod startup;

pub use endpoints::{EndpointList, EndpointPhase, EndpointRecord, name_hash};
pub use error::ReadError;
pub use startup::{DiscoveryConfig, ProxySettings, SchedulerSettings, StartupConfig};
