//! The replicated state machine. Every voter applies the commands of the log to its own copy of the state.
use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::versioned_document::{Version, VersionedDocument};
use crate::voter_id::VoterId;

/// The number of proposals whose outcome the state remembers. A duplicate of a proposal whose outcome is
/// forgotten is reported as rejected. The proposal cannot be accepted a second time, because its base is no
/// longer the newest version.
const MAX_REMEMBERED_OUTCOMES: usize = 256;

/// The ID of a proposal. A duplicate of the proposal is recognized by its ID, so that the proposal is applied
/// only once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The name of the member that made the proposal.
    pub member: String,
    /// A random number that identifies one start of the proposing member's process.
    pub session: u64,
    /// The number of the proposal. After each start, the proposing member's process counts its proposals from
    /// 1.
    pub number: u64,
}

/// The outcome of a proposal, which the leader reports to the member that made the proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProposalOutcome {
    /// The proposal was committed as this version of the fleet's rules.
    Accepted(Version),
    /// The proposal to replace the fleet's rules was rejected, for one of four reasons. It was not derived
    /// from the newest version of these rules, too many versions are pending, there is no version yet, or the
    /// proposed rules are too large.
    ///
    /// The value is the version in force at the time of the rejection, or the default [`Version`] if there
    /// was none.
    Rejected(Version),
}

/// The command that a log entry contains. The order of the variants determines their numbers in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Command {
    /// Starts a new epoch ([`Version::epoch`]) by adding its first version of the fleet's rules. That version
    /// has the rules of the newest version, or the rules in `bytes` if there is no version yet.
    ///
    /// The leader issues this command in two cases. Either there is no version yet, or a member knows a
    /// version of a later epoch than the leader does. The second case can arise after all voters have lost
    /// their storage. The new epoch is then later than the member's, so that the member takes the new version
    /// as the newer one.
    StartEpoch { epoch: u64, bytes: Vec<u8> },
    /// Proposes a new version of the replicated rules, which allow or forbid requests. The proposed rules are
    /// serialized in `bytes`, and were derived from the version `base_version`.
    Propose { id: ProposalId, base_version: Version, bytes: Vec<u8> },
    /// Puts a version of the fleet's rules in force. The leader issues this command once every member knows
    /// the version, or can no longer hold a lease that was granted while an older version was the newest.
    Activate(Version),
    /// Records that a voter has started without stored state. Such a voter may have lost log entries that it
    /// had accepted, and the record of its last vote. A state that includes this command contains all entries
    /// that were committed before the start. The leader sends the voter such a state with the leader's term.
    /// The voter stores the state together with a vote for that leader in that term. From then on, the voter
    /// may vote.
    VoterRejoined { voter_id: VoterId, nonce: u64 },
}

/// The limits on proposals, taken from [`crate::Settings`]. They must be equal on every voter; otherwise the
/// states of the voters would differ.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StateLimits {
    pub(crate) max_pending_versions: usize,
    pub(crate) max_document_bytes: usize,
}

/// The replicated state: the fleet's rules in force, the pending versions of these rules, and the outcomes of
/// recent proposals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The documents with the fleet's rules: first the document of the version in force, then those of the
    /// pending versions in order. A pending version is committed, but not in force yet. Empty until the first
    /// version is committed.
    documents: VecDeque<VersionedDocument>,
    outcomes: VecDeque<(ProposalId, ProposalOutcome)>,
}

impl ReplicatedState {
    /// The version of the fleet's rules that is in force. While there is no version yet, returns the default
    /// [`Version`], in which all numbers are 0.
    pub fn in_force(&self) -> Version {
        self.documents.front().map_or(Version::default(), |document| document.version)
    }

    /// The newest committed version of the fleet's rules. While there is no version yet, returns the default
    /// [`Version`], in which all numbers are 0.
    pub fn newest(&self) -> Version {
        self.documents.back().map_or(Version::default(), |document| document.version)
    }

    /// The documents with the fleet's rules: first the document of the version in force, then those of the
    /// versions that are committed but not in force yet, in order.
    pub(crate) fn documents(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.documents.iter()
    }

    pub(crate) fn outcome(&self, id: &ProposalId) -> Option<ProposalOutcome> {
        self.outcomes.iter().find(|(proposal, _)| proposal == id).map(|(_, outcome)| *outcome)
    }

    /// Applies a command of the log. The same commands in the same order give the same state on every voter.
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
