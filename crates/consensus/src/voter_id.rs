//! The numeric ID by which voters refer to each other.
use serde::{Deserialize, Serialize};

/// The ID of a voter: its position in [`crate::Settings::voters`], counted from 1. An ID that was received in
/// a message may not belong to any voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct VoterId(u64);

impl VoterId {
    pub(crate) fn new(number: u64) -> VoterId {
        VoterId(number)
    }

    /// Converts a voter ID of the crate `raft`. Returns `None` for 0, which means no voter in that crate.
    pub(crate) fn from_raft(number: u64) -> Option<VoterId> {
        (number != 0).then_some(VoterId(number))
    }

    /// The voter ID as a number, as the crate `raft` and the storage use it.
    pub(crate) fn get(self) -> u64 {
        self.0
    }
}
