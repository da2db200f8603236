//! Proposals to replace the fleet's rules. The proposing member resends a proposal until it receives the
//! result. The leader appends the proposal to the log.
use std::collections::BTreeMap;

use super::Node;
use crate::effect::{Effect, RejectionReason};
use crate::packet::{Packet, Proposal};
use crate::replicated_state::{Command, ProposalId, ProposalOutcome};
use crate::rules::Rules;
use crate::time::Micros;
use crate::versioned_document::Version;

/// The maximum number of this member's proposals that may wait for a result at once.
const MAX_PENDING_PROPOSALS: usize = 8;

struct PendingProposal {
    base_version: Version,
    bytes: Vec<u8>,
    sent_at: Micros,
}

/// This member's proposals that have no result yet. Owned by the member's [`Node`].
#[derive(Default)]
pub(super) struct ProposalClient {
    /// The proposals that have no result yet. The key is the number of the proposal; each process numbers its
    /// proposals from 1.
    pending: BTreeMap<u64, PendingProposal>,
    last_number: u64,
}

impl ProposalClient {
    fn add(&mut self, base_version: Version, bytes: Vec<u8>, now: Micros) -> u64 {
        self.last_number += 1;
        self.pending.insert(self.last_number, PendingProposal { base_version, bytes, sent_at: now });
        self.last_number
    }

    /// Returns the numbers of the proposals that have no result and were last sent at least `retry_interval`
    /// ago.
    fn unanswered(&self, now: Micros, retry_interval: Micros) -> Vec<u64> {
        let is_due = |proposal: &PendingProposal| now.saturating_sub(proposal.sent_at) >= retry_interval;
        let due = self.pending.iter().filter(|(_, proposal)| is_due(proposal));
        due.map(|(number, _)| *number).collect()
    }
}

impl<R: Rules> Node<R> {
    pub(super) fn propose(
        &mut self,
        now: Micros,
        base_version: Version,
        rules: &R,
        effects: &mut Vec<Effect>,
    ) {
        match self.validate_proposal(base_version, rules) {
            Ok(bytes) => {
                let number = self.proposals.add(base_version, bytes, now);
                self.send_proposal(now, number, effects);
            }
            Err(reason) => {
                let in_force = self.leased_rules.in_force();
                effects.push(Effect::ProposalRejected { base_version, in_force, reason });
            }
        }
    }

    /// Checks and serializes a proposal of this member. The proposed rules were derived from the version
    /// `base_version`. If this member knows a newer version, the proposal is rejected here. There may also be
    /// a newer version that this member does not know. The voters therefore check `base_version` again when
    /// they apply the log entry of the proposal.
    fn validate_proposal(&self, base_version: Version, rules: &R) -> Result<Vec<u8>, RejectionReason> {
        if base_version < self.leased_rules.newest() {
            return Err(RejectionReason::StaleBase);
        }
        if self.proposals.pending.len() >= MAX_PENDING_PROPOSALS {
            return Err(RejectionReason::PendingLimitReached);
        }
        match postcard::to_allocvec(rules) {
            Ok(bytes) if bytes.len() <= self.settings.max_document_bytes => Ok(bytes),
            _ => Err(RejectionReason::TooLarge),
        }
    }

    pub(super) fn resend_proposals(&mut self, now: Micros, effects: &mut Vec<Effect>) {
        for number in self.proposals.unanswered(now, self.settings.retry_interval()) {
            self.send_proposal(now, number, effects);
        }
    }

    fn send_proposal(&mut self, now: Micros, number: u64, effects: &mut Vec<Effect>) {
        let Some(pending) = self.proposals.pending.get_mut(&number) else { return };
        pending.sent_at = now;
        let id = ProposalId { member: self.identity.name.clone(), session: self.session, number };
        let proposal = Proposal { id, base_version: pending.base_version, bytes: pending.bytes.clone() };
        self.send_to_voter(self.lease.target_voter(), Packet::Proposal(proposal), effects);
    }

    /// Handles a member's proposal, if this member leads. If the outcome is already known, sends the result.
    /// Otherwise appends the proposal to the log.
    pub(super) fn on_proposal(
        &mut self,
        now: Micros,
        from: &str,
        proposal: Proposal,
        effects: &mut Vec<Effect>,
    ) {
        let Proposal { id, base_version, bytes } = proposal;
        let Some(leader) = &mut self.leader else { return };
        if id.member != from {
            return;
        }
        if let Some(outcome) = self.state.outcome(&id) {
            self.send_to_member(from, Packet::ProposalResult { id, outcome }, effects);
        } else if bytes.len() <= self.settings.max_document_bytes
            && leader.take_due_proposal(now, &id, &self.settings)
        {
            self.append_command(&Command::Propose { id, base_version, bytes });
        }
    }

    pub(super) fn on_proposal_result(
        &mut self,
        id: &ProposalId,
        outcome: ProposalOutcome,
        effects: &mut Vec<Effect>,
    ) {
        if id.member != self.identity.name || id.session != self.session {
            return;
        }
        let Some(PendingProposal { base_version, .. }) = self.proposals.pending.remove(&id.number) else {
            return;
        };
        effects.push(match outcome {
            ProposalOutcome::Accepted(version) => Effect::ProposalAccepted { base_version, version },
            ProposalOutcome::Rejected(in_force) => {
                Effect::ProposalRejected { base_version, in_force, reason: RejectionReason::StaleBase }
            }
        });
    }
}
