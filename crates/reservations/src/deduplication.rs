//! Deduplication of commands. For each member of the fleet, the calendar remembers which of the latest
//! commands were applied, so that no command is applied twice.
use std::collections::BTreeMap;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command_id::CommandId;
use crate::time::{DAY, SpanMillis, UnixMillis};

/// The maximum number of members for which the calendar remembers the applied commands.
pub(crate) const MAX_MEMBERS: usize = 1_024;
/// The number of sequence numbers, up to a member's highest, for which the calendar remembers whether the
/// command was applied. A command with a lower number is rejected, because it could be a duplicate.
const WINDOW_LENGTH: u64 = 128;
/// How long a member must have sent no command before its deduplication window may be removed to make space
/// for another member.
const MEMBER_RETENTION: SpanMillis = DAY.times(7);

/// The result of checking a command's id against the commands applied so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DuplicateCheck {
    /// The command was not applied before. It now counts as applied.
    New,
    /// The command was applied before, and must not be applied again.
    Duplicate,
    /// It is unknown whether the command was applied before. Its sequence number is below the member's
    /// deduplication window, or it is from an earlier run of the member's process.
    TooOld,
    /// The command is the first one of its member, and there is no space to remember the member's commands.
    /// [`MAX_MEMBERS`] other members have a deduplication window, and none of these windows may be removed.
    MemberLimitReached,
}

/// The deduplication window of one member: which of the commands with the latest sequence numbers were
/// applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Heard", expecting = "struct Heard")]
struct MemberWindow {
    #[serde(rename = "generation")]
    incarnation: u64,
    #[serde(rename = "highest")]
    highest_sequence: u64,
    /// Which commands were applied. Bit `n` is set if the command with the sequence number
    /// `highest_sequence - n` was applied.
    #[serde(rename = "window")]
    applied_bits: u128,
    #[serde(rename = "last")]
    last_received_at: UnixMillis,
}

impl MemberWindow {
    /// Creates the deduplication window for a new incarnation of a member, which is one run of its process.
    /// Each incarnation numbers its commands from 1, so that the window of the previous one is not continued.
    /// `id` is the id of the first command that the calendar gets from the new incarnation.
    fn starting_with(id: &CommandId, now: UnixMillis) -> MemberWindow {
        MemberWindow {
            incarnation: id.incarnation,
            highest_sequence: id.sequence,
            applied_bits: 1,
            last_received_at: now,
        }
    }

    /// Checks whether the command with a sequence number was applied, and records a new command as applied.
    /// The command must be from the same incarnation of the member as this window. An incarnation of a member
    /// is one run of its process.
    fn record(&mut self, sequence: u64) -> DuplicateCheck {
        if sequence > self.highest_sequence {
            let shift = sequence - self.highest_sequence;
            self.applied_bits = if shift < WINDOW_LENGTH { self.applied_bits << shift | 1 } else { 1 };
            self.highest_sequence = sequence;
            return DuplicateCheck::New;
        }
        let distance = self.highest_sequence - sequence;
        if distance >= WINDOW_LENGTH {
            return DuplicateCheck::TooOld;
        }
        let bit = 1 << distance;
        if self.applied_bits & bit != 0 {
            return DuplicateCheck::Duplicate;
        }
        self.applied_bits |= bit;
        DuplicateCheck::New
    }
}

/// The deduplication window of each member: the highest sequence number of the member's commands, and which
/// of the last 128 numbers up to the highest were applied.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename = "Seen", expecting = "tuple struct Seen")]
pub(crate) struct DeduplicationWindows(BTreeMap<Name, MemberWindow>);

impl DeduplicationWindows {
    /// Checks whether a command was applied before, and records a new command as applied.
    pub(crate) fn record(&mut self, now: UnixMillis, id: &CommandId) -> DuplicateCheck {
        let Some(window) = self.0.get_mut(&id.member) else {
            if !self.make_space(now) {
                return DuplicateCheck::MemberLimitReached;
            }
            self.0.insert(id.member.clone(), MemberWindow::starting_with(id, now));
            return DuplicateCheck::New;
        };
        if id.incarnation < window.incarnation {
            return DuplicateCheck::TooOld;
        }
        if id.incarnation > window.incarnation {
            *window = MemberWindow::starting_with(id, now);
            return DuplicateCheck::New;
        }
        window.last_received_at = now;
        window.record(id.sequence)
    }

    /// Makes space for the deduplication window of another member, and returns whether there is space. If
    /// there are [`MAX_MEMBERS`] windows, the window of the member that was inactive for the longest time is
    /// removed. A window is not removed if its member was active within [`MEMBER_RETENTION`].
    fn make_space(&mut self, now: UnixMillis) -> bool {
        if self.0.len() < MAX_MEMBERS {
            return true;
        }
        let inactive_since = now.saturating_sub(MEMBER_RETENTION);
        let oldest = self.0.iter().min_by_key(|(_, window)| window.last_received_at);
        let evicted = oldest.filter(|(_, window)| window.last_received_at <= inactive_since);
        let Some(member) = evicted.map(|(member, _)| member.clone()) else { return false };
        self.0.remove(&member);
        true
    }
}

#[cfg(test)]
#[path = "../tests/unit/deduplication.rs"]
mod tests;
