//! Settings of the membership among schedulers.
use std::net::SocketAddr;
use std::path::PathBuf;

use copperspread_dispatcher::SECOND;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::units::HumanDuration;

/// Membership among schedulers, which tells each scheduler which others are alive. Off unless `bind` is set.
/// Changed settings take effect only at a restart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields, expecting = "struct Cluster")]
pub struct MembershipConfig {
    /// IP address and port on which this scheduler listens for the other members, over UDP and TCP; if
    /// absent, there is no membership.
    #[serde(deserialize_with = "deserialize_optional_address", skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub bind: Option<SocketAddr>,
    /// IP address and port at which the other members reach this one; if absent, `bind`.
    #[serde(deserialize_with = "deserialize_optional_address", skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    pub advertise: Option<SocketAddr>,
    /// IP addresses and ports of some schedulers. This scheduler announces itself to them until one answers;
    /// its own address may be among them.
    #[serde(deserialize_with = "deserialize_addresses")]
    #[schemars(with = "Vec<String>")]
    pub seeds: Vec<SocketAddr>,
    /// File with the key that all members share, of at least 16 bytes; a line break at its end is ignored.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key_file: Option<PathBuf>,
    /// Region of this scheduler, which is sent to the other members; at most 64 bytes.
    pub region: String,
    /// Time between two probes; 10ms to 1m. Each probe is sent to one member, and the members are probed in
    /// turn.
    pub probe_interval: HumanDuration,
    /// Time in which a probed member must answer before others are asked to probe it; over 0 and under
    /// `probe_interval`.
    pub probe_timeout: HumanDuration,
    /// Number of other members that are asked to probe a member that did not answer; 1 to 16.
    pub indirect: u32,
    /// Number of probe intervals after which a suspected member is declared dead; over 0 and at most 1000.
    /// `suspicion` is multiplied by the base-10 logarithm of the number of members if that logarithm is
    /// above 1.
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
    let describe = |_| format!("{text:?} is not an IP address and port, such as \"10.0.0.1:7946\"");
    text.parse().map_err(describe).map_err(E::custom)
}
