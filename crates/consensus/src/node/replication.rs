//! Connects the Raft library of a voter with its storage, the other voters and the replicated state.
use super::Node;
use super::role::Role;
use crate::effect::Effect;
use crate::packet::Packet;
use crate::raft_voter::{OutgoingMessage, PendingWrite, VoterOutput};
use crate::replicated_state::{Command, ProposalId, StateLimits};
use crate::rules::Rules;
use crate::storage::{LogEntry, Snapshot, WriteToken};
use crate::voter_id::VoterId;

/// What caused a log command: a proposal, or the rejoin request of a voter. Once the command is applied, the
/// leader responds to the member that sent the proposal or the request.
enum CommandOrigin {
    Proposal(ProposalId),
    RejoiningVoter { voter_id: VoterId, nonce: u64 },
}

impl CommandOrigin {
    fn of(command: &Command) -> Option<CommandOrigin> {
        match command {
            Command::Propose { id, .. } => Some(CommandOrigin::Proposal(id.clone())),
            Command::VoterRejoined { voter_id, nonce } => {
                Some(CommandOrigin::RejoiningVoter { voter_id: *voter_id, nonce: *nonce })
            }
            Command::StartEpoch { .. } | Command::Activate(_) => None,
        }
    }
}

impl<R: Rules> Node<R> {
    /// Appends a command to the replicated log, if this member leads.
    pub(super) fn append_command(&mut self, command: &Command) {
        if let (Role::Voting(voter), Ok(bytes)) = (&mut self.role, postcard::to_allocvec(command)) {
            voter.propose(bytes);
        }
    }

    /// Handles the caller's confirmation that all writes up to and including the one with this token are
    /// durable.
    pub(super) fn on_persisted(&mut self, token: WriteToken, effects: &mut Vec<Effect>) {
        match &mut self.role {
            Role::Voting(voter) => {
                let mut output = VoterOutput::default();
                voter.on_persisted(token, &mut output);
                self.send_to_voters(output.messages, effects);
            }
            Role::Installing { token: awaited, stored } if *awaited <= token => {
                let stored = std::mem::take(stored);
                // `finish_install` sets the role to voting. If it cannot load the state, the member remains a
                // non-voter.
                self.role = Role::NonVoter;
                self.finish_install(&stored);
            }
            _ => {}
        }
    }

    /// Carries out what Raft has produced: writes to storage, messages and changes of the replicated state.
    pub(super) fn apply_output(&mut self, output: VoterOutput, effects: &mut Vec<Effect>) {
        for write in output.writes {
            self.persist(write, effects);
        }
        self.send_to_voters(output.messages, effects);
        if let Some(Snapshot { state, .. }) = output.installed_snapshot {
            // Deserialization is not expected to fail: the leader serialized the state that it had applied
            // itself. A failure would leave an empty state.
            self.state = postcard::from_bytes(&state).unwrap_or_default();
        }
        for entry in output.committed_entries {
            self.apply_entry(&entry, effects);
        }
        if let Some(leader) = &mut self.leader {
            for read in output.confirmed_reads {
                leader.confirm_quorum_read(read.read_id, read.index);
            }
        }
        self.compact_log(effects);
    }

    fn persist(&mut self, PendingWrite { token, write }: PendingWrite, effects: &mut Vec<Effect>) {
        self.last_token = token;
        effects.push(Effect::Persist { token, write });
    }

    fn send_to_voters(&mut self, messages: Vec<OutgoingMessage>, effects: &mut Vec<Effect>) {
        for OutgoingMessage { to, message } in messages {
            self.send_to_voter(to, Packet::Raft(message), effects);
        }
    }

    fn compact_log(&mut self, effects: &mut Vec<Effect>) {
        let Role::Voting(voter) = &mut self.role else { return };
        if voter.entries_since_snapshot() >= self.settings.max_log_entries
            && let Ok(state) = postcard::to_allocvec(&self.state)
            && let Some(write) = voter.compact(state)
        {
            self.persist(write, effects);
        }
    }

    /// Applies a committed log entry to the replicated state. If this member leads, it then responds to the
    /// member that caused the command of the entry.
    fn apply_entry(&mut self, entry: &LogEntry, effects: &mut Vec<Effect>) {
        // Skips the empty entry with which a leader begins its term.
        let Ok(command) = postcard::from_bytes::<Command>(&entry.data) else { return };
        let origin = CommandOrigin::of(&command);
        let limits = StateLimits {
            max_pending_versions: self.settings.max_pending_versions,
            max_document_bytes: self.settings.max_document_bytes,
        };
        self.state.apply(command, limits);
        let Some(leader) = &self.leader else { return };
        match origin {
            Some(CommandOrigin::Proposal(id)) => self.send_proposal_result(id, effects),
            // For a voter's rejoin request, the leader has appended a log entry, which is now applied. The
            // leader responds to the request only if this entry is from its current term. The response makes
            // the rejoining voter record a vote for this leader in the term of the entry. In an earlier term,
            // another voter may have led, and that vote would be wrong.
            //
            // In the current term, the vote cannot change the result, because this leader has already won the
            // election of that term. The commit of the entry does not rely on the rejoining voter's lost
            // state either. The voter ignores Raft messages while it rejoins, so it is not in the quorum that
            // accepted the entry.
            Some(CommandOrigin::RejoiningVoter { voter_id, nonce }) if leader.term() == entry.term => {
                self.send_rejoin_snapshot(voter_id, nonce, entry, effects);
            }
            _ => {}
        }
    }

    fn send_proposal_result(&mut self, id: ProposalId, effects: &mut Vec<Effect>) {
        if let Some(outcome) = self.state.outcome(&id) {
            let member = id.member.clone();
            self.send_to_member(&member, Packet::ProposalResult { id, outcome }, effects);
        }
    }

    fn send_rejoin_snapshot(
        &mut self,
        voter_id: VoterId,
        nonce: u64,
        entry: &LogEntry,
        effects: &mut Vec<Effect>,
    ) {
        let (Some(leader_id), Ok(state)) = (self.voter_id, postcard::to_allocvec(&self.state)) else {
            return;
        };
        let snapshot = Snapshot { index: entry.index, term: entry.term, state, replaces_log: true };
        let answer = Packet::RejoinSnapshot { nonce, leader_id, snapshot };
        self.send_to_voter(voter_id, answer, effects);
    }
}
