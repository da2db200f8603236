//! The configuration of a member, and the errors at its start.
use std::io;
use std::net::SocketAddr;

use copperspread_membership::{Key, Settings, SettingsError};

/// The configuration of one member: its addresses and identity, and the settings of the membership protocol.
#[derive(Clone, Debug)]
pub struct TransportConfig {
    /// The address that packets are received on and sent from, and that streams are received on. Streams to
    /// peers are opened from its IP address, with a port chosen by the system. If the port is 0, the system
    /// chooses a port for packets, and streams are received on the same one.
    pub bind_address: SocketAddr,
    /// The address at which peers reach the member, if it differs from the address that the member is bound
    /// to.
    pub advertised_address: Option<SocketAddr>,
    /// The member's name, which is the same after a restart.
    pub name: String,
    /// The name of the zone in which the member runs.
    pub zone: String,
    /// The name of the region in which the member runs.
    pub region: String,
    /// The settings of the failure detector.
    pub membership_settings: Settings,
    /// The cluster's key, which authenticates packets and states.
    pub key: Key,
    /// The seed of all random choices of the protocol.
    pub seed: u64,
}

/// The reason why a member could not be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// A setting is out of its range, or the name, zone or region is too long.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The address cannot be bound.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The configured address that could not be bound.
        address: SocketAddr,
        /// The error that the operating system returned for the attempt to bind.
        source: io::Error,
    },
    /// Another call to the operating system failed: creating a `mio::Poll`, setting a socket option or
    /// starting a thread.
    #[error(transparent)]
    System(#[from] io::Error),
}
