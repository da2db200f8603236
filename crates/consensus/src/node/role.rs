//! A member's role in Raft.
use std::collections::BTreeMap;

use crate::raft_voter::RaftVoter;
use crate::storage::{StoredState, WriteToken};
use crate::time::Micros;
use crate::voter_id::VoterId;

/// A member's role in Raft.
pub(super) enum Role {
    /// Not a voter: holds leased copies only.
    NonVoter,
    /// A voter without storage, that asks the others for the state.
    Rejoining(Rejoin),
    /// A voter that waits until the state that it begins from is durable.
    Installing { token: WriteToken, stored: StoredState },
    /// A voter that takes part.
    Voting(Box<RaftVoter>),
}

impl Role {
    /// The leader as far as it knows.
    pub(super) fn leader_id(&self) -> Option<VoterId> {
        match self {
            Role::Voting(voter) => voter.leader_id(),
            _ => None,
        }
    }
}

/// The requests of a voter without storage.
pub(super) struct Rejoin {
    pub(super) nonce: u64,
    /// When the first request was sent.
    pub(super) started_at: Option<Micros>,
    /// When the last request was sent.
    pub(super) requested_at: Option<Micros>,
    /// The generations of the voters that have no storage either, by voter.
    pub(super) empty_voters: BTreeMap<VoterId, u64>,
}

impl Rejoin {
    pub(super) fn new(nonce: u64) -> Rejoin {
        Rejoin { nonce, started_at: None, requested_at: None, empty_voters: BTreeMap::new() }
    }
}
