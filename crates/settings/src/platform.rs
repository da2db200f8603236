//! The platform's JSON: the configuration that it writes for each start of a scheduler, the settings
//! object in it, which the simulator sends as well, and discovery's endpoint lists. This is their one
//! reader; unknown keys are ignored.
mod endpoints;
mod settings;

use tinyjson::JsonValue;

use crate::error::ReadError;
use crate::json::{self, field, integer, number, required, text};
use crate::startup::{DiscoveryConfig, StartupConfig};

pub use endpoints::read_endpoint_list;
pub use settings::read_settings;

/// Descriptors that the process may hold open where the configuration has no limit.
const DEFAULT_DESCRIPTOR_LIMIT: usize = 1024;
/// Memory that the process may use where the configuration has no limit, in megabytes.
const DEFAULT_MEMORY_LIMIT_MB: f64 = 192.0;

/// Reads the configuration of a start.
///
/// # Errors
/// A text that is not JSON, and a field that is missing or wrong.
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

/// A field's value; null, which has no fields, where it is absent.
fn object_or_null<'a>(value: &'a JsonValue, name: &str) -> &'a JsonValue {
    const NULL: &JsonValue = &JsonValue::Null;
    field(value, name).unwrap_or(NULL)
}

fn parse_address<A: std::str::FromStr>(address: &str) -> Result<A, ReadError> {
    address.parse().map_err(|_| ReadError::InvalidAddress { text: address.to_owned() })
}

fn parse_hexadecimal(number: &str) -> Result<u64, ReadError> {
    u64::from_str_radix(number, 16).map_err(|_| ReadError::NotHexadecimal { text: number.to_owned() })
}
