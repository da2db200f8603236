//! The inputs of the membership protocol, which its driver passes in, and the effects that it returns.
use std::net::SocketAddr;

use crate::member::Member;
use crate::state::MembershipState;

/// An input that the driver passes to [`Membership::handle`](crate::Membership::handle).
#[derive(Clone, Copy, Debug)]
pub enum Input<'a> {
    /// A received packet, which has not been verified and may come from any sender.
    Packet(&'a [u8]),
    /// The state of another member, received over a stream.
    State(&'a MembershipState),
    /// A timer is due: the time has reached [`Membership::next_due`](crate::Membership::next_due). Before
    /// this input, the driver must pass in all packets that have arrived. Otherwise a timer could expire
    /// although the answer for which it waits has arrived.
    TimerDue,
}

/// An action that the driver has to carry out, or a change in the cluster of which the driver is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a packet to another member over the network, which may lose the packet.
    SendPacket {
        /// The address to which the packet is sent.
        to: SocketAddr,
        /// The packet, sealed with the cluster's key.
        packet: Vec<u8>,
    },
    /// Exchange states with the member at this address over a stream: send
    /// [`Membership::state`](crate::Membership::state) to that member, and pass in its reply as
    /// [`Input::State`].
    ExchangeState(SocketAddr),
    /// Another member is up. It has just joined, or this member has just learned about it.
    MemberUp(Member),
    /// Another member was declared dead, or has left the cluster.
    MemberDown(Member),
    /// Another member has restarted or rejoined, and has a new identity.
    MemberReplaced {
        /// The previous identity of the other member, which is no longer valid.
        before: Member,
        /// The new identity of the other member, which replaces the previous one.
        after: Member,
    },
    /// This member continues under this new identity, whose generation is higher than before. A generation is
    /// a number that grows with every start of a member's process ([`Member::generation`]). Another member
    /// still knew an earlier process of this member by an identity that took precedence, for example because
    /// the clock was set back between the two starts.
    LocalGenerationRaised(Member),
    /// The other members had declared this running member dead. It has rejoined under this identity.
    LocalMemberRejoined(Member),
}
