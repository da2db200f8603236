//! A member's whole state: all that it knows about the members, for the exchange over a stream.
use std::collections::HashMap;
use std::net::SocketAddr;

use foca::State as MemberStatus;

use crate::member::Member;
use crate::seal::{Key, MAX_STATE_BODY_BYTES, PacketError, STATE_FORMAT};

type KnownMember = foca::Member<Member>;

/// All that a member knows: itself, the members that are up, then those that are down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipState(Vec<KnownMember>);

impl MembershipState {
    pub(crate) fn new<'a>(local: &Member, known: impl Iterator<Item = &'a KnownMember>) -> MembershipState {
        let (up, down): (Vec<_>, Vec<_>) =
            known.cloned().partition(|member| member.state() != MemberStatus::Down);
        // With the first incarnation: it refutes no suspicion, and the member's own packets carry the true one.
        let local = foca::Member::alive(local.clone());
        // Those that are up come first, as the end may be cut.
        MembershipState(std::iter::once(local).chain(up).chain(down).collect())
    }

    /// Size of the encoded form without its seal, in bytes.
    pub(crate) fn encoded_bytes(&self) -> usize {
        postcard::to_allocvec(&self.0).map_or(0, |body| body.len())
    }

    /// The number of members in it, the sender included.
    pub fn member_count(&self) -> usize {
        self.0.len()
    }

    /// The identity that is known at an address, up or down.
    pub(crate) fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        self.0.iter().map(foca::Member::id).find(|member| member.address == address)
    }

    /// The sealed form for a stream, of [`MAX_STATE_BYTES`](crate::MAX_STATE_BYTES) at most. Members at the end of
    /// a larger state are left out.
    pub fn seal(&self, key: &Key) -> Vec<u8> {
        let mut included = &self.0[..];
        loop {
            // Writing to memory does not fail.
            let body = postcard::to_allocvec(included).unwrap_or_default();
            if body.len() <= MAX_STATE_BODY_BYTES {
                return key.seal(STATE_FORMAT, &body);
            }
            included = &included[..included.len() / 2];
        }
    }

    /// Opens a state that was sealed with the key.
    ///
    /// # Errors
    /// The frame is too large, not sealed with the key, of another version, or cannot be decoded.
    pub fn open(key: &Key, frame: &[u8]) -> Result<MembershipState, PacketError> {
        let body = key.open(STATE_FORMAT, frame)?;
        let members: Vec<KnownMember> = postcard::from_bytes(body).map_err(|_| PacketError::Malformed)?;
        if members.iter().all(|member| member.id().fits_in_packet()) {
            Ok(MembershipState(members))
        } else {
            Err(PacketError::Malformed)
        }
    }

    /// The entries that a member which already knows `known` should apply.
    pub(crate) fn updates_for<'a>(
        &self,
        local: &Member,
        known: impl Iterator<Item = &'a KnownMember>,
    ) -> Vec<KnownMember> {
        let known: HashMap<SocketAddr, &KnownMember> =
            known.map(|member| (member.id().address, member)).collect();
        let is_update = |member: &&KnownMember| {
            let identity = member.id();
            if identity.address == local.address {
                // What became of an earlier identity at this address does not concern the present one.
                return identity == local;
            }
            // A dead member is applied only where it is known: two members that forget it at different times
            // would otherwise remind each other of it forever.
            member.state() != MemberStatus::Down
                || known.get(&identity.address).is_some_and(|known| known.id() == identity)
        };
        self.0.iter().filter(is_update).cloned().collect()
    }
}
