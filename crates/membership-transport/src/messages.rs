//! The messages between the driver thread and the stream threads.
use std::net::SocketAddr;

use copperspread_membership::MembershipState;
use crossbeam_channel::Sender;

/// The state of a peer, sent from a stream thread to the driver.
pub(crate) struct ReceivedState {
    pub(crate) state: MembershipState,
    /// The queue to which the driver sends the state of this member after it has applied the peer's; `None`
    /// if the peer does not wait for a reply.
    pub(crate) reply: Option<Sender<MembershipState>>,
}

/// A request to exchange states with a peer, sent from the driver to a stream thread.
pub(crate) struct ExchangeRequest {
    pub(crate) peer: SocketAddr,
    /// The state of this member, to be sent to the peer.
    pub(crate) state: MembershipState,
}
