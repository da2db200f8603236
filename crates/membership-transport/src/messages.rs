//! The messages between the driver's thread and the threads of the streams.
use std::net::SocketAddr;

use copperspread_membership::MembershipState;
use crossbeam_channel::Sender;

/// A peer's state, from a stream's thread to the driver.
pub(crate) struct ReceivedState {
    pub(crate) state: MembershipState,
    /// Where the driver sends this member's own state once it has applied the peer's, if the peer waits for it.
    pub(crate) reply: Option<Sender<MembershipState>>,
}

/// A request of the driver to exchange states with a peer.
pub(crate) struct ExchangeRequest {
    pub(crate) peer: SocketAddr,
    /// This member's own state.
    pub(crate) state: MembershipState,
}
