//! Starts and ends the scheduler's membership in the cluster, if the configuration enables membership.
//!
//! The membership protocol is in `copperspread-membership`; its sockets and threads are in
//! `copperspread-membership-transport`. This module extracts the membership settings from the configuration,
//! reads the key file, starts and ends the member and provides the status page.
use std::path::{Path, PathBuf};
use std::sync::Arc;

use copperspread_config::{self as config, Config};
use copperspread_membership::{Key, KeyError, Settings};
use copperspread_membership_transport::{
    DropCounts, MembershipTransport, RejectionCounts, StartError, TransportConfig,
};
use copperspread_proxy::downstream::http::StatusPage;
use tracing::info;

/// HTTP path of the page that shows this member's view of the cluster.
const STATUS_PATH: &str = "/-/cluster";

/// Error when reading the key file, which contains the key that all members of the cluster share. The message
/// never contains any part of the key.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum KeyFileError {
    /// The key file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// Path of the key file that cannot be read.
        path: PathBuf,
        /// The operating system's reason why the key file cannot be read.
        source: std::io::Error,
    },
    /// The key file's content is not a valid key.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// Path of the key file whose content is not a valid key.
        path: PathBuf,
        /// The reason why the content of the key file is not a valid key.
        source: KeyError,
    },
}

/// Error when starting membership.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum MembershipError {
    /// Membership is on, but the configuration names no file with the cluster's shared key.
    #[error("cluster.key_file is missing")]
    NoKeyFile,
    /// The configuration does not set the address on which the member receives messages of other members.
    #[error("cluster.bind is missing")]
    NoBindAddress,
    /// The file with the cluster's shared key cannot be read or does not contain a valid key.
    #[error("cluster.key_file: {0}")]
    KeyFile(#[from] KeyFileError),
    /// The membership transport, which opens the member's sockets and starts its threads, did not start.
    #[error("cluster: {0}")]
    Transport(#[from] StartError),
}

/// Reads the key that all members of the cluster share from a file. One line break at the end of the file is
/// not part of the key.
///
/// # Errors
/// Fails if the file cannot be read or its content is not a valid key.
fn read_key(path: &Path) -> Result<Key, KeyFileError> {
    let bytes =
        std::fs::read(path).map_err(|source| KeyFileError::Unreadable { path: path.to_owned(), source })?;
    // Editors and `echo` append a line break that is not part of the key. One line break at the end is
    // therefore removed.
    let line = bytes.strip_suffix(b"\n").unwrap_or(&bytes);
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Key::new(line).map_err(|source| KeyFileError::Invalid { path: path.to_owned(), source })
}

/// Checks that a file contains a valid key for the cluster.
///
/// # Errors
/// Fails if the file cannot be read or its content is not a valid key. The error message contains no part of
/// the key.
pub(crate) fn check_key_file(path: &Path) -> Result<(), KeyFileError> {
    read_key(path).map(|_| ())
}

/// Settings with which this scheduler is started as a member of the cluster.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct MemberConfig {
    name: String,
    zone: String,
    cluster: config::MembershipConfig,
}

impl MemberConfig {
    /// Extracts the membership settings from a configuration. Returns `None` if membership is off.
    pub(crate) fn from_config(config: &Config) -> Option<MemberConfig> {
        let (name, zone, cluster) = (&config.name, &config.zones.here, &config.cluster);
        cluster.bind.map(|_| MemberConfig {
            name: name.clone(),
            zone: zone.clone(),
            cluster: cluster.clone(),
        })
    }

    /// Starts this scheduler as a member of the cluster. `seed` is the seed of the member's random numbers.
    /// The member's threads end when the returned handle is dropped.
    ///
    /// # Errors
    /// Fails if no key file or no address to bind is configured, if the key cannot be read, or if the
    /// membership transport does not start, for example because the address is in use.
    pub(crate) fn start(&self, seed: u64) -> Result<MembershipTransport, MembershipError> {
        let member = MembershipTransport::start(self.transport_config(seed)?)?;
        info!(scheduler = self.name, address = %member.local_address(), "membership started");
        Ok(member)
    }

    fn transport_config(&self, seed: u64) -> Result<TransportConfig, MembershipError> {
        let config::MembershipConfig { bind, advertise, key_file, region, .. } = &self.cluster;
        let key = read_key(key_file.as_deref().ok_or(MembershipError::NoKeyFile)?)?;
        Ok(TransportConfig {
            bind_address: bind.ok_or(MembershipError::NoBindAddress)?,
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

/// Creates the HTTP status page that shows a member's current view of the cluster as JSON.
pub(crate) fn status_page(member: &MembershipTransport) -> StatusPage {
    let view = member.view_reader();
    // An empty page would be shown if the view could not be serialized. That cannot happen, because the view
    // consists of names and numbers.
    let render_json = move || serde_json::to_string(&view()).unwrap_or_default();
    StatusPage { path: STATUS_PATH, render_json: Arc::new(render_json) }
}

/// Waits until the threads of a member that is leaving the cluster have ended. Then logs the member's counts
/// of packets and errors.
///
/// The counts of dropped packets, streams and states are read before the wait. They do not include what the
/// member drops during the wait. A state is the list of known members that another member has sent over a
/// stream.
pub(crate) fn wait_until_stopped(member: MembershipTransport) {
    let dropped = member.drop_counts();
    let view = member.shutdown();
    let RejectionCounts { too_large, malformed, forged, other_version } = view.rejected;
    // The log fields take the names of these variables. Log field names are an external interface and must
    // not change. The counts `packets_unsent` and `streams_rejected` are therefore assigned to variables with
    // the names of their log fields, `unsent` and `streams_refused`.
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
