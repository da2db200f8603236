//! Membership among schedulers, where the configuration asks for it: its start, its status page and its key.
//! The protocol is in `copperspread-membership`, its sockets and threads in `copperspread-membership-transport`.
use std::path::{Path, PathBuf};
use std::sync::Arc;

use copperspread_config::{self as config, Config};
use copperspread_membership::{Key, KeyError, Settings};
use copperspread_membership_transport::{
    DropCounts, MembershipTransport, RejectionCounts, StartError, TransportConfig,
};
use copperspread_proxy::downstream::http::StatusPage;
use tracing::info;

/// The path of the status page.
const STATUS_PATH: &str = "/-/cluster";

/// Why a key file cannot be used. No text holds a byte of the key.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum KeyFileError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The file's content is no key.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: KeyError,
    },
}

/// Why membership does not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum MembershipError {
    /// No key file is configured.
    #[error("cluster.key_file is missing")]
    NoKeyFile,
    /// No address is configured.
    #[error("cluster.bind is missing")]
    NoAddress,
    /// The key file cannot be used.
    #[error("cluster.key_file: {0}")]
    KeyFile(#[from] KeyFileError),
    /// The transport did not start.
    #[error("cluster: {0}")]
    Transport(#[from] StartError),
}

/// Reads the key that a file holds.
///
/// # Errors
/// What is wrong with the file or the key.
fn read_key(path: &Path) -> Result<Key, KeyFileError> {
    let bytes =
        std::fs::read(path).map_err(|source| KeyFileError::Unreadable { path: path.to_owned(), source })?;
    // An editor or `echo` ends the line; another member's file may have been made without.
    let line = bytes.strip_suffix(b"\n").unwrap_or(&bytes);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Key::new(line).map_err(|source| KeyFileError::Invalid { path: path.to_owned(), source })
}

/// Checks that a file holds a key.
///
/// # Errors
/// What is wrong with the file or the key, without a byte of it.
pub(crate) fn check_key_file(path: &Path) -> Result<(), KeyFileError> {
    read_key(path).map(|_| ())
}

/// What a member is started with.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MembershipConfig {
    name: String,
    zone: String,
    cluster: config::MembershipConfig,
}

impl MembershipConfig {
    /// The part of a configuration that concerns membership; `None` where it is off.
    pub(crate) fn from_config(config: &Config) -> Option<MembershipConfig> {
        let (name, zone, cluster) = (&config.name, &config.zones.here, &config.cluster);
        cluster.bind.map(|_| MembershipConfig {
            name: name.clone(),
            zone: zone.clone(),
            cluster: cluster.clone(),
        })
    }

    /// Starts the member. Its threads end with the returned handle.
    ///
    /// # Errors
    /// A key that cannot be read, or an address that cannot be bound.
    pub(crate) fn start(&self, seed: u64) -> Result<MembershipTransport, MembershipError> {
        let member = MembershipTransport::start(self.transport_spec(seed)?)?;
        info!(scheduler = self.name, address = %member.local_address(), "membership started");
        Ok(member)
    }

    fn transport_spec(&self, seed: u64) -> Result<TransportConfig, MembershipError> {
        let config::MembershipConfig { bind, advertise, key_file, region, .. } = &self.cluster;
        let key = read_key(key_file.as_deref().ok_or(MembershipError::NoKeyFile)?)?;
        Ok(TransportConfig {
            bind_address: bind.ok_or(MembershipError::NoAddress)?,
            advertised_address: *advertise,
            name: self.name.clone(),
            zone: self.zone.clone(),
            region: region.clone(),
            membership_settings: protocol_settings(&self.cluster),
            key,
            seed,
        })
    }
}

fn protocol_settings(cluster: &config::MembershipConfig) -> Settings {
    Settings {
        probe_interval: cluster.probe_interval.0,
        probe_timeout: cluster.probe_timeout.0,
        indirect_probes: cluster.indirect as usize,
        suspicion_multiplier: cluster.suspicion,
        seeds: cluster.seeds.clone(),
    }
}

/// The status page that shows a member's view of the others.
pub(crate) fn status_page(member: &MembershipTransport) -> StatusPage {
    let view = member.view_reader();
    // Plain names and figures, which JSON can always express.
    let json = move || serde_json::to_string(&view()).unwrap_or_default();
    StatusPage { path: STATUS_PATH, json: Arc::new(json) }
}

/// Waits until a member that is leaving has ended, and logs its counts.
pub(crate) fn wait_until_stopped(member: MembershipTransport) {
    let dropped = member.drop_counts();
    let view = member.shutdown();
    let RejectionCounts { too_large, malformed, forged, other_version } = view.rejected;
    let DropCounts {
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
#[path = "../tests/unit/membership.rs"]
mod tests;
