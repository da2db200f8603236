//! The state of a member: the list of all members that it knows. Members exchange their states over streams.
use std::collections::HashMap;
use std::net::SocketAddr;

use foca::State as MemberStatus;

use crate::member::Member;
use crate::seal::{Key, MAX_STATE_BODY_BYTES, PacketError, STATE_FORMAT};

type KnownMember = foca::Member<Member>;

/// The list of the members that one member knows, in this order: that member itself, the members that are up,
/// and the members that are down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipState(Vec<KnownMember>);

impl MembershipState {
    pub(crate) fn new<'a>(local: &Member, known: impl Iterator<Item = &'a KnownMember>) -> MembershipState {
        let (up, down): (Vec<_>, Vec<_>) =
            known.cloned().partition(|member| member.state() != MemberStatus::Down);
        // The entry of the local member has the initial incarnation, so a state exchange refutes no suspicion
        // of the local member. The packets of the local member refute such a suspicion, because they carry
        // its current incarnation.
        let local = foca::Member::alive(local.clone());
        // The members that are up come first, because sealing leaves out the end of a state that is too
        // large.
        MembershipState(std::iter::once(local).chain(up).chain(down).collect())
    }

    /// Size of the encoded state in bytes, without the seal.
    pub(crate) fn encoded_bytes(&self) -> usize {
        postcard::to_allocvec(&self.0).map_or(0, |body| body.len())
    }

    /// The number of members in the state, including the member to which the state belongs.
    pub fn member_count(&self) -> usize {
        self.0.len()
    }

    /// The identity that the state lists for an address, whether that member is up or down.
    pub(crate) fn member_at(&self, address: SocketAddr) -> Option<&Member> {
        self.0.iter().map(foca::Member::id).find(|member| member.address == address)
    }

    /// Seals the state for a stream, in at most [`MAX_STATE_BYTES`](crate::MAX_STATE_BYTES) bytes. If the
    /// state is too large, the last half of its members is left out, repeatedly until the rest fits.
    pub fn seal(&self, key: &Key) -> Vec<u8> {
        let mut included = &self.0[..];
        loop {
            // An error is not expected, because encoding the members to memory always succeeds.
            let body = postcard::to_allocvec(included).unwrap_or_default();
            if body.len() <= MAX_STATE_BODY_BYTES {
                return key.seal(STATE_FORMAT, &body);
            }
            included = &included[..included.len() / 2];
        }
    }

    /// Verifies and decodes a state that was sealed with `key`.
    ///
    /// # Errors
    /// Returns [`PacketError`] if the sealed state is too large, not sealed with the key, of another version,
    /// or cannot be decoded. A state with a member whose name, zone or region is longer than 64 bytes is
    /// rejected too.
    pub fn open(key: &Key, frame: &[u8]) -> Result<MembershipState, PacketError> {
        let body = key.open(STATE_FORMAT, frame)?;
        let members: Vec<KnownMember> = postcard::from_bytes(body).map_err(|_| PacketError::Malformed)?;
        if members.iter().all(|member| member.id().fits_in_packet()) {
            Ok(MembershipState(members))
        } else {
            Err(PacketError::Malformed)
        }
    }

    /// Returns the entries of this state that the member `local` has to apply. `known` is what `local`
    /// already knows.
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
                // An entry with another identity at the local address, such as an earlier one of this member,
                // is not applied. It says nothing about the current identity of this member.
                return identity == local;
            }
            // An entry of a dead member is applied only if this member still knows the dead member. Members
            // forget a dead member at different times. Without this rule, two members could pass its entry
            // back and forth forever.
            member.state() != MemberStatus::Down
                || known.get(&identity.address).is_some_and(|known| known.id() == identity)
        };
        self.0.iter().filter(is_update).cloned().collect()
    }
}
