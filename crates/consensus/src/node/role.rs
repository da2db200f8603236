//! The roles of a member in Raft. A non-voter takes no part in votes. A voter with stored state takes part in
//! votes (voting). A voter without stored state first requests the state from the other voters (rejoining).
//! Such a voter then waits until the state from which it starts is durable (installing), and is voting from
//! then on.
use std::collections::BTreeMap;

use crate::raft_voter::RaftVoter;
use crate::storage::{StoredState, WriteToken};
use crate::time::Micros;
use crate::voter_id::VoterId;

/// A member's role in Raft. Only a member with the role `Voting` takes part in votes.
pub(super) enum Role {
    /// The member is a non-voter, which takes no part in votes and only holds a copy of the fleet's rules
    /// under a lease.
    NonVoter,
    /// The member is a voter without stored state, and requests the state from the other voters.
    Rejoining(Rejoin),
    /// The member is a voter that waits until the state from which it starts is durable.
    Installing { token: WriteToken, stored: StoredState },
    /// The member is a voter that takes part in votes.
    Voting(Box<RaftVoter>),
}

impl Role {
    /// The leader that this member's Raft state names, if any. Always `None` for a member that takes no part
    /// in votes.
    pub(super) fn leader_id(&self) -> Option<VoterId> {
        match self {
            Role::Voting(voter) => voter.leader_id(),
            _ => None,
        }
    }
}

/// The progress of a voter that rejoins because it started without stored state.
pub(super) struct Rejoin {
    /// A random number in the voter's rejoin requests, by which the voter recognizes the responses.
    pub(super) nonce: u64,
    /// The time at which the voter sent its first rejoin request.
    pub(super) started_at: Option<Micros>,
    /// The time at which the voter sent its last rejoin request.
    pub(super) requested_at: Option<Micros>,
    /// The other voters that have reported that they have no stored state either, each with its generation: a
    /// number that increases with every start of the voter's process ([`crate::MemberIdentity::generation`]).
    pub(super) empty_voters: BTreeMap<VoterId, u64>,
}

impl Rejoin {
    pub(super) fn new(nonce: u64) -> Rejoin {
        Rejoin { nonce, started_at: None, requested_at: None, empty_voters: BTreeMap::new() }
    }
}
