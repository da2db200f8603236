//! The rejoining of a voter that starts without stored state.
//!
//! Such a voter may have voted in the current term and lost the record of that vote. The voter must not vote
//! a second time in the same term. It therefore takes part in votes only after it has stored a state that a
//! leader committed after receiving the voter's rejoin request.
//!
//! If all other voters report that they have no stored state either, no leader can send such a state, and the
//! versions of the fleet's rules are lost. The voter then starts with an empty state, but only after every
//! lease that an earlier leader granted has expired. Until then, members may still follow the lost versions.
use super::Node;
use super::role::Role;
use crate::effect::Effect;
use crate::packet::Packet;
use crate::raft_voter::RaftVoter;
use crate::replicated_state::{Command, ReplicatedState};
use crate::rules::Rules;
use crate::storage::{Snapshot, StorageWrite, StoredState, TermVote};
use crate::time::Micros;
use crate::voter_id::VoterId;

impl<R: Rules> Node<R> {
    /// Asks the other voters for the current state. If all of them have reported that they have no state
    /// either, and all leases of earlier leaders have expired, the voter starts with an empty state instead.
    pub(super) fn request_rejoin(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        let voter_count = self.settings.voter_count();
        let Role::Rejoining(rejoin) = &mut self.role else { return };
        let started_at = *rejoin.started_at.get_or_insert(now);
        let are_all_empty = rejoin.empty_voters.len() as u64 == voter_count - 1;
        // After the lease expiry wait, every lease that was granted before the storage was lost has expired.
        if are_all_empty && now.saturating_sub(started_at) >= self.settings.lease_expiry_wait() {
            let generations = rejoin.empty_voters.values().copied();
            self.max_generation = generations.fold(self.max_generation, u64::max);
            self.install(StoredState::default(), effects);
            return;
        }
        let retry_interval = self.settings.retry_interval();
        if rejoin.requested_at.is_some_and(|at| now.saturating_sub(at) < retry_interval) {
            return;
        }
        rejoin.requested_at = Some(now);
        let request = Packet::RejoinRequest { nonce: rejoin.nonce, generation: self.identity.generation };
        let own_id = self.voter_id;
        for voter_id in self.settings.voter_ids().filter(|voter_id| Some(*voter_id) != own_id) {
            self.send_to_voter(voter_id, request.clone(), effects);
        }
    }

    /// Handles another voter's rejoin request. The leader appends a log entry for the request, and responds
    /// with a snapshot once it has applied that entry. The snapshot is therefore later than the request. A
    /// voter that is also rejoining responds that it has no state.
    pub(super) fn on_rejoin_request(
        &mut self,
        voter_id: VoterId,
        nonce: u64,
        generation: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.max_generation = self.max_generation.max(generation);
        match &self.role {
            Role::Rejoining(_) => {
                let own_generation = self.identity.generation;
                let answer = Packet::RejoinEmpty { nonce, generation: own_generation };
                self.send_to_voter(voter_id, answer, effects);
            }
            Role::Voting(_) if self.is_leader() => {
                self.append_command(&Command::VoterRejoined { voter_id, nonce });
            }
            _ => {}
        }
    }

    pub(super) fn on_rejoin_empty(&mut self, voter_id: VoterId, nonce: u64, generation: u64) {
        if let Role::Rejoining(rejoin) = &mut self.role
            && nonce == rejoin.nonce
        {
            rejoin.empty_voters.insert(voter_id, generation);
        }
    }

    pub(super) fn on_rejoin_snapshot(
        &mut self,
        nonce: u64,
        leader_id: VoterId,
        snapshot: Snapshot,
        effects: &mut Vec<Effect>,
    ) {
        let Role::Rejoining(rejoin) = &self.role else { return };
        let is_readable = postcard::from_bytes::<ReplicatedState>(&snapshot.state).is_ok();
        if nonce == rejoin.nonce && is_readable && snapshot.index > 0 && snapshot.term > 0 {
            // This voter may have voted in this term before its storage was lost. Recording a vote for the
            // leader of the term is safe, because the election of that term is already decided.
            let vote = TermVote { term: snapshot.term, voted_for: leader_id.get() };
            self.install(StoredState { snapshot: Some(snapshot), entries: Vec::new(), vote }, effects);
        }
    }

    /// Stores the state from which this voter starts. The voter takes part in votes once the write is
    /// durable.
    fn install(&mut self, stored: StoredState, effects: &mut Vec<Effect>) {
        self.last_token = self.last_token.next();
        let token = self.last_token;
        let write =
            StorageWrite { snapshot: stored.snapshot.clone(), vote: Some(stored.vote), entries: Vec::new() };
        self.role = Role::Installing { token, stored };
        effects.push(Effect::Persist { token, write });
    }

    /// Makes this voter take part in votes, from a stored state that is now durable.
    pub(super) fn finish_install(&mut self, stored: &StoredState) {
        let Some(voter_id) = self.voter_id else { return };
        let snapshot = stored.snapshot.as_ref();
        let state = snapshot
            .map_or_else(|| Ok(ReplicatedState::default()), |snapshot| postcard::from_bytes(&snapshot.state));
        let seed = self.rng.u64(..);
        let voter = RaftVoter::new(voter_id, &self.settings, stored, seed, self.last_token);
        // Neither the deserialization of the state nor the creation of the voter is expected to fail, because
        // the snapshot was checked before it was stored. If one of them fails, the member remains a non-voter
        // and takes no part in votes. The caller of this function has set that role.
        if let (Ok(state), Ok(voter)) = (state, voter) {
            self.state = state;
            self.role = Role::Voting(Box::new(voter));
        }
    }
}
