//! The roles of a member in Raft: non-voter, rejoining, installing or voting.
use std::collections::BTreeMap;

use crate::raft_voter::RaftVoter;
use crate::storage::{StoredState, WriteToken};
use crate::time::Micros;
use crate::voter_id::VoterId;

/// A member's role in Raft, which determines whether the member takes part in votes.
pub(super) enum Role {
    /// A non-voter, which only holds leased copies of the document.
    NonVoter,
    /// A voter without stored state that requests the state from the other voters.
    Rejoining(Rejoin),
    /// A voter that waits until the state that it starts from is durable.
    Installing { token: WriteToken, stored: StoredState },
    /// A voter that takes part in votes.
    Voting(Box<RaftVoter>),
}

impl Role {
    /// The leader that this member's Raft state knows; `None` for a member that is not voting.
    pub(super) fn leader_id(&self) -> Option<VoterId> {
        match self {
            Role::Voting(voter) => voter.leader_id(),
            _ => None,
        }
    }
}

/// The progress of a voter's rejoining.
pub(super) struct Rejoin {
    /// A random number that identifies the responses to this voter's requests.
    pub(super) nonce: u64,
    /// The time at which the first request was sent.
    pub(super) started_at: Option<Micros>,
    /// The time at which the last request was sent.
    pub(super) requested_at: Option<Micros>,
    /// The voters that have reported that they have no stored state either, each with its generation.
    pub(super) empty_voters: BTreeMap<VoterId, u64>,
}

impl Rejoin {
    pub(super) fn new(nonce: u64) -> Rejoin {
        Rejoin { nonce, started_at: None, requested_at: None, empty_voters: BTreeMap::new() }
    }
}
