//! Reads the JSON of the hosting platform. The platform writes a configuration for each start of a scheduler,
//! and runs the discovery service.
//!
//! The functions of this module read three kinds of JSON. The first is the startup configuration. The second
//! is the settings object within the startup configuration, which the simulator sends as well. The third is
//! the endpoint list of the discovery service. Unknown keys are ignored.
mod endpoints;
mod parse;
mod settings;

use crate::error::ReadError;
use crate::json::{self, field, integer, number, object_or_null, required, text};
use crate::startup::{DiscoveryConfig, StartupConfig};

use parse::{parse_address, parse_hexadecimal};

pub use endpoints::read_endpoint_list;
pub use settings::read_settings;

/// Maximum number of file descriptors that the process may hold open if the startup configuration sets no
/// maximum.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;
/// Maximum memory, in megabytes, that the process may use if the startup configuration sets no maximum.
const DEFAULT_MEMORY_LIMIT_MB: f64 = 192.0;

/// Reads the startup configuration that the hosting platform writes for a scheduler.
///
/// # Errors
/// Returns the errors of [`json::parse`] if the content cannot be parsed as JSON, and [`ReadError::Missing`]
/// if a required field is absent or null. If a field has an invalid value, the error says what is wrong with
/// the value. If the error is within a value, such as an address or the settings object,
/// [`ReadError::InSection`] adds the name of the field.
pub fn read_startup_config(content: &str) -> Result<StartupConfig, ReadError> {
    let config = json::parse(content)?;
    let listen = required(&config, "listen", text)?;
    let discovery = required(&config, "discovery", text)?;
    let seed = required(&config, "seed", text)?;
    let limits = object_or_null(&config, "limits");
    let settings = field(&config, "settings").ok_or(ReadError::Missing { field: "settings" })?;
    Ok(StartupConfig {
        name: text(&config, "name")?.unwrap_or_default().to_owned(),
        listen: parse_address(listen).map_err(|error| error.in_section("listen"))?,
        discovery: DiscoveryConfig::Platform(
            parse_address(discovery).map_err(|error| error.in_section("discovery"))?,
        ),
        seed: parse_hexadecimal(seed).map_err(|error| error.in_section("seed"))?,
        descriptor_limit: integer(limits, "sockets")
            .map_err(|error| error.in_section("limits"))?
            .unwrap_or(DEFAULT_DESCRIPTOR_LIMIT),
        memory_limit_mb: number(limits, "memory_mb")
            .map_err(|error| error.in_section("limits"))?
            .unwrap_or(DEFAULT_MEMORY_LIMIT_MB),
        cached_endpoints: field(&config, "known")
            .map(read_endpoint_list)
            .transpose()
            .map_err(|error| error.in_section("known"))?,
        settings: read_settings(settings).map_err(|error| error.in_section("settings"))?,
    })
}
