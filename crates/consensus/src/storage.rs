//! The state that a voter stores durably, and the writes to it. The order of the fields determines the stored
//! bytes.
use serde::{Deserialize, Serialize};

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The entry's position in the log, from 1.
    pub index: u64,
    /// A serialized command; empty in the entry with which a leader begins its term.
    pub data: Vec<u8>,
}

/// The newest term that a voter knows, and its vote in that term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermVote {
    /// The newest term that the voter knows.
    pub term: u64,
    /// The ID, from 1, of the voter that received this voter's vote in that term; 0 if it has not voted.
    pub voted_for: u64,
}

/// A snapshot of the replicated state after all log entries up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that the snapshot includes.
    pub index: u64,
    /// The term of the last entry that the snapshot includes.
    pub term: u64,
    /// The replicated state, serialized with postcard.
    pub state: Vec<u8>,
    /// Whether the snapshot replaces the whole log, because another voter sent it; if not, later entries are
    /// kept.
    pub replaces_log: bool,
}

/// A token that identifies a write until it is durable. Later writes have larger tokens; a token is valid
/// only in the process that issued it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteToken(u64);

impl WriteToken {
    /// The token of the write that follows the one with this token.
    pub(crate) fn next(self) -> WriteToken {
        WriteToken(self.0 + 1)
    }
}

/// A write to a voter's storage, which must be atomic. Its parts apply in the order snapshot, entries, vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageWrite {
    /// A snapshot that replaces the entries up to its index, or all entries if [`Snapshot::replaces_log`] is
    /// set.
    pub snapshot: Option<Snapshot>,
    /// New entries, which replace all stored entries from the index of the first new entry on.
    pub entries: Vec<LogEntry>,
    /// The new term and vote, if they changed.
    pub vote: Option<TermVote>,
}

/// The complete state that a voter has stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// The newest snapshot; `None` before the first one.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot, without a gap.
    pub entries: Vec<LogEntry>,
    /// The newest term that the voter has stored, and its vote in that term.
    pub vote: TermVote,
}

impl StoredState {
    /// Applies a write. This is the reference semantics for every storage implementation, and sufficient for
    /// an in-memory one.
    pub fn apply(&mut self, write: StorageWrite) {
        if let Some(snapshot) = write.snapshot {
            self.entries.retain(|entry| !snapshot.replaces_log && entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
        if let Some(first) = write.entries.first().map(|entry| entry.index) {
            self.entries.retain(|entry| entry.index < first);
            self.entries.extend(write.entries);
        }
        if let Some(vote) = write.vote {
            self.vote = vote;
        }
    }

    /// Whether the entries continue the snapshot without a gap, and the term of each is between 1 and the
    /// term in [`StoredState::vote`]. False after a torn write.
    pub fn is_consistent(&self) -> bool {
        let mut next_index = self.snapshot.as_ref().map_or(1, |snapshot| snapshot.index.saturating_add(1));
        self.entries.iter().all(|entry| {
            let is_next = entry.index == next_index;
            next_index = next_index.saturating_add(1);
            is_next && (1..=self.vote.term).contains(&entry.term)
        })
    }
}
