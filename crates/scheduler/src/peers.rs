//! Membership among schedulers, where the configuration asks for it: its start, its page and its key.
use std::path::Path;
use std::sync::Arc;

use copperspread_config::{Cluster, Config};
use copperspread_membership::{Key, Settings};
use copperspread_membership_transport::{MembershipTransport, TransportConfig};
use copperspread_proxy::downstream::http::StatusPage;
use tracing::info;

/// Where the view is answered.
const PATH: &str = "/-/cluster";

/// The key that a file holds.
///
/// # Errors
/// What is wrong with the file or the key, without its bytes.
fn read_key(path: &Path) -> Result<Key, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    // An editor or `echo` ends the line; another member's file may have been made without.
    let line = bytes.strip_suffix(b"\n").unwrap_or(&bytes);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Key::new(line).map_err(|e| format!("{}: {e}", path.display()))
}

/// Whether a file holds a key.
///
/// # Errors
/// As [`read_key`].
pub fn check_key(path: &Path) -> Result<(), String> {
    read_key(path).map(|_| ())
}

/// What a member is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Membership {
    name: String,
    zone: String,
    cluster: Cluster,
}

impl Membership {
    /// That of a configuration; nothing where it is off.
    pub fn of(config: &Config) -> Option<Membership> {
        let (name, zone, cluster) = (&config.name, &config.zones.here, &config.cluster);
        cluster.bind.map(|_| Membership { name: name.clone(), zone: zone.clone(), cluster: cluster.clone() })
    }

    /// Starts it.
    ///
    /// # Errors
    /// A key that cannot be read, or an address that cannot be bound.
    pub fn begin(&self, seed: u64) -> Result<MembershipTransport, String> {
        let Cluster { bind, advertise, seeds, key_file, region, .. } = &self.cluster;
        let of = &self.cluster;
        let settings = Settings {
            probe_interval: of.probe_interval.0,
            probe_timeout: of.probe_timeout.0,
            indirect_probes: of.indirect as usize,
            suspicion_multiplier: of.suspicion,
            seeds: seeds.clone(),
        };
        let key = read_key(key_file.as_deref().ok_or("cluster.key_file is missing")?)
            .map_err(|why| format!("cluster.key_file: {why}"))?;
        let spec = TransportConfig {
            bind_address: bind.ok_or("cluster.bind is missing")?,
            advertised_address: *advertise,
            name: self.name.clone(),
            zone: self.zone.clone(),
            region: region.clone(),
            membership_settings: settings,
            key,
            seed,
        };
        let peers = MembershipTransport::start(spec).map_err(|why| format!("cluster: {why}"))?;
        info!("{} is a member of a cluster at {}", self.name, peers.local_address());
        Ok(peers)
    }
}

/// The page of what a member sees.
pub fn page(peers: &MembershipTransport) -> StatusPage {
    let view = peers.view_reader();
    // Plain names and figures, which JSON always holds.
    let json = move || serde_json::to_string(&view()).unwrap_or_default();
    StatusPage { path: PATH, json: Arc::new(json) }
}

/// Waits for the end of one that was told to leave, and says what it has counted.
pub fn ended(peers: MembershipTransport) {
    let dropped = peers.drop_counts();
    let view = peers.shutdown();
    let copperspread_membership_transport::RejectionCounts { too_large, malformed, forged, other_version } =
        view.rejected;
    let copperspread_membership_transport::DropCounts {
        packets_unsent: unsent,
        streams_rejected: streams_refused,
        streams_failed,
        exchanges_skipped,
        states_dropped,
    } = dropped;
    info!(
        packets_in = view.packets_in,
        packets_out = view.packets_out,
        too_large,
        malformed,
        forged,
        other_version,
        unsent,
        streams_refused,
        streams_failed,
        exchanges_skipped,
        states_dropped,
        "membership ended"
    );
}

#[cfg(test)]
#[path = "../tests/unit/peers.rs"]
mod tests;
