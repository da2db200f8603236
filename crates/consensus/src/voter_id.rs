//! The numeric ID by which voters refer to each other.
use serde::{Deserialize, Serialize};

/// A voter's ID: its position in [`crate::Settings::voters`], from 1. A received ID may not belong to any
/// voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct VoterId(u64);

impl VoterId {
    pub(crate) fn new(number: u64) -> VoterId {
        VoterId(number)
    }

    /// Converts an ID of the crate `raft`, in which 0 means no voter; `None` for 0.
    pub(crate) fn from_raft(number: u64) -> Option<VoterId> {
        (number != 0).then_some(VoterId(number))
    }

    /// The ID as a number, for the crate `raft` and for storage.
    pub(crate) fn get(self) -> u64 {
        self.0
    }
}
