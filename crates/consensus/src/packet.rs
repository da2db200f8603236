//! What members send each other, as postcard writes it after a byte for the form's version.
use raft::eraftpb::{self, MessageType};
use serde::{Deserialize, Serialize};

use crate::storage::{as_raft, entry_as_raft, entry_from_raft, from_raft};
use crate::{
    ClockDrift, LogEntry, Micros, ProposalId, ProposalOutcome, Snapshot, Version, VersionedDocument,
};

const PACKET_FORMAT_VERSION: u8 = 1;
/// Most bytes of a message: a snapshot of nine documents of 1 MiB fits.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// What is so by the log, whoever says it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VersionUpdate {
    /// From the one in force to the newest.
    pub versions: Vec<Version>,
    /// Those that the other may lack.
    pub documents: Vec<VersionedDocument>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Packet {
    /// Between voters.
    Raft(Raft),
    /// A member asks for its lease, and says what it knows.
    Renew {
        session: u64,
        sent: Micros,
        in_force: Version,
        newest: Version,
        drift: Option<ClockDrift>,
    },
    /// The leader grants it, confirmed by a majority after the question came.
    Grant {
        session: u64,
        sent: Micros,
        term: u64,
        there: Micros,
        facts: VersionUpdate,
    },
    /// What changed; no lease.
    News {
        facts: VersionUpdate,
    },
    /// Who leads, as far as the asked knows; by number.
    Leader {
        session: u64,
        voter: u64,
    },
    Propose {
        id: ProposalId,
        made_from: Version,
        bytes: Vec<u8>,
    },
    Answered {
        id: ProposalId,
        outcome: ProposalOutcome,
    },
    /// A voter without memory asks the others.
    Ask {
        nonce: u64,
        generation: u64,
    },
    /// Another has none either.
    Empty {
        nonce: u64,
        generation: u64,
    },
    /// What was committed after the question.
    Caught {
        nonce: u64,
        leader: u64,
        snapshot: Snapshot,
    },
}

impl Packet {
    pub fn write(&self) -> Vec<u8> {
        // Writing to memory fails for no value of these types.
        postcard::to_extend(self, vec![PACKET_FORMAT_VERSION]).unwrap_or_default()
    }

    pub fn read(bytes: &[u8]) -> Option<Packet> {
        let (&form, body) = bytes.split_first()?;
        let fits = form == PACKET_FORMAT_VERSION && bytes.len() <= MAX_MESSAGE_BYTES;
        fits.then(|| postcard::from_bytes(body).ok()).flatten()
    }
}

/// The kinds that voters send; the library's others never leave a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RaftMessageKind {
    Append,
    AppendResponse,
    RequestVote,
    RequestVoteResponse,
    Snapshot,
    Heartbeat,
    HeartbeatResponse,
    TimeoutNow,
    RequestPreVote,
    RequestPreVoteResponse,
}

const MESSAGE_KINDS: [(RaftMessageKind, MessageType); 10] = [
    (RaftMessageKind::Append, MessageType::MsgAppend),
    (RaftMessageKind::AppendResponse, MessageType::MsgAppendResponse),
    (RaftMessageKind::RequestVote, MessageType::MsgRequestVote),
    (RaftMessageKind::RequestVoteResponse, MessageType::MsgRequestVoteResponse),
    (RaftMessageKind::Snapshot, MessageType::MsgSnapshot),
    (RaftMessageKind::Heartbeat, MessageType::MsgHeartbeat),
    (RaftMessageKind::HeartbeatResponse, MessageType::MsgHeartbeatResponse),
    (RaftMessageKind::TimeoutNow, MessageType::MsgTimeoutNow),
    (RaftMessageKind::RequestPreVote, MessageType::MsgRequestPreVote),
    (RaftMessageKind::RequestPreVoteResponse, MessageType::MsgRequestPreVoteResponse),
];

/// The consensus library's message, in this crate's form: nothing that comes in is read as protobuf.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Raft {
    pub kind: RaftMessageKind,
    pub term: u64,
    pub log_term: u64,
    pub index: u64,
    pub entries: Vec<LogEntry>,
    pub commit: u64,
    pub commit_term: u64,
    pub snapshot: Option<Snapshot>,
    pub request_snapshot: u64,
    pub reject: bool,
    pub reject_hint: u64,
    pub context: Vec<u8>,
    pub priority: i64,
}

impl Raft {
    /// None for a message that voters do not send.
    pub fn from_library(message: &eraftpb::Message) -> Option<Raft> {
        let kind = MESSAGE_KINDS.iter().find(|(_, of)| *of == message.get_msg_type())?.0;
        Some(Raft {
            kind,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(entry_from_raft).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: (kind == RaftMessageKind::Snapshot).then(|| from_raft(message.get_snapshot())),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    pub fn into_library(self, from: u64, to: u64, voters: u64) -> eraftpb::Message {
        let mut message = eraftpb::Message::default();
        let kind = MESSAGE_KINDS.iter().find(|(kind, _)| *kind == self.kind);
        message.set_msg_type(kind.map_or(MessageType::MsgHeartbeatResponse, |(_, of)| *of));
        (message.from, message.to, message.term) = (from, to, self.term);
        (message.log_term, message.index) = (self.log_term, self.index);
        message.entries = self.entries.iter().map(entry_as_raft).collect::<Vec<_>>().into();
        (message.commit, message.commit_term) = (self.commit, self.commit_term);
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(as_raft(snapshot, voters));
        }
        message.request_snapshot = self.request_snapshot;
        (message.reject, message.reject_hint) = (self.reject, self.reject_hint);
        message.context = self.context.into();
        message.priority = self.priority;
        message
    }
}
