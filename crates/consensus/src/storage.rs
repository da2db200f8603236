//! What a voter stores. The order of the fields is that of the stored bytes.
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The term of the leader that appended it.
    pub term: u64,
    /// Its position, from 1.
    pub index: u64,
    /// A command of this crate; empty where a leader's term begins.
    pub data: Vec<u8>,
}

/// The term that a voter is in, and its vote there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermVote {
    /// The newest term that it knows.
    pub term: u64,
    /// The number of the voter for whom it voted in that term, from 1; 0 for none.
    pub voted_for: u64,
}

/// The state after the log up to an index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that is part of it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The state, serialized.
    pub state: Vec<u8>,
    /// It came from another voter and replaces the whole log; else the entries after it stay.
    pub replaces_log: bool,
}

/// Identifies a write until it is durable; later writes have larger tokens. Means nothing to another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteToken(u64);

impl WriteToken {
    /// The token of the next write.
    pub(crate) fn next(self) -> WriteToken {
        WriteToken(self.0 + 1)
    }
}

/// What to store before confirming it, in this order: snapshot, entries, vote; all or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageWrite {
    /// Replaces all entries up to its index, or all entries.
    pub snapshot: Option<Snapshot>,
    /// Replace all entries from the first one's index on.
    pub entries: Vec<LogEntry>,
    /// Replaces the vote.
    pub vote: Option<TermVote>,
}

/// All that a voter has stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it, without a gap.
    pub entries: Vec<LogEntry>,
    /// The last vote.
    pub vote: TermVote,
}

impl StoredState {
    /// Applies a write: the reference for every storage, and the implementation of one in memory.
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

    /// Whether the entries follow the snapshot and each other without a gap, and none has a term that the voter does
    /// not know. False after a torn write.
    pub fn is_consistent(&self) -> bool {
        let mut next_index = self.snapshot.as_ref().map_or(1, |snapshot| snapshot.index.saturating_add(1));
        self.entries.iter().all(|entry| {
            let is_next = entry.index == next_index;
            next_index = next_index.saturating_add(1);
            is_next && (1..=self.vote.term).contains(&entry.term)
        })
    }
}
