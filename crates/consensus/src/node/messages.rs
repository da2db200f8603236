//! Passes each packet that a member receives to the method that handles its kind.
use super::Node;
use super::role::Role;
use crate::effect::Effect;
use crate::packet::Packet;
use crate::rules::Rules;
use crate::time::Micros;
use crate::voter_id::VoterId;

impl<R: Rules> Node<R> {
    /// Handles a packet from the member with the name `from`.
    pub(super) fn on_packet(&mut self, now: Micros, from: &str, packet: Packet, effects: &mut Vec<Effect>) {
        match packet {
            Packet::LeaseRequest(request) => self.on_lease_request(now, from, &request, effects),
            Packet::Proposal(proposal) => self.on_proposal(now, from, proposal, effects),
            packet => {
                if let Some(voter_id) = self.settings.voter_id(from) {
                    self.on_voter_packet(now, voter_id, packet, effects);
                }
            }
        }
    }

    /// Handles a packet of a kind that only voters send.
    fn on_voter_packet(&mut self, now: Micros, voter_id: VoterId, packet: Packet, effects: &mut Vec<Effect>) {
        match packet {
            Packet::Raft(message) => {
                if let Role::Voting(voter) = &mut self.role
                    && Some(voter_id) != self.voter_id
                {
                    voter.step(voter_id, message);
                }
            }
            Packet::LeaseGrant(grant) => self.on_lease_grant(now, voter_id, grant, effects),
            Packet::VersionUpdate(update) => self.on_version_update(now, voter_id, &update, effects),
            Packet::LeaderHint { session, leader_id } => {
                self.on_leader_hint(now, session, leader_id, effects);
            }
            Packet::ProposalResult { id, outcome } => self.on_proposal_result(&id, outcome, effects),
            Packet::RejoinRequest { nonce, generation } => {
                self.on_rejoin_request(voter_id, nonce, generation, effects);
            }
            Packet::RejoinEmpty { nonce, generation } => self.on_rejoin_empty(voter_id, nonce, generation),
            Packet::RejoinSnapshot { nonce, leader_id, snapshot } => {
                if leader_id == voter_id {
                    self.on_rejoin_snapshot(nonce, leader_id, snapshot, effects);
                }
            }
            Packet::LeaseRequest(_) | Packet::Proposal(_) => {}
        }
    }
}
