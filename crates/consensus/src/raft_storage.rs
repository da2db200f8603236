//! A voter's copy of its storage in memory, from which the crate `raft` reads.
use raft::eraftpb::{self, HardState};
use raft::storage::{MemStorage, Storage};
use raft::{GetEntriesContext, RaftState, StorageError};

use crate::raft_conversion::{conf_state, entry_to_raft, snapshot_to_raft};
use crate::storage::{StoredState, TermVote};

/// The voter's log, snapshot and vote after all its writes, including writes that are not yet durable. Owned
/// by the voter's [`crate::raft_voter::RaftVoter`].
pub(crate) struct RaftStorage {
    memory: MemStorage,
    snapshot: Option<eraftpb::Snapshot>,
}

impl RaftStorage {
    pub(crate) fn new(voter_count: u64, stored: &StoredState) -> raft::Result<RaftStorage> {
        let memory = MemStorage::new_with_conf_state(conf_state(voter_count));
        let mut storage = RaftStorage { memory, snapshot: None };
        if let Some(snapshot) = &stored.snapshot {
            storage.install(snapshot_to_raft(snapshot, voter_count))?;
        }
        let entries: Vec<eraftpb::Entry> = stored.entries.iter().map(entry_to_raft).collect();
        storage.append(&entries)?;
        let commit = stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let TermVote { term, voted_for } = stored.vote;
        storage.set_hard_state(HardState { term, vote: voted_for, commit, ..HardState::default() });
        Ok(storage)
    }

    /// Replaces the voter's whole log with a snapshot.
    pub(crate) fn install(&mut self, snapshot: eraftpb::Snapshot) -> raft::Result<()> {
        self.memory.wl().apply_snapshot(snapshot.clone())?;
        self.snapshot = Some(snapshot);
        Ok(())
    }

    pub(crate) fn append(&mut self, entries: &[eraftpb::Entry]) -> raft::Result<()> {
        self.memory.wl().append(entries)
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        self.memory.wl().set_hardstate(hard_state);
    }

    /// Replaces the log entries before the snapshot's index with the snapshot.
    pub(crate) fn compact(&mut self, snapshot: eraftpb::Snapshot) -> raft::Result<()> {
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

    fn snapshot(&self, min_index: u64, _to: u64) -> raft::Result<eraftpb::Snapshot> {
        let snapshot = self.snapshot.as_ref().filter(|snapshot| snapshot.get_metadata().index >= min_index);
        snapshot.cloned().ok_or(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable))
    }
}
