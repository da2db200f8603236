//! Conversions between this crate's stored types and the types of the crate `raft`.
use raft::eraftpb;

use crate::storage::{LogEntry, Snapshot};

pub(crate) fn entry_to_raft(entry: &LogEntry) -> eraftpb::Entry {
    eraftpb::Entry {
        term: entry.term,
        index: entry.index,
        data: entry.data.clone().into(),
        ..eraftpb::Entry::default()
    }
}

pub(crate) fn entry_from_raft(entry: &eraftpb::Entry) -> LogEntry {
    LogEntry { term: entry.term, index: entry.index, data: entry.data.to_vec() }
}

/// Converts a stored snapshot to the snapshot type of the crate `raft`. The converted snapshot names the
/// voters 1 to `voter_count` as the Raft configuration.
pub(crate) fn snapshot_to_raft(snapshot: &Snapshot, voter_count: u64) -> eraftpb::Snapshot {
    let data = snapshot.state.clone().into();
    let mut converted = eraftpb::Snapshot { data, ..eraftpb::Snapshot::default() };
    let metadata = converted.mut_metadata();
    metadata.index = snapshot.index;
    metadata.term = snapshot.term;
    metadata.set_conf_state(conf_state(voter_count));
    converted
}

/// Converts a snapshot of the crate `raft` to the stored type. Voters send such snapshots to each other, and
/// a received snapshot replaces the whole log of the voter.
pub(crate) fn snapshot_from_raft(snapshot: &eraftpb::Snapshot) -> Snapshot {
    let metadata = snapshot.get_metadata();
    Snapshot { index: metadata.index, term: metadata.term, state: snapshot.data.to_vec(), replaces_log: true }
}

/// The Raft configuration of the voters 1 to `voter_count`, without learners.
pub(crate) fn conf_state(voter_count: u64) -> eraftpb::ConfState {
    ((1..=voter_count).collect::<Vec<u64>>(), Vec::new()).into()
}
