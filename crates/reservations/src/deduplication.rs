//! Deduplication of commands: remembers which commands were applied, so that none is applied twice.
use std::collections::BTreeMap;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command_id::CommandId;
use crate::time::{DAY, SpanMillis, UnixMillis};

/// The maximum number of members whose windows are kept.
pub(crate) const MAX_MEMBERS: usize = 1_024;
/// The size of a member's deduplication window, in sequence numbers. Older commands are rejected, because
/// they cannot be told from duplicates.
const WINDOW_LENGTH: u64 = 128;
/// The time without commands after which a member's window may be evicted for another member's.
const MEMBER_RETENTION: SpanMillis = DAY.times(7);

/// The result of checking a command's id against the commands applied so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DuplicateCheck {
    /// The command was not applied yet, and counts as applied from now on.
    New,
    /// The command was applied before.
    Duplicate,
    /// The sequence number precedes the deduplication window of the member, or the command is from an earlier
    /// incarnation of the member.
    TooOld,
    /// The member has no deduplication window yet, [`MAX_MEMBERS`] other members have one, and none of these
    /// windows may be evicted.
    MemberLimitReached,
}

/// The deduplication window of one member.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Heard", expecting = "struct Heard")]
struct MemberWindow {
    #[serde(rename = "generation")]
    incarnation: u64,
    #[serde(rename = "highest")]
    highest_sequence: u64,
    /// Bit `n` is set if the sequence number `highest_sequence - n` was applied.
    #[serde(rename = "window")]
    applied_bits: u128,
    #[serde(rename = "last")]
    last_received_at: UnixMillis,
}

impl MemberWindow {
    /// The deduplication window after the first command of an incarnation.
    fn starting_with(id: &CommandId, now: UnixMillis) -> MemberWindow {
        MemberWindow {
            incarnation: id.incarnation,
            highest_sequence: id.sequence,
            applied_bits: 1,
            last_received_at: now,
        }
    }

    /// Checks a sequence number of the current incarnation, and records it as applied.
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

/// For each member the highest sequence number, and which of the last 128 numbers up to it were applied.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename = "Seen", expecting = "tuple struct Seen")]
pub(crate) struct DeduplicationWindows(BTreeMap<Name, MemberWindow>);

impl DeduplicationWindows {
    /// Checks whether a command's id is a duplicate, and records a new id as applied.
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

    /// Makes space for another member's window, and returns whether there is space. If there are
    /// [`MAX_MEMBERS`] windows, the window of the longest inactive member is evicted, unless that member was
    /// active within [`MEMBER_RETENTION`].
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
