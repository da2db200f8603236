//! The number by which voters refer to each other.
use serde::{Deserialize, Serialize};

/// A voter's number: its position in [`crate::Settings::voters`], from 1. One that was received may name no voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct VoterId(u64);

impl VoterId {
    pub(crate) fn new(number: u64) -> VoterId {
        VoterId(number)
    }

    /// `None` for 0, by which the crate `raft` means no voter.
    pub(crate) fn from_raft(number: u64) -> Option<VoterId> {
        (number != 0).then_some(VoterId(number))
    }

    /// The number, for the crate `raft` and for storage.
    pub(crate) fn get(self) -> u64 {
        self.0
    }
}
