//! The configuration with which a member starts, and the errors of a failed start.
use std::io;
use std::net::SocketAddr;

use copperspread_membership::{Key, Settings, SettingsError};

/// The configuration of one member: its addresses and identity, and the settings of the membership protocol.
#[derive(Clone, Debug)]
pub struct TransportConfig {
    /// The address to which the member's sockets are bound. The member receives and sends packets and accepts
    /// streams at this address. It opens streams to other members from the same IP address, with a port
    /// chosen by the system. If the configured port is 0, the system chooses one port for both packets and
    /// accepted streams.
    pub bind_address: SocketAddr,
    /// The address at which other members reach the member, if it differs from the address to which the
    /// sockets are bound.
    pub advertised_address: Option<SocketAddr>,
    /// The member's name, which stays the same after a restart.
    pub name: String,
    /// The name of the zone in which the member runs.
    pub zone: String,
    /// The name of the region in which the member runs.
    pub region: String,
    /// The settings of the member's failure detector.
    pub membership_settings: Settings,
    /// The cluster's key, which authenticates packets and states.
    pub key: Key,
    /// The seed that determines all random choices of the membership protocol.
    pub seed: u64,
}

/// The reason why a member could not be started.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum StartError {
    /// A setting of the failure detector is out of its range, or the member's name, zone or region is too
    /// long.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The member's sockets cannot be bound to the configured address.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// The configured address to which the sockets could not be bound.
        address: SocketAddr,
        /// The error that the operating system returned for the attempt to bind.
        source: io::Error,
    },
    /// Another call to the operating system failed during the start: creating a `mio::Poll`, setting a socket
    /// option or starting a thread.
    #[error(transparent)]
    System(#[from] io::Error),
}
