//! All that a member knows, for a stream between two: more than a packet holds.
use std::collections::HashMap;
use std::net::SocketAddr;

use foca::State as Phase;

use crate::seal::{Key, MAX_STATE_BODY_BYTES};
use crate::{Member, PacketError};

type Known = foca::Member<Member>;

/// All that a member knows about others, those that are down among them, and itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MembershipState(Vec<Known>);

impl MembershipState {
    pub(crate) fn of<'a>(own: &Member, known: impl Iterator<Item = &'a Known>) -> MembershipState {
        let (there, down): (Vec<_>, Vec<_>) = known.cloned().partition(|of| of.state() != Phase::Down);
        // Of the first incarnation: it wins over no suspicion, and its own packets tell the true one.
        let own = foca::Member::alive(own.clone());
        // Those that are there come first, as the end may be cut.
        MembershipState(std::iter::once(own).chain(there).chain(down).collect())
    }

    /// Bytes without the seal.
    pub(crate) fn encoded_bytes(&self) -> usize {
        postcard::to_allocvec(&self.0).map_or(0, |body| body.len())
    }

    /// How many members it tells of.
    pub fn member_count(&self) -> usize {
        self.0.len()
    }

    /// Its form for a stream, of [`crate::MOST_STATE`] bytes at most: what is past it is left out.
    pub fn seal(&self, key: &Key) -> Vec<u8> {
        let mut known = &self.0[..];
        loop {
            // Writes to memory, which does not fail.
            let body = postcard::to_allocvec(known).unwrap_or_default();
            if body.len() <= MAX_STATE_BODY_BYTES {
                return key.seal_state(&body);
            }
            known = &known[..known.len() / 2];
        }
    }

    /// What somebody with the key closed.
    ///
    /// # Errors
    /// Why it is none.
    pub fn open(key: &Key, frame: &[u8]) -> Result<MembershipState, PacketError> {
        let body = key.open_state(frame)?;
        let known: Vec<Known> = postcard::from_bytes(body).map_err(|_| PacketError::Malformed)?;
        if known.iter().all(|of| of.id().fits_in_packet()) {
            Ok(MembershipState(known))
        } else {
            Err(PacketError::Malformed)
        }
    }

    /// What in it is worth telling to a member that knows these.
    pub(crate) fn updates_for<'a>(&self, own: &Member, known: impl Iterator<Item = &'a Known>) -> Vec<Known> {
        let known: HashMap<SocketAddr, &Known> = known.map(|of| (of.id().address, of)).collect();
        let news = self.0.iter().filter(|of| {
            if of.id().address == own.address {
                // Another start's or return's fate is not its own.
                return of.id() == own;
            }
            // Guards against dead members that two remind each other of for good, each forgetting
            // them at another time.
            of.state() != Phase::Down || known.get(&of.id().address).is_some_and(|had| had.id() == of.id())
        });
        news.cloned().collect()
    }
}
