//! The protocols that workers use.
use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// Workers' protocols.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Backs")]
pub struct UpstreamConfig {
    /// Workers that take a request by HTTP and call back.
    pub http: HttpUpstreamConfig,
}

/// Workers that take a request by HTTP and call back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct HttpBack")]
pub struct HttpUpstreamConfig {
    /// A connection that is not up by then has failed. A keyed request is repeated only while so much of its
    /// `key_window`, and 50 ms, are left.
    pub connect_within: HumanDuration,
    /// Workers close a connection that has stood idle for this long.
    pub keep_idle: HumanDuration,
    /// Workers call back when a request starts to run.
    pub tells_start: bool,
}

impl Default for HttpUpstreamConfig {
    fn default() -> HttpUpstreamConfig {
        HttpUpstreamConfig {
            connect_within: HumanDuration(SECOND / 4),
            keep_idle: HumanDuration(5 * SECOND),
            tells_start: true,
        }
    }
}
