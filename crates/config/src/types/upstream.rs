//! Settings of the protocols that workers use.
use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// Settings of the protocols by which workers receive requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Backs")]
pub struct UpstreamConfig {
    /// Settings for workers that take a request over HTTP and report its completion by a callback.
    pub http: HttpUpstreamConfig,
}

/// Settings for workers that take a request over HTTP and report its completion by a callback.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct HttpBack")]
pub struct HttpUpstreamConfig {
    /// Timeout for connecting to a worker; over 0. A keyed request is retried only while its `key_window`
    /// has more than this time plus 50 ms left, so that the retry is sent within the window.
    pub connect_within: HumanDuration,
    /// Time after which workers close an idle connection; over 0.
    pub keep_idle: HumanDuration,
    /// Whether workers also call back when a request starts to run.
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
