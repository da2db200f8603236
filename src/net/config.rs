//! The configuration that the platform lays down for each start.
use std::net::SocketAddr;

use hyper::http::uri::Authority;

use crate::json::{self, field, need, number, text, whole};
use crate::net::service_entry::{self, List};
use crate::settings::{self, Given};

/// What a scheduler is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients and call-backs connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: Authority,
    /// The seed of all chance.
    pub seed: u64,
    /// How many descriptors the process may hold.
    pub sockets: usize,
    /// How much memory it may use, in megabytes.
    pub memory_mb: f64,
    /// The service entries as this scheduler last had them, possibly stale.
    pub known: Option<List>,
    /// The settings.
    pub given: Given,
}

impl Config {
    /// The parts in which another configuration differs and which only a new start can change. The
    /// seed is new with each file and the known list is overtaken by discovery's own.
    pub fn fixed_unlike(&self, other: &Config) -> Vec<&'static str> {
        let limits = self.sockets == other.sockets && self.memory_mb == other.memory_mb;
        let parts = [
            ("name", self.name == other.name),
            ("listen", self.listen == other.listen),
            ("limits", limits),
            ("settings", self.given == other.given),
        ];
        parts.into_iter().filter(|(_, same)| !same).map(|(name, _)| name).collect()
    }
}

/// Reads the configuration; the error says in words what is wrong with it.
pub fn read(content: &str) -> Result<Config, String> {
    let config = json::parse(content)?;
    let nothing = tinyjson::JsonValue::Null;
    let listen = need(text(&config, "listen"), "listen")?;
    let discovery = need(text(&config, "discovery"), "discovery")?;
    let seed = need(text(&config, "seed"), "seed")?;
    let limits = field(&config, "limits").unwrap_or(&nothing);
    let settings = field(&config, "settings").ok_or("settings is missing")?;
    Ok(Config {
        name: text(&config, "name")?.unwrap_or_default().to_owned(),
        listen: listen.parse().map_err(|_| format!("listen: {listen:?} is no address"))?,
        discovery: discovery.parse().map_err(|_| format!("discovery: {discovery:?} is no address"))?,
        seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed: {seed:?} is no hex number"))?,
        sockets: whole(limits, "sockets").map_err(|e| format!("limits: {e}"))?.unwrap_or(1024),
        memory_mb: number(limits, "memory_mb").map_err(|e| format!("limits: {e}"))?.unwrap_or(192.0),
        known: field(&config, "known")
            .map(service_entry::read_list)
            .transpose()
            .map_err(|e| format!("known: {e}"))?,
        given: settings::read(settings).map_err(|e| format!("settings: {e}"))?,
    })
}
