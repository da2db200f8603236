//! Rejects received Raft messages that would make the crate `raft` panic.
use super::RaftVoter;
use crate::raft_message::{RaftMessage, RaftMessageKind};

impl RaftVoter {
    /// Whether a correct voter can have sent the message. The crate `raft` panics on messages that overwrite
    /// committed entries, or that commit entries that this voter does not have.
    pub(super) fn is_acceptable(&self, message: &RaftMessage) -> bool {
        let last_index = self.raft.raft.raft_log.last_index();
        if message.term == 0 || !self.has_acceptable_entries(message) {
            return false;
        }
        match message.kind {
            RaftMessageKind::Heartbeat => message.commit <= last_index || message.term < self.raft.raft.term,
            RaftMessageKind::AppendResponse | RaftMessageKind::HeartbeatResponse => {
                message.reject || message.index <= last_index || self.leader_term().is_none()
            }
            RaftMessageKind::Snapshot => {
                message.snapshot.as_ref().is_some_and(|snapshot| snapshot.index > 0 && snapshot.term > 0)
            }
            _ => true,
        }
    }

    /// Whether the message's entries are consecutive, have valid terms, and agree with the entries that this
    /// voter knows to be committed.
    fn has_acceptable_entries(&self, message: &RaftMessage) -> bool {
        let log = &self.raft.raft.raft_log;
        let mut expected_index = message.index;
        message.entries.iter().all(|entry| {
            expected_index = expected_index.saturating_add(1);
            // The crate `raft` reports term 0 for entries outside the log, such as compacted ones.
            let own_term = log.term(entry.index).unwrap_or(0);
            let is_consistent = entry.index > log.committed || own_term == 0 || own_term == entry.term;
            let has_valid_term = (1..=message.term).contains(&entry.term);
            entry.index == expected_index && has_valid_term && is_consistent
        })
    }
}
