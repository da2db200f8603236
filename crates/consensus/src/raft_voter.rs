//! One voter's part in the consensus: the library, its chance and what it wants stored.
use std::collections::VecDeque;

use raft::eraftpb::HardState;
use raft::{Config, RawNode, StateRole, eraftpb};
use slog::{Discard, Logger, o};

use crate::packet::{Raft, RaftMessageKind};
use crate::settings::{ELECTION_TICKS, HEARTBEAT_TICKS, Settings};
use crate::storage::{RaftStorage, as_raft, entry_from_raft, from_raft};
use crate::{LogEntry, Snapshot, StorageWrite, StoredState, TermVote};

/// What a voter gives out, in order of kinds.
#[derive(Default)]
pub(crate) struct VoterOutput {
    /// To which voter, what.
    pub send: Vec<(u64, Raft)>,
    pub persist: Vec<(u64, StorageWrite)>,
    /// A state to begin from, before the entries.
    pub installed: Option<Snapshot>,
    pub committed: Vec<LogEntry>,
    /// Questions that a majority has confirmed, and up to where the log must be applied for them.
    pub confirmed: Vec<(u64, u64)>,
}

impl VoterOutput {
    fn is_empty(&self) -> bool {
        let nothing = self.send.is_empty() && self.persist.is_empty() && self.committed.is_empty();
        nothing && self.installed.is_none() && self.confirmed.is_empty()
    }
}

/// Messages that may go only when what was to be stored by then is.
struct DelayedMessages {
    token: u64,
    ready: u64,
    messages: Vec<eraftpb::Message>,
}

pub(crate) struct RaftVoter {
    raw: RawNode<RaftStorage>,
    voters: u64,
    chance: fastrand::Rng,
    waiting: VecDeque<DelayedMessages>,
    /// Of the last thing that was to be stored.
    token: u64,
    vote: TermVote,
    applied: u64,
    first: u64,
    /// Ticks for which the next one that would begin an election is held back.
    hold: Option<usize>,
}

impl RaftVoter {
    /// The voter of this number, from 1, with what it stored; `token` is the last that was used.
    pub fn new(
        id: u64,
        settings: &Settings,
        saved: &StoredState,
        seed: u64,
        token: u64,
    ) -> raft::Result<RaftVoter> {
        let voters = settings.voters.len() as u64;
        let applied = saved.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let config = Config {
            id,
            election_tick: ELECTION_TICKS - HEARTBEAT_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 16,
            check_quorum: true,
            pre_vote: true,
            // One value only: see `tick`.
            min_election_tick: ELECTION_TICKS,
            max_election_tick: ELECTION_TICKS + 1,
            max_uncommitted_size: 16 << 20,
            ..Config::default()
        };
        let raw = RawNode::new(&config, RaftStorage::new(voters, saved)?, &Logger::root(Discard, o!()))?;
        Ok(RaftVoter {
            raw,
            voters,
            chance: fastrand::Rng::with_seed(seed),
            waiting: VecDeque::new(),
            token,
            vote: saved.vote,
            applied,
            first: applied,
            hold: None,
        })
    }

    /// The library's own chance says nothing: its only value is [`ELECTION_TICKS`]. The seed's chance holds the
    /// last tick before it back for a while; by then it votes for others already.
    pub fn tick(&mut self) {
        let raft = &self.raw.raft;
        if raft.state == StateRole::Leader || raft.election_elapsed + 1 < ELECTION_TICKS {
            self.hold = None;
        } else {
            let hold = self.hold.get_or_insert_with(|| self.chance.usize(0..=ELECTION_TICKS));
            if *hold > 0 {
                *hold -= 1;
                return;
            }
            self.hold = None;
        }
        self.raw.tick();
    }

    /// The term, if this voter leads.
    pub fn leads(&self) -> Option<u64> {
        (self.raw.raft.state == StateRole::Leader).then_some(self.raw.raft.term)
    }

    /// Whether all that earlier leaders committed is applied here: an entry of the own term is.
    pub fn caught_up(&self) -> bool {
        self.raw.raft.apply_to_current_term()
    }

    /// Whom it takes for the leader, by number; 0 for none.
    pub fn leader(&self) -> u64 {
        self.raw.raft.leader_id
    }

    /// How many entries were applied since the last snapshot.
    pub fn unfolded(&self) -> u64 {
        self.applied - self.first
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Takes another voter's message, unless it is one that a sound voter does not send.
    pub fn step(&mut self, from: u64, message: Raft) {
        if !self.sound(&message) {
            return;
        }
        let message = message.into_library(from, self.raw.raft.id, self.voters);
        // Its errors are messages that are out of place.
        let _ = self.raw.step(message);
    }

    /// Guards against messages on which the library panics: they would undo what is committed, or commit what
    /// this voter does not have.
    fn sound(&self, message: &Raft) -> bool {
        let log = &self.raw.raft.raft_log;
        let (last, committed) = (log.last_index(), log.committed);
        let mut next = message.index;
        let follow = message.entries.iter().all(|entry| {
            next = next.saturating_add(1);
            // The library says term 0 of entries that are folded away.
            let kept = log.term(entry.index).unwrap_or(0);
            let agrees = entry.index > committed || kept == 0 || kept == entry.term;
            entry.index == next && entry.term > 0 && entry.term <= message.term && agrees
        });
        if message.term == 0 || !follow {
            return false;
        }
        match message.kind {
            RaftMessageKind::Heartbeat => message.commit <= last || message.term < self.raw.raft.term,
            RaftMessageKind::AppendResponse | RaftMessageKind::HeartbeatResponse => {
                message.reject || message.index <= last || self.leads().is_none()
            }
            RaftMessageKind::Snapshot => {
                message.snapshot.as_ref().is_some_and(|of| of.index > 0 && of.term > 0)
            }
            _ => true,
        }
    }

    /// Puts a command into the log, if this voter leads.
    pub fn propose(&mut self, data: Vec<u8>) {
        if self.leads().is_some() {
            // Too much that is not committed is refused, and is said again by whoever wants it.
            let _ = self.raw.propose(Vec::new(), data);
        }
    }

    /// Asks a majority whether this voter still leads.
    pub fn confirm(&mut self, question: u64) {
        if self.leads().is_some() {
            self.raw.read_index(question.to_le_bytes().to_vec());
        }
    }

    /// Hands the lead to another voter.
    pub fn hand_over(&mut self, to: u64) {
        self.raw.transfer_leader(to);
    }

    /// All that was to be stored up to this token is.
    pub fn persisted(&mut self, token: u64, out: &mut VoterOutput) {
        while self.waiting.front().is_some_and(|front| front.token <= token) {
            if let Some(DelayedMessages { ready, messages, .. }) = self.waiting.pop_front() {
                self.raw.on_persist_ready(ready);
                self.send(messages, out);
            }
        }
    }

    /// Folds the log up to what is applied into a snapshot with this state.
    pub fn fold(&mut self, state: Vec<u8>) -> Option<(u64, StorageWrite)> {
        let index = self.applied;
        let term = self.raw.raft.raft_log.term(index).ok()?;
        let snapshot = Snapshot { index, term, state, replaces_log: false };
        // Guards against a fold of entries that are not stored yet.
        if self.raw.raft.raft_log.persisted < index {
            return None;
        }
        self.raw.mut_store().fold(as_raft(&snapshot, self.voters)).ok()?;
        self.first = index;
        self.token += 1;
        Some((self.token, StorageWrite { snapshot: Some(snapshot), ..StorageWrite::default() }))
    }

    fn send(&self, messages: Vec<eraftpb::Message>, out: &mut VoterOutput) {
        for message in messages {
            if let Some(wire) = Raft::from_library(&message) {
                out.send.push((message.to, wire));
            }
        }
    }

    /// Gathers what the library wants; whether there was anything.
    pub fn drain(&mut self, out: &mut VoterOutput) -> bool {
        while self.raw.has_ready() {
            let mut ready = self.raw.ready();
            self.send(ready.take_messages(), out);
            let mut change = StorageWrite::default();
            if ready.snapshot().get_metadata().index > 0 {
                let snapshot = ready.snapshot().clone();
                let taken = from_raft(&snapshot);
                (self.applied, self.first) = (taken.index, taken.index);
                let _ = self.raw.mut_store().install(snapshot);
                change.snapshot = Some(taken.clone());
                out.installed = Some(taken);
                out.committed.clear();
            }
            for entry in ready.take_committed_entries() {
                self.applied = entry.index;
                out.committed.push(entry_from_raft(&entry));
            }
            let entries = ready.take_entries();
            let _ = self.raw.mut_store().append(&entries);
            change.entries = entries.iter().map(entry_from_raft).collect();
            if let Some(hard) = ready.hs().cloned() {
                let HardState { term, vote, .. } = hard;
                let now = TermVote { term, voted_for: vote };
                // That more is committed need not be stored: it is found out again.
                change.vote = (now != self.vote).then_some(now);
                self.vote = now;
                self.raw.mut_store().set_vote(hard);
            }
            for read in ready.take_read_states() {
                if let Ok(question) = read.request_ctx.as_slice().try_into() {
                    out.confirmed.push((u64::from_le_bytes(question), read.index));
                }
            }
            let messages = ready.take_persisted_messages();
            let number = ready.number();
            self.raw.advance_append_async(ready);
            if change != StorageWrite::default() {
                self.token += 1;
                out.persist.push((self.token, change));
            } else if self.waiting.is_empty() {
                self.raw.on_persist_ready(number);
                self.send(messages, out);
                continue;
            }
            self.waiting.push_back(DelayedMessages { token: self.token, ready: number, messages });
        }
        // A snapshot is applied for the library only when it is stored.
        if self.applied <= self.raw.raft.raft_log.persisted {
            self.raw.advance_apply_to(self.applied);
        }
        !out.is_empty()
    }
}
