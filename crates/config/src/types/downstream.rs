//! Settings of the protocols that clients use.
use std::net::SocketAddr;

use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// Settings of the protocols by which clients send requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Fronts")]
pub struct DownstreamConfig {
    /// Settings for the requests that clients send over HTTP/1.1.
    pub http: HttpDownstreamConfig,
}

/// Settings for the requests that clients send over HTTP/1.1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct HttpFront")]
pub struct HttpDownstreamConfig {
    /// IP address and port for client connections and for workers' callbacks.
    #[serde(deserialize_with = "deserialize_listen_address")]
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Maximum delay that the `Retry-After` header of a rejection asks for.
    pub max_retry_after: HumanDuration,
}

impl Default for HttpDownstreamConfig {
    fn default() -> HttpDownstreamConfig {
        HttpDownstreamConfig {
            listen: ([127, 0, 0, 1], 8081).into(),
            max_retry_after: HumanDuration(2 * SECOND),
        }
    }
}

fn deserialize_listen_address<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<SocketAddr, D::Error> {
    let text = String::deserialize(deserializer)?;
    let describe = |_| {
        format!(
            "{text:?} is not a listen address; write an IP address and a port, such as \"127.0.0.1:8081\""
        )
    };
    text.parse().map_err(describe).map_err(serde::de::Error::custom)
}
