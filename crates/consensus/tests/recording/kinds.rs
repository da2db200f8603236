//! The names of the kinds of packets and writes in the approved snapshots.
use copperspread_consensus::{
    ClockDrift, LogEntry, Micros, ProposalId, ProposalOutcome, StorageWrite, Version,
};

/// The packet kinds in the order of their numbers on the wire. The snapshots use short labels: "renew" is a
/// lease request, "grant" a lease grant, "news" a version update, "leader" a leader hint, "propose" a
/// proposal, "answered" a proposal result, "ask" a rejoin request, "empty" a rejoin response without state,
/// "caught" a rejoin snapshot.
pub(crate) const PACKETS: [&str; 10] =
    ["raft", "renew", "grant", "news", "leader", "propose", "answered", "ask", "empty", "caught"];
/// The kinds of Raft messages in the order of their numbers on the wire.
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
/// The labels of the commands in log entries, in the order of their numbers: start of an epoch, proposal,
/// activation, rejoined voter.
pub(crate) const COMMANDS: [&str; 4] = ["found", "propose", "in force", "returned"];

/// The fields of a lease request: `session`, `sent_at`, `in_force`, `newest` and `drift`.
type LeaseRequestFields = (u64, Micros, Version, Version, Option<ClockDrift>);

/// The label of a packet's kind. A packet consists of the format version, the number of its kind, and its
/// fields.
pub(super) fn packet_kind(packet: &[u8]) -> String {
    let (kind, fields) = (PACKETS[usize::from(packet[1])], &packet[2..]);
    match kind {
        "raft" => format!("raft {}", RAFT_MESSAGES[usize::from(fields[0])]),
        "renew" => {
            let (.., drift): LeaseRequestFields =
                postcard::from_bytes(fields).expect("the fields of a lease request");
            if drift.is_some() { "renew with drift".to_owned() } else { kind.to_owned() }
        }
        "answered" => {
            let (_, outcome): (ProposalId, ProposalOutcome) =
                postcard::from_bytes(fields).expect("the fields of a proposal result");
            let outcome = match outcome {
                ProposalOutcome::Accepted(_) => "ordered",
                ProposalOutcome::Rejected(_) => "refused",
            };
            format!("{kind}: {outcome}")
        }
        _ => kind.to_owned(),
    }
}

/// The label of a log entry: its command, or "empty" for the entry with which a leader begins its term.
fn entry_kind(entry: &LogEntry) -> String {
    let command = entry.data.first().map_or("empty", |&number| COMMANDS[usize::from(number)]);
    format!("entry: {command}")
}

/// The label of a write, made of the labels of its parts.
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
