//! Raft messages in this crate's own wire format, so that received bytes are never parsed as protobuf.
use raft::eraftpb::{self, MessageType};
use serde::{Deserialize, Serialize};

use crate::raft_conversion::{entry_from_raft, entry_to_raft, snapshot_from_raft, snapshot_to_raft};
use crate::storage::{LogEntry, Snapshot};

/// The kinds of Raft messages that voters send to each other. Messages of the other kinds of the crate `raft`
/// stay within a process. The order of the variants determines their numbers on the wire.
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

/// A Raft message between voters, without sender and recipient. The fields are sent in the order of
/// their declaration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RaftMessage {
    pub(crate) kind: RaftMessageKind,
    pub(crate) term: u64,
    pub(crate) log_term: u64,
    pub(crate) index: u64,
    pub(crate) entries: Vec<LogEntry>,
    pub(crate) commit: u64,
    pub(crate) commit_term: u64,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) request_snapshot: u64,
    pub(crate) reject: bool,
    pub(crate) reject_hint: u64,
    pub(crate) context: Vec<u8>,
    pub(crate) priority: i64,
}

impl RaftMessage {
    /// Converts a message of the crate `raft` to the type that is sent on the wire. Returns `None` for a kind
    /// of message that voters do not send each other.
    pub(crate) fn from_raft(message: &eraftpb::Message) -> Option<RaftMessage> {
        let message_type = message.get_msg_type();
        let kind = MESSAGE_KINDS.iter().find(|(_, raft_type)| *raft_type == message_type)?.0;
        let has_snapshot = kind == RaftMessageKind::Snapshot;
        Some(RaftMessage {
            kind,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(entry_from_raft).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: has_snapshot.then(|| snapshot_from_raft(message.get_snapshot())),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        })
    }

    pub(crate) fn into_raft(self, from: u64, to: u64, voter_count: u64) -> eraftpb::Message {
        let kind = MESSAGE_KINDS.iter().find(|(kind, _)| *kind == self.kind);
        let message_type = kind.map_or(MessageType::MsgHeartbeatResponse, |(_, raft_type)| *raft_type);
        let mut message = eraftpb::Message {
            from,
            to,
            term: self.term,
            log_term: self.log_term,
            index: self.index,
            entries: self.entries.iter().map(entry_to_raft).collect::<Vec<_>>().into(),
            commit: self.commit,
            commit_term: self.commit_term,
            request_snapshot: self.request_snapshot,
            reject: self.reject,
            reject_hint: self.reject_hint,
            context: self.context.into(),
            priority: self.priority,
            ..eraftpb::Message::default()
        };
        message.set_msg_type(message_type);
        if let Some(snapshot) = &self.snapshot {
            message.set_snapshot(snapshot_to_raft(snapshot, voter_count));
        }
        message
    }
}
