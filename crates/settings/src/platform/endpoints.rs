//! Reads endpoint lists in the JSON format of the hosting platform.
use copperspread_dispatcher::Micros;
use http::uri::Authority;
use tinyjson::JsonValue;

use super::parse::parse_address;
use crate::endpoints::{EndpointList, EndpointPhase, ListedEndpoint};
use crate::error::ReadError;
use crate::json::{array, boolean, integer, number, required, text};

const MICROS_PER_MILLISECOND: Micros = 1_000;

/// Reads an endpoint list from JSON. The JSON comes from a response of the discovery service or from the
/// startup configuration. The startup configuration may contain the list that the scheduler had before a
/// restart.
///
/// # Errors
/// Returns [`ReadError::Missing`] if a required field is absent or null, and another variant of [`ReadError`]
/// if a field has an invalid value. One invalid endpoint makes the whole list invalid.
pub fn read_endpoint_list(value: &JsonValue) -> Result<EndpointList, ReadError> {
    let members = required(value, "members", array)?;
    Ok(EndpointList {
        revision: required(value, "revision", integer)?,
        complete: required(value, "complete", boolean)?,
        endpoints: members.iter().map(read_endpoint).collect::<Result<_, _>>()?,
    })
}

fn read_endpoint(value: &JsonValue) -> Result<ListedEndpoint, ReadError> {
    let address = read_address(value)?;
    Ok(ListedEndpoint {
        id: required(value, "id", text)?.to_owned(),
        address,
        zone: text(value, "locality")?.unwrap_or_default().to_owned(),
        kind: text(value, "flavor")?.unwrap_or_default().to_owned(),
        cell: integer(value, "cell")?.unwrap_or(0),
        phase: read_phase(value)?,
        started_at: read_start_time(value)?,
        // The size of a worker is a measure of the worker's capacity. An invalid size counts as absent and
        // does not make the whole endpoint list invalid.
        size: number(value, "size").unwrap_or_default(),
    })
}

fn read_address(value: &JsonValue) -> Result<Authority, ReadError> {
    let text = required(value, "host_port", text)?;
    let address: Authority = parse_address(text)?;
    if address.port().is_none() {
        return Err(ReadError::MissingPort { text: text.to_owned() });
    }
    Ok(address)
}

fn read_phase(value: &JsonValue) -> Result<EndpointPhase, ReadError> {
    match required(value, "phase", text)? {
        "SERVING" => Ok(EndpointPhase::Serving),
        "DRAINING" => Ok(EndpointPhase::Draining),
        "DELETED" => Ok(EndpointPhase::Deleted),
        other => Err(ReadError::UnknownValue { field: "phase", value: other.to_owned() }),
    }
}

/// Reads the time of the worker's last start, in microseconds since the Unix epoch. Returns `None` if the
/// JSON field is absent or 0, which means that the time is unknown.
fn read_start_time(value: &JsonValue) -> Result<Option<Micros>, ReadError> {
    let milliseconds = integer::<u64>(value, "up_since_ms")?;
    Ok(milliseconds.filter(|&at| at > 0).map(|at| at * MICROS_PER_MILLISECOND))
}
