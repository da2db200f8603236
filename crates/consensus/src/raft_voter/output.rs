//! Collects what Raft produces: messages, storage writes and committed entries.
use raft::{Ready, eraftpb};

use super::{DelayedMessages, RaftVoter};
use crate::raft_conversion::{entry_from_raft, snapshot_from_raft};
use crate::raft_message::RaftMessage;
use crate::storage::{LogEntry, Snapshot, StorageWrite, TermVote, WriteToken};
use crate::voter_id::VoterId;

/// A Raft message that this voter sends to another voter.
pub(crate) struct OutgoingMessage {
    pub(crate) to: VoterId,
    pub(crate) message: RaftMessage,
}

/// A write to storage. The caller must confirm by the token that the write is durable.
pub(crate) struct PendingWrite {
    pub(crate) token: WriteToken,
    pub(crate) write: StorageWrite,
}

/// A quorum's confirmation that this voter led when it started the quorum read. Once the log is applied up to
/// `index`, the state includes everything that was committed when the read started.
pub(crate) struct ConfirmedRead {
    pub(crate) read_id: u64,
    pub(crate) index: u64,
}

/// What a voter's Raft instance has produced. The caller must process the fields in the order of their
/// declaration.
#[derive(Default)]
pub(crate) struct VoterOutput {
    pub(crate) writes: Vec<PendingWrite>,
    pub(crate) messages: Vec<OutgoingMessage>,
    /// A snapshot that the caller must load as the replicated state before it applies the committed entries.
    pub(crate) installed_snapshot: Option<Snapshot>,
    pub(crate) committed_entries: Vec<LogEntry>,
    pub(crate) confirmed_reads: Vec<ConfirmedRead>,
}

impl VoterOutput {
    fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.messages.is_empty()
            && self.installed_snapshot.is_none()
            && self.committed_entries.is_empty()
            && self.confirmed_reads.is_empty()
    }

    pub(super) fn add_messages(&mut self, messages: Vec<eraftpb::Message>) {
        for message in messages {
            let to = VoterId::new(message.to);
            if let Some(message) = RaftMessage::from_raft(&message) {
                self.messages.push(OutgoingMessage { to, message });
            }
        }
    }
}

impl RaftVoter {
    /// Moves everything that Raft has produced to `output`. Returns whether `output` then contains anything.
    pub(crate) fn drain(&mut self, output: &mut VoterOutput) -> bool {
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            output.add_messages(ready.take_messages());
            let write = StorageWrite {
                snapshot: self.install_snapshot(&ready, output),
                entries: self.take_entries(&mut ready, output),
                vote: self.update_vote(&ready),
            };
            take_confirmed_reads(&mut ready, output);
            self.advance(ready, write, output);
        }
        // The crate `raft` accepts an installed snapshot as applied only once the snapshot is durable.
        if self.applied_index <= self.raft.raft.raft_log.persisted {
            self.raft.advance_apply_to(self.applied_index);
        }
        !output.is_empty()
    }

    fn install_snapshot(&mut self, ready: &Ready, output: &mut VoterOutput) -> Option<Snapshot> {
        if ready.snapshot().get_metadata().index == 0 {
            return None;
        }
        let snapshot = snapshot_from_raft(ready.snapshot());
        (self.applied_index, self.snapshot_index) = (snapshot.index, snapshot.index);
        let _ = self.raft.mut_store().install(ready.snapshot().clone());
        output.installed_snapshot = Some(snapshot.clone());
        output.committed_entries.clear();
        Some(snapshot)
    }

    /// Moves the committed entries of a `Ready`, which is one batch of output of the crate `raft`, to
    /// `output`. Returns the new log entries of the batch, which must be stored.
    fn take_entries(&mut self, ready: &mut Ready, output: &mut VoterOutput) -> Vec<LogEntry> {
        for entry in ready.take_committed_entries() {
            self.applied_index = entry.index;
            output.committed_entries.push(entry_from_raft(&entry));
        }
        let entries = ready.take_entries();
        let _ = self.raft.mut_store().append(&entries);
        entries.iter().map(entry_from_raft).collect()
    }

    /// Returns the voter's term and vote if they changed. The commit index need not be stored, because a
    /// restarted voter learns it again from the leader.
    fn update_vote(&mut self, ready: &Ready) -> Option<TermVote> {
        let hard_state = ready.hs().cloned()?;
        let vote = TermVote { term: hard_state.term, voted_for: hard_state.vote };
        let is_changed = vote != self.vote;
        self.vote = vote;
        self.raft.mut_store().set_hard_state(hard_state);
        is_changed.then_some(vote)
    }

    /// Finishes a `Ready`, which is one batch of output of the crate `raft`. Messages that must wait for the
    /// write of the batch are delayed until that write and all earlier writes are durable.
    fn advance(&mut self, mut ready: Ready, write: StorageWrite, output: &mut VoterOutput) {
        let messages = ready.take_persisted_messages();
        let ready_number = ready.number();
        self.raft.advance_append_async(ready);
        if write != StorageWrite::default() {
            let write = self.next_write(write);
            output.writes.push(write);
        } else if self.delayed_messages.is_empty() {
            self.raft.on_persist_ready(ready_number);
            output.add_messages(messages);
            return;
        }
        self.delayed_messages.push_back(DelayedMessages { token: self.last_token, ready_number, messages });
    }
}

fn take_confirmed_reads(ready: &mut Ready, output: &mut VoterOutput) {
    for read in ready.take_read_states() {
        if let Ok(read_id) = read.request_ctx.as_slice().try_into() {
            let read_id = u64::from_le_bytes(read_id);
            output.confirmed_reads.push(ConfirmedRead { read_id, index: read.index });
        }
    }
}
