//! Settings, limits and endpoint lists that a scheduler receives at its start and while it runs.
//!
//! The types are independent of any file format: the module [`platform`] creates their values from the JSON
//! of the hosting platform, and the crate `copperspread-config` creates them from a TOML configuration. This
//! crate opens no file and no socket.
mod endpoints;
mod error;
pub mod json;
pub mod platform;
mod startup;

pub use endpoints::{EndpointList, EndpointPhase, ListedEndpoint, name_hash};
pub use error::ReadError;
pub use startup::{DiscoveryConfig, ProxySettings, SchedulerSettings, StartupConfig};
