//! What a voter stores, and its log as the consensus library reads it.
use raft::eraftpb::{ConfState, HardState};
use raft::storage::{MemStorage, Storage};
use raft::{GetEntriesContext, RaftState, StorageError, eraftpb};
use serde::{Deserialize, Serialize};

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Of the leader that made it.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// A command of this crate; empty where a leader begins.
    pub data: Vec<u8>,
}

/// What a voter has promised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermVote {
    /// The newest term that it knows.
    pub term: u64,
    /// For which voter it voted in it, by number from 1; 0 for none.
    pub voted_for: u64,
}

/// All that the log did up to a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The state, in bytes.
    pub state: Vec<u8>,
    /// It came from another voter, and stands for the whole log; else entries after it stay.
    pub replaces_log: bool,
}

/// What is to be stored before `Persisted` is said, in this order: snapshot, entries, vote; all or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorageWrite {
    /// Takes the place of all entries up to it, or of all that there are.
    pub snapshot: Option<Snapshot>,
    /// Take the place of all entries from the first one's index on.
    pub entries: Vec<LogEntry>,
    /// Takes the place of the one before.
    pub vote: Option<TermVote>,
}

/// All that a voter has stored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredState {
    /// The last one.
    pub snapshot: Option<Snapshot>,
    /// Those after it, without a gap.
    pub entries: Vec<LogEntry>,
    /// The last one.
    pub vote: TermVote,
}

impl StoredState {
    /// What is stored after a change: what every store must do, and one in memory can use.
    pub fn apply(&mut self, change: StorageWrite) {
        if let Some(snapshot) = change.snapshot {
            self.entries.retain(|entry| !snapshot.replaces_log && entry.index > snapshot.index);
            self.snapshot = Some(snapshot);
        }
        if let Some(first) = change.entries.first().map(|entry| entry.index) {
            self.entries.retain(|entry| entry.index < first);
            self.entries.extend(change.entries);
        }
        if let Some(vote) = change.vote {
            self.vote = vote;
        }
    }

    /// Whether the entries follow the snapshot and each other, as a torn store would not have them.
    pub fn is_consistent(&self) -> bool {
        let mut next = self.snapshot.as_ref().map_or(1, |snapshot| snapshot.index.saturating_add(1));
        self.entries.iter().all(|entry| {
            let follows = entry.index == next && entry.term <= self.vote.term && entry.term > 0;
            next = next.saturating_add(1);
            follows
        })
    }
}

/// The log as the consensus library reads it. What was stored last is what `Persist` said; this is its copy.
pub(crate) struct RaftStorage {
    memory: MemStorage,
    snapshot: Option<eraftpb::Snapshot>,
}

impl RaftStorage {
    pub fn new(voters: u64, saved: &StoredState) -> raft::Result<RaftStorage> {
        let conf: ConfState = ((1..=voters).collect::<Vec<u64>>(), Vec::new()).into();
        let memory = MemStorage::new_with_conf_state(conf.clone());
        let mut log = RaftStorage { memory, snapshot: None };
        if let Some(snapshot) = &saved.snapshot {
            let snapshot = as_raft(snapshot, voters);
            log.install(snapshot)?;
        }
        let entries: Vec<eraftpb::Entry> = saved.entries.iter().map(entry_as_raft).collect();
        log.memory.wl().append(&entries)?;
        let commit = saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let TermVote { term, voted_for: vote } = saved.vote;
        log.set_vote(HardState { term, vote, commit, ..HardState::default() });
        Ok(log)
    }

    pub fn install(&mut self, snapshot: eraftpb::Snapshot) -> raft::Result<()> {
        self.memory.wl().apply_snapshot(snapshot.clone())?;
        self.snapshot = Some(snapshot);
        Ok(())
    }

    pub fn append(&mut self, entries: &[eraftpb::Entry]) -> raft::Result<()> {
        self.memory.wl().append(entries)
    }

    pub fn set_vote(&mut self, vote: HardState) {
        self.memory.wl().set_hardstate(vote);
    }

    /// Forgets the entries before one that a snapshot holds.
    pub fn fold(&mut self, snapshot: eraftpb::Snapshot) -> raft::Result<()> {
        self.memory.wl().compact(snapshot.get_metadata().index)?;
        self.snapshot = Some(snapshot);
        Ok(())
    }
}

impl Storage for RaftStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        self.memory.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        self.memory.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        self.memory.term(index)
    }

    fn first_index(&self) -> raft::Result<u64> {
        self.memory.first_index()
    }

    fn last_index(&self) -> raft::Result<u64> {
        self.memory.last_index()
    }

    fn snapshot(&self, at_least: u64, _to: u64) -> raft::Result<eraftpb::Snapshot> {
        let fits = self.snapshot.as_ref().filter(|snapshot| snapshot.get_metadata().index >= at_least);
        fits.cloned().ok_or(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable))
    }
}

pub(crate) fn entry_as_raft(entry: &LogEntry) -> eraftpb::Entry {
    let LogEntry { term, index, data } = entry;
    eraftpb::Entry { term: *term, index: *index, data: data.clone().into(), ..eraftpb::Entry::default() }
}

pub(crate) fn entry_from_raft(entry: &eraftpb::Entry) -> LogEntry {
    LogEntry { term: entry.term, index: entry.index, data: entry.data.to_vec() }
}

pub(crate) fn as_raft(snapshot: &Snapshot, voters: u64) -> eraftpb::Snapshot {
    let data = snapshot.state.clone().into();
    let mut made = eraftpb::Snapshot { data, ..eraftpb::Snapshot::default() };
    let metadata = made.mut_metadata();
    metadata.index = snapshot.index;
    metadata.term = snapshot.term;
    metadata.set_conf_state(((1..=voters).collect::<Vec<u64>>(), Vec::new()).into());
    made
}

pub(crate) fn from_raft(snapshot: &eraftpb::Snapshot) -> Snapshot {
    let metadata = snapshot.get_metadata();
    let (index, term) = (metadata.index, metadata.term);
    Snapshot { index, term, state: snapshot.data.to_vec(), replaces_log: true }
}
