//! What the log's commands add up to: the same on every voter.
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{Version, VersionedDocument};

/// Proposals whose outcome is remembered. One that is forgotten was made from a version that is no longer the
/// newest, so that it cannot act again; only its answer is then "refused".
const MAX_REMEMBERED_OUTCOMES: usize = 256;

/// Which proposal: one that comes twice acts once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// Who made it.
    pub member: String,
    /// In which start of its process.
    pub session: u64,
    /// The how many-th there.
    pub number: u64,
}

/// What became of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It is this version.
    Accepted(Version),
    /// It was made from another version than the newest, or too many wait; this one is in force.
    Rejected(Version),
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Begins an epoch: with these rules if none were agreed, else with the newest.
    Found { epoch: u64, bytes: Vec<u8> },
    /// Rules, made from a version.
    Propose { id: ProposalId, made_from: Version, bytes: Vec<u8> },
    /// Every member knows this version or has lost its lease.
    InForce(Version),
    /// A voter without memory came back: what is committed from here on was so after its return.
    Returned { voter: u64, nonce: u64 },
}

/// The versions that may be in force, and the proposals that were answered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The first is in force, the others wait in order. Empty before the founding.
    pub(crate) chain: VecDeque<VersionedDocument>,
    pub(crate) answered: VecDeque<(ProposalId, ProposalOutcome)>,
}

impl ReplicatedState {
    /// The version in force.
    pub fn in_force(&self) -> Version {
        self.chain.front().map_or(Version::default(), |document| document.version)
    }

    /// The newest that was ordered.
    pub fn newest(&self) -> Version {
        self.chain.back().map_or(Version::default(), |document| document.version)
    }

    pub(crate) fn outcome(&self, id: &ProposalId) -> Option<ProposalOutcome> {
        self.answered.iter().find(|(of, _)| of == id).map(|(_, outcome)| *outcome)
    }

    /// Does what a command says. The same commands in the same order give the same state everywhere.
    pub(crate) fn apply(&mut self, command: Command, most_waiting: usize, most_rules: usize) {
        match command {
            Command::Found { epoch, bytes } => {
                let epoch_later = epoch > self.newest().epoch;
                let bytes = self.chain.back().map_or(bytes, |newest| newest.bytes.clone());
                if epoch_later && self.chain.len() <= most_waiting {
                    self.chain.push_back(VersionedDocument::new(Version { epoch, number: 1 }, bytes));
                }
            }
            Command::Propose { id, made_from, bytes } => {
                if self.outcome(&id).is_some() {
                    return;
                }
                let room = !self.chain.is_empty() && self.chain.len() <= most_waiting;
                let outcome = if made_from == self.newest() && room && bytes.len() <= most_rules {
                    let version = made_from.next();
                    self.chain.push_back(VersionedDocument::new(version, bytes));
                    ProposalOutcome::Accepted(version)
                } else {
                    ProposalOutcome::Rejected(self.in_force())
                };
                if self.answered.len() == MAX_REMEMBERED_OUTCOMES {
                    self.answered.pop_front();
                }
                self.answered.push_back((id, outcome));
            }
            Command::InForce(version) => {
                if self.chain.iter().any(|document| document.version == version) {
                    self.chain.retain(|document| document.version >= version);
                }
            }
            Command::Returned { .. } => {}
        }
    }
}
