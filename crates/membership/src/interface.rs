//! The inputs and effects of the membership protocol.
use std::net::SocketAddr;

use crate::member::Member;
use crate::state::MembershipState;

/// An input of [`Membership::handle`](crate::Membership::handle).
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A packet from any sender, not yet verified.
    Packet(&'a [u8]),
    /// The state of a peer, received over a stream.
    State(&'a MembershipState),
    /// The time has reached [`Membership::next_due`](crate::Membership::next_due). Before this input, the
    /// driver must pass in all packets that have arrived, so that answers are seen before the timers that
    /// wait for them expire.
    TimerDue,
}

/// An action that the driver has to carry out, or a change in the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a packet to another member over the network, where the packet may be lost.
    SendPacket {
        /// The address of the receiver.
        to: SocketAddr,
        /// The sealed packet.
        packet: Vec<u8>,
    },
    /// Exchange states with the member at this address over a stream: send it
    /// [`Membership::state`](crate::Membership::state), and pass in its reply as [`Input::State`].
    ExchangeState(SocketAddr),
    /// Another member is up, because it has just joined or because this member has just learned about it.
    MemberUp(Member),
    /// A member was declared dead, or has left.
    MemberDown(Member),
    /// A member restarted or rejoined under a new identity.
    MemberReplaced {
        /// The previous identity, which is no longer valid.
        before: Member,
        /// The identity that replaces the previous one.
        after: Member,
    },
    /// Other members knew an earlier process of this member by an identity that takes precedence over the
    /// current one. This member continues under this new identity, whose generation is later.
    LocalGenerationRaised(Member),
    /// The other members had declared this member dead. It has rejoined under this identity.
    LocalMemberRejoined(Member),
}
