//! The messages between the threads of a member. The driver thread runs the membership protocol. The stream
//! threads exchange states, which are lists of members, with other members over TCP.
use std::net::SocketAddr;

use copperspread_membership::MembershipState;
use crossbeam_channel::Sender;

/// The state of another member, which a stream thread has received and sends to the driver.
pub(crate) struct ReceivedState {
    pub(crate) state: MembershipState,
    /// The queue to which the driver sends this member's state as a reply, after it has applied the received
    /// state. `None` if the other member does not wait for a reply.
    pub(crate) reply: Option<Sender<MembershipState>>,
}

/// A request of the driver to a stream thread, to exchange states with another member.
pub(crate) struct ExchangeRequest {
    pub(crate) peer: SocketAddr,
    /// The state of this member, which is sent to the other member.
    pub(crate) state: MembershipState,
}
