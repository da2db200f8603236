//! The state machine that the log's commands drive: the same on every voter.
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::versioned_document::{Version, VersionedDocument};
use crate::voter_id::VoterId;

/// Proposals whose outcome is remembered. One that is forgotten has a base that is no longer the newest version, so
/// that it cannot be accepted a second time; only its result is then "rejected".
const MAX_REMEMBERED_OUTCOMES: usize = 256;

/// Identifies a proposal, so that one that arrives twice acts once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The member that made it.
    pub member: String,
    /// A random number of that start of its process.
    pub session: u64,
    /// Counts from 1 in each session.
    pub number: u64,
}

/// The result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// It was committed as this version.
    Accepted(Version),
    /// Its base is not the newest version, or too many versions are pending; this version is in force.
    Rejected(Version),
}

/// The content of a log entry. The order of the variants is that of their numbers in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Begins an epoch: with these rules if there are none yet, else with the newest.
    StartEpoch { epoch: u64, bytes: Vec<u8> },
    /// Rules, derived from a version.
    Propose { id: ProposalId, base_version: Version, bytes: Vec<u8> },
    /// Every member knows this version or has lost its lease.
    Activate(Version),
    /// A voter without storage has started: what is committed from here on is later than its start.
    VoterRejoined { voter_id: VoterId, nonce: u64 },
}

/// Limits that a proposal must keep to. The same on every voter, from [`crate::Settings`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateLimits {
    pub(crate) max_pending_versions: usize,
    pub(crate) max_document_bytes: usize,
}

/// The versions that may be in force, and the outcomes of proposals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The first is in force, the others are pending in order. Empty before the first epoch.
    documents: VecDeque<VersionedDocument>,
    outcomes: VecDeque<(ProposalId, ProposalOutcome)>,
}

impl ReplicatedState {
    /// The version in force.
    pub fn in_force(&self) -> Version {
        self.documents.front().map_or(Version::default(), |document| document.version)
    }

    /// The newest committed version.
    pub fn newest(&self) -> Version {
        self.documents.back().map_or(Version::default(), |document| document.version)
    }

    /// The document in force, then the pending ones in order.
    pub(crate) fn documents(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.documents.iter()
    }

    pub(crate) fn outcome(&self, id: &ProposalId) -> Option<ProposalOutcome> {
        self.outcomes.iter().find(|(proposal, _)| proposal == id).map(|(_, outcome)| *outcome)
    }

    /// Applies a command. The same commands in the same order give the same state everywhere.
    pub(crate) fn apply(&mut self, command: Command, limits: StateLimits) {
        match command {
            Command::StartEpoch { epoch, bytes } => self.start_epoch(epoch, bytes, limits),
            Command::Propose { id, base_version, bytes } => {
                if self.outcome(&id).is_none() {
                    let outcome = self.propose(base_version, bytes, limits);
                    self.remember_outcome(id, outcome);
                }
            }
            Command::Activate(version) => self.activate(version),
            Command::VoterRejoined { .. } => {}
        }
    }

    fn start_epoch(&mut self, epoch: u64, initial_bytes: Vec<u8>, limits: StateLimits) {
        let is_later = epoch > self.newest().epoch;
        let bytes = self.documents.back().map_or(initial_bytes, |newest| newest.bytes.clone());
        if is_later && self.documents.len() <= limits.max_pending_versions {
            self.documents.push_back(VersionedDocument::new(Version { epoch, number: 1 }, bytes));
        }
    }

    fn propose(&mut self, base_version: Version, bytes: Vec<u8>, limits: StateLimits) -> ProposalOutcome {
        let has_capacity = !self.documents.is_empty() && self.documents.len() <= limits.max_pending_versions;
        let is_newest = base_version == self.newest();
        if !is_newest || !has_capacity || bytes.len() > limits.max_document_bytes {
            return ProposalOutcome::Rejected(self.in_force());
        }
        let version = base_version.next();
        self.documents.push_back(VersionedDocument::new(version, bytes));
        ProposalOutcome::Accepted(version)
    }

    fn remember_outcome(&mut self, id: ProposalId, outcome: ProposalOutcome) {
        if self.outcomes.len() == MAX_REMEMBERED_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((id, outcome));
    }

    fn activate(&mut self, version: Version) {
        if self.documents.iter().any(|document| document.version == version) {
            self.documents.retain(|document| document.version >= version);
        }
    }
}
