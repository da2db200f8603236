//! A voter's Raft instance. It wraps the crate `raft`, with election timeouts that a seed determines and with
//! asynchronous writes to storage.
mod message_check;
mod output;

use std::collections::VecDeque;

use raft::{Config, RawNode, StateRole, eraftpb};
use slog::{Discard, Logger, o};

pub(crate) use output::{OutgoingMessage, PendingWrite, VoterOutput};

use crate::raft_conversion::snapshot_to_raft;
use crate::raft_message::RaftMessage;
use crate::raft_storage::RaftStorage;
use crate::settings::{ELECTION_TICKS, HEARTBEAT_TICKS, Settings};
use crate::storage::{Snapshot, StorageWrite, StoredState, TermVote, WriteToken};
use crate::voter_id::VoterId;

const MAX_ENTRIES_BYTES_PER_MESSAGE: u64 = 1 << 20;
const MAX_INFLIGHT_MESSAGES: usize = 16;
const MAX_UNCOMMITTED_BYTES: u64 = 16 << 20;

/// Raft messages that may be sent only once the writes up to and including the one with `token` are durable.
struct DelayedMessages {
    token: WriteToken,
    ready_number: u64,
    messages: Vec<eraftpb::Message>,
}

/// The Raft state of a voter. Owned by the voter's [`crate::Node`].
pub(crate) struct RaftVoter {
    raft: RawNode<RaftStorage>,
    voter_count: u64,
    rng: fastrand::Rng,
    delayed_messages: VecDeque<DelayedMessages>,
    /// The token of this voter's last storage write. The next write takes the token after this one.
    last_token: WriteToken,
    vote: TermVote,
    applied_index: u64,
    snapshot_index: u64,
    /// The number of ticks that this voter still skips before it starts an election. A random number is drawn
    /// when the next tick would start an election, so that voters rarely start elections at the same time.
    /// `None` at all other times.
    election_delay_ticks: Option<usize>,
}

impl RaftVoter {
    /// Creates a voter from its stored state. The voter identifies each of its writes to storage by a token
    /// ([`WriteToken`]). `last_token` is the last token that this process has used. The voter's first write
    /// takes the token after `last_token`, because tokens must increase within a process.
    pub(crate) fn new(
        voter_id: VoterId,
        settings: &Settings,
        stored: &StoredState,
        seed: u64,
        last_token: WriteToken,
    ) -> raft::Result<RaftVoter> {
        let voter_count = settings.voter_count();
        let snapshot_index = stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let storage = RaftStorage::new(voter_count, stored)?;
        let config = raft_config(voter_id, snapshot_index);
        let raft = RawNode::new(&config, storage, &Logger::root(Discard, o!()))?;
        Ok(RaftVoter {
            raft,
            voter_count,
            rng: fastrand::Rng::with_seed(seed),
            delayed_messages: VecDeque::new(),
            last_token,
            vote: stored.vote,
            applied_index: snapshot_index,
            snapshot_index,
            election_delay_ticks: None,
        })
    }

    /// Passes a tick to Raft, or skips it to randomize the election timeout.
    ///
    /// The random election timeout of the crate `raft` cannot be seeded, so that timeout is fixed at
    /// [`ELECTION_TICKS`]. Instead, this voter skips the last tick before an election 0 to [`ELECTION_TICKS`]
    /// times. The number is drawn from the voter's seeded generator.
    ///
    /// Skipped ticks delay only the elections that this voter starts, not its votes for others. The voter may
    /// vote for others once `election_tick` ticks (see [`raft_config`]) have passed since the last heartbeat.
    /// That number is [`HEARTBEAT_TICKS`] less than [`ELECTION_TICKS`], so it is reached before any tick is
    /// skipped.
    pub(crate) fn tick(&mut self) {
        let raft = &self.raft.raft;
        let is_before_election =
            raft.state != StateRole::Leader && raft.election_elapsed + 1 >= ELECTION_TICKS;
        if is_before_election {
            let rng = &mut self.rng;
            let delay = self.election_delay_ticks.get_or_insert_with(|| rng.usize(0..=ELECTION_TICKS));
            if *delay > 0 {
                *delay -= 1;
                return;
            }
        }
        self.election_delay_ticks = None;
        self.raft.tick();
    }

    /// The current term if this voter leads; `None` if it does not lead.
    pub(crate) fn leader_term(&self) -> Option<u64> {
        (self.raft.raft.state == StateRole::Leader).then_some(self.raft.raft.term)
    }

    /// Whether this voter has applied a log entry of the current term. If so, it has also applied everything
    /// that earlier leaders committed.
    pub(crate) fn has_applied_own_term(&self) -> bool {
        self.raft.raft.apply_to_current_term()
    }

    /// The leader, as far as this voter knows.
    pub(crate) fn leader_id(&self) -> Option<VoterId> {
        VoterId::from_raft(self.raft.raft.leader_id)
    }

    /// The number of log entries that this voter has applied since its last snapshot.
    pub(crate) fn entries_since_snapshot(&self) -> u64 {
        self.applied_index - self.snapshot_index
    }

    pub(crate) fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Handles a Raft message from another voter. Ignores messages that no correct voter can have sent.
    pub(crate) fn step(&mut self, from: VoterId, message: RaftMessage) {
        if !self.is_acceptable(&message) {
            return;
        }
        let message = message.into_raft(from.get(), self.raft.raft.id, self.voter_count);
        // An error means that the message does not fit the voter's current state. This is normal on a network
        // that delays and duplicates messages.
        let _ = self.raft.step(message);
    }

    /// Appends a command to the replicated log, if this voter leads.
    pub(crate) fn propose(&mut self, data: Vec<u8>) {
        if self.leader_term().is_some() {
            // An error means that the command was dropped: the limit on uncommitted bytes is reached, or a
            // leadership transfer is in progress. The member that issued the command tries again later.
            let _ = self.raft.propose(Vec::new(), data);
        }
    }

    /// Asks a quorum to confirm that this voter still leads (ReadIndex in Raft).
    pub(crate) fn request_quorum_read(&mut self, read_id: u64) {
        if self.leader_term().is_some() {
            self.raft.read_index(read_id.to_le_bytes().to_vec());
        }
    }

    /// Asks Raft to transfer the leadership from this voter to another one.
    pub(crate) fn transfer_leadership(&mut self, to: VoterId) {
        self.raft.transfer_leader(to.get());
    }

    /// Handles the confirmation that all writes up to and including the one with this token are durable. Adds
    /// the messages that were delayed until then to `output`.
    pub(crate) fn on_persisted(&mut self, token: WriteToken, output: &mut VoterOutput) {
        while self.delayed_messages.front().is_some_and(|front| front.token <= token) {
            if let Some(DelayedMessages { ready_number, messages, .. }) = self.delayed_messages.pop_front() {
                self.raft.on_persist_ready(ready_number);
                output.add_messages(messages);
            }
        }
    }

    /// Replaces the log up to the applied index with a snapshot that contains `state`. Returns the write that
    /// stores the snapshot, or `None` while the entries up to that index are not durable.
    pub(crate) fn compact(&mut self, state: Vec<u8>) -> Option<PendingWrite> {
        let index = self.applied_index;
        let term = self.raft.raft.raft_log.term(index).ok()?;
        if self.raft.raft.raft_log.persisted < index {
            return None;
        }
        let snapshot = Snapshot { index, term, state, replaces_log: false };
        self.raft.mut_store().compact(snapshot_to_raft(&snapshot, self.voter_count)).ok()?;
        self.snapshot_index = index;
        Some(self.next_write(StorageWrite { snapshot: Some(snapshot), ..StorageWrite::default() }))
    }

    fn next_write(&mut self, write: StorageWrite) -> PendingWrite {
        self.last_token = self.last_token.next();
        PendingWrite { token: self.last_token, write }
    }
}

fn raft_config(voter_id: VoterId, applied_index: u64) -> Config {
    Config {
        id: voter_id.get(),
        // The number of ticks after a heartbeat for which a voter refuses to vote for another voter. It is
        // less than the earliest election timeout.
        election_tick: ELECTION_TICKS - HEARTBEAT_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied: applied_index,
        max_size_per_msg: MAX_ENTRIES_BYTES_PER_MESSAGE,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        // This range contains one value, because `RaftVoter::tick` randomizes the election timeout instead.
        min_election_tick: ELECTION_TICKS,
        max_election_tick: ELECTION_TICKS + 1,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        ..Config::default()
    }
}
