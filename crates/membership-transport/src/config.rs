//! What a member is started with, and why it may not start.
use std::io;
use std::net::SocketAddr;

use copperspread_membership::{Key, Settings, SettingsError};

/// The configuration of one member.
#[derive(Clone, Debug)]
pub struct TransportConfig {
    /// The address that packets and streams are received on and sent from. With port 0 the system chooses a port,
    /// the same for both.
    pub bind_address: SocketAddr,
    /// Where peers reach the member, if not at the address that it is bound to.
    pub advertised_address: Option<SocketAddr>,
    /// Its name, the same after a restart.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// How it monitors the others.
    pub membership_settings: Settings,
    /// The cluster's key.
    pub key: Key,
    /// Determines all random choices of the protocol.
    pub seed: u64,
}

/// Why a member does not start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// Settings or an identity that the protocol cannot run with.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address that cannot be bound.
    #[error("bind {address}: {source}")]
    Bind {
        /// The address as configured.
        address: SocketAddr,
        /// What the system answered.
        source: io::Error,
    },
    /// Anything else that the system refused: a poll, a socket option, a thread.
    #[error(transparent)]
    System(#[from] io::Error),
}
