//! The state that a voter stores durably, and the writes to that state. The order of the fields determines
//! the stored bytes.
use serde::{Deserialize, Serialize};

/// An entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that appended the entry to the log.
    pub term: u64,
    /// The index of the entry in the log, counted from 1.
    pub index: u64,
    /// The serialized command of the entry. Empty in the entry with which a leader begins its term.
    pub data: Vec<u8>,
}

/// The newest term that a voter knows, and the voter's vote in that term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermVote {
    /// The newest term that the voter knows.
    pub term: u64,
    /// The ID, counted from 1, of the voter for which this voter voted in the term [`TermVote::term`]; 0 if
    /// this voter has not voted in that term.
    pub voted_for: u64,
}

/// A snapshot of the replicated state after all log entries up to and including an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last log entry that the snapshot includes.
    pub index: u64,
    /// The term of the last log entry that the snapshot includes.
    pub term: u64,
    /// The replicated state, serialized with postcard.
    pub state: Vec<u8>,
    /// Whether the snapshot replaces the whole log, because another voter sent it. If false, the log entries
    /// after the snapshot are kept.
    pub replaces_log: bool,
}

/// A number that identifies a write to storage until the write is durable. Later writes have larger numbers.
/// A token is valid only in the process that issued it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteToken(u64);

impl WriteToken {
    /// The token of the write that follows the write with this token.
    pub(crate) fn next(self) -> WriteToken {
        WriteToken(self.0 + 1)
    }
}

/// A write to a voter's storage. The write must be atomic. Its parts are applied in this order: snapshot,
/// entries, vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageWrite {
    /// A snapshot to store. It replaces the stored entries up to its index, or all entries if
    /// [`Snapshot::replaces_log`] is set.
    pub snapshot: Option<Snapshot>,
    /// New log entries. They replace all stored entries from the index of the first new entry on.
    pub entries: Vec<LogEntry>,
    /// The voter's new term and vote, if they changed.
    pub vote: Option<TermVote>,
}

/// The complete state that a voter has stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// The newest stored snapshot; `None` before the first snapshot.
    pub snapshot: Option<Snapshot>,
    /// The stored log entries after the snapshot, without a gap.
    pub entries: Vec<LogEntry>,
    /// The newest term that the voter has stored, and its vote in that term.
    pub vote: TermVote,
}

impl StoredState {
    /// Applies a write to this state. Every implementation of storage must give the same result. An
    /// implementation in memory can use this function as it is.
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

    /// Whether the stored log is consistent: the entries continue the snapshot without a gap, and the term of
    /// each entry is between 1 and the term in [`StoredState::vote`]. False after a write that was stored
    /// only in part.
    pub fn is_consistent(&self) -> bool {
        let mut next_index = self.snapshot.as_ref().map_or(1, |snapshot| snapshot.index.saturating_add(1));
        self.entries.iter().all(|entry| {
            let is_next = entry.index == next_index;
            next_index = next_index.saturating_add(1);
            is_next && (1..=self.vote.term).contains(&entry.term)
        })
    }
}
