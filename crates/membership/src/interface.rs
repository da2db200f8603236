//! What goes into the protocol, and what comes out of it.
use std::net::SocketAddr;

use crate::member::Member;
use crate::state::MembershipState;

/// An input of [`Membership::handle`](crate::Membership::handle).
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A packet from any sender.
    Packet(&'a [u8]),
    /// A peer's state, received over a stream.
    State(&'a MembershipState),
    /// The time has reached [`Membership::next_due`](crate::Membership::next_due). The driver must hand in all
    /// packets that wait before this.
    TimerDue,
}

/// What the driver has to do, or what has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a packet.
    SendPacket {
        /// The receiver.
        to: SocketAddr,
        /// The whole packet.
        packet: Vec<u8>,
    },
    /// Exchange whole states with the member at this address over a stream: send it
    /// [`Membership::state`](crate::Membership::state), and hand in its answer as [`Input::State`].
    ExchangeState(SocketAddr),
    /// A member has joined.
    MemberUp(Member),
    /// A member was declared dead, or has left.
    MemberDown(Member),
    /// A member restarted or rejoined under a new identity.
    MemberReplaced {
        /// The identity that no longer counts.
        before: Member,
        /// The identity that replaces it.
        after: Member,
    },
    /// The others knew an earlier process of this member by a later generation; it goes on under this identity.
    GenerationRaised(Member),
    /// The others had declared this member dead; it has rejoined under this identity.
    SelfRefuted(Member),
}
