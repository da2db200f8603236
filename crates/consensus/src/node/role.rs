//! A member's role in Raft.
use super::rejoin::Rejoin;
use crate::raft_voter::RaftVoter;
use crate::storage::{StoredState, WriteToken};
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
