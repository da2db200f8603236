//! A member's role in Raft.
use super::rejoin::Rejoin;
use crate::raft_voter::RaftVoter;
use crate::storage::StoredState;

/// A member's role in Raft.
pub(super) enum Role {
    /// Not a voter: holds leased copies only.
    NonVoter,
    /// A voter without storage, that asks the others for the state.
    Rejoining(Rejoin),
    /// A voter that waits until the state that it begins from is durable.
    Installing { token: u64, stored: StoredState },
    /// A voter that takes part.
    Voting(Box<RaftVoter>),
}

impl Role {
    /// The number of the leader as far as it knows; 0 for none.
    pub(super) fn leader_id(&self) -> u64 {
        match self {
            Role::Voting(voter) => voter.leader_id(),
            _ => 0,
        }
    }
}
