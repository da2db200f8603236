//! The kinds of messages and writes, as the approved transcripts name them.
use copperspread_consensus::{
    ClockDrift, LogEntry, Micros, ProposalId, ProposalOutcome, StorageWrite, Version,
};

/// The packets in the order of their numbers on the wire. The transcripts keep their first names: "renew" is a lease
/// request, "grant" a lease grant, "news" a version update, "leader" a leader hint, "answered" a proposal's result;
/// "ask", "empty" and "caught" are the rejoin request and its answers.
pub(crate) const PACKETS: [&str; 10] =
    ["raft", "renew", "grant", "news", "leader", "propose", "answered", "ask", "empty", "caught"];
/// Raft's messages in the order of their numbers on the wire.
pub(crate) const RAFT_MESSAGES: [&str; 10] = [
    "append",
    "append response",
    "request vote",
    "request vote response",
    "snapshot",
    "heartbeat",
    "heartbeat response",
    "timeout now",
    "request pre-vote",
    "request pre-vote response",
];
/// The commands in the log's entries in the order of their numbers: start of an epoch, proposal, activation, rejoined
/// voter.
pub(crate) const COMMANDS: [&str; 4] = ["found", "propose", "in force", "returned"];

/// The fields of a lease request: session, sent at, in force, newest, drift.
type LeaseRequestFields = (u64, Micros, Version, Version, Option<ClockDrift>);

/// The kind of a packet: after the format's version comes the kind's number, then its fields.
pub(super) fn packet_kind(packet: &[u8]) -> String {
    let (kind, fields) = (PACKETS[usize::from(packet[1])], &packet[2..]);
    match kind {
        "raft" => format!("raft {}", RAFT_MESSAGES[usize::from(fields[0])]),
        "renew" => {
            let (.., drift): LeaseRequestFields = postcard::from_bytes(fields).expect("its fields");
            if drift.is_some() { "renew with drift".to_owned() } else { kind.to_owned() }
        }
        "answered" => {
            let (_, outcome): (ProposalId, ProposalOutcome) =
                postcard::from_bytes(fields).expect("its fields");
            let outcome = match outcome {
                ProposalOutcome::Accepted(_) => "ordered",
                ProposalOutcome::Rejected(_) => "refused",
            };
            format!("{kind}: {outcome}")
        }
        _ => kind.to_owned(),
    }
}

/// What a log entry holds: a command, or nothing where a leader's term begins.
fn entry_kind(entry: &LogEntry) -> String {
    let command = entry.data.first().map_or("empty", |&number| COMMANDS[usize::from(number)]);
    format!("entry: {command}")
}

/// The parts of a write.
pub(super) fn write_kind(write: &StorageWrite) -> String {
    let snapshot = write
        .snapshot
        .as_ref()
        .map(|snapshot| if snapshot.replaces_log { "whole snapshot" } else { "snapshot" });
    let vote = write.vote.map(|_| "vote");
    let entries = write.entries.iter().map(entry_kind);
    let parts = snapshot.into_iter().chain(vote).map(str::to_owned).chain(entries);
    parts.collect::<Vec<_>>().join(", ")
}
