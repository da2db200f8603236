//! Membership among schedulers.
use std::net::SocketAddr;
use std::path::PathBuf;

use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// Membership among schedulers: who is there, who is gone. Off unless `bind` is set. All of it changes only with
/// a new start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Cluster")]
pub struct MembershipConfig {
    /// Number and port for peers, UDP and TCP; absent, there is no membership.
    #[serde(deserialize_with = "deserialize_optional_address", skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub bind: Option<SocketAddr>,
    /// Number and port at which peers reach it; absent, `bind`.
    #[serde(deserialize_with = "deserialize_optional_address", skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub advertise: Option<SocketAddr>,
    /// Numbers and ports of some schedulers, perhaps this one, which are asked until one of them answers.
    #[serde(deserialize_with = "deserialize_addresses")]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// The file with the key that all members share, of at least 16 bytes; a line's end after it does not count.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_file: Option<PathBuf>,
    /// This scheduler's region, which its peers learn.
    pub region: String,
    /// Between two probes; each is of one member, all in turn.
    pub probe_interval: HumanDuration,
    /// A probed member has answered by then, or others are asked to probe it; under `probe_interval`.
    pub probe_timeout: HumanDuration,
    /// Through how many others a member is probed that did not answer; 1 to 16.
    pub indirect: u32,
    /// A suspected member is dead after so many intervals times the logarithm (base 10) of the members, which
    /// counts as 1 at least.
    pub suspicion: f64,
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig {
            bind: None,
            advertise: None,
            seeds: Vec::new(),
            key_file: None,
            region: String::new(),
            probe_interval: HumanDuration(SECOND),
            probe_timeout: HumanDuration(300_000),
            indirect: 3,
            suspicion: 5.0,
        }
    }
}

fn deserialize_optional_address<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<SocketAddr>, D::Error> {
    parse_address(&String::deserialize(deserializer)?).map(Some)
}

fn deserialize_addresses<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<SocketAddr>, D::Error> {
    Vec::<String>::deserialize(deserializer)?.iter().map(|text| parse_address(text)).collect()
}

fn parse_address<E: serde::de::Error>(text: &str) -> Result<SocketAddr, E> {
    let describe = |_| format!("{text:?} is no number and port, such as \"10.0.0.1:7946\"");
    text.parse().map_err(describe).map_err(E::custom)
}
