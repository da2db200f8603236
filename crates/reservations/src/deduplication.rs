//! Which commands have been applied, so that none is applied twice.
use std::collections::BTreeMap;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

use crate::command_id::CommandId;
use crate::time::{DAY, SpanMillis, UnixMillis};

/// Members whose windows are kept.
pub(crate) const MAX_MEMBERS: usize = 1_024;
/// How far back in a member's sequence a late command can still be told from a duplicate.
const WINDOW_LENGTH: u64 = 128;
/// A member that sent nothing for so long may be replaced by another.
const MEMBER_RETENTION: SpanMillis = DAY.times(7);

/// The result of looking up a command's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DuplicateCheck {
    /// It was not applied yet; from now on it counts as applied.
    New,
    /// It was applied.
    Duplicate,
    /// It lies before the window, or is of an earlier incarnation of its member.
    TooOld,
    /// There are windows of [`MAX_MEMBERS`] other members already.
    MemberLimitReached,
}

/// The window of one member.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Heard", expecting = "struct Heard")]
struct MemberWindow {
    #[serde(rename = "generation")]
    incarnation: u64,
    #[serde(rename = "highest")]
    highest_sequence: u64,
    /// Bit n: the sequence `highest_sequence - n` was applied.
    #[serde(rename = "window")]
    applied_bits: u128,
    #[serde(rename = "last")]
    last_received_at: UnixMillis,
}

impl MemberWindow {
    /// The window after a member's first command of an incarnation.
    fn starting_with(id: &CommandId, now: UnixMillis) -> MemberWindow {
        MemberWindow {
            incarnation: id.incarnation,
            highest_sequence: id.sequence,
            applied_bits: 1,
            last_received_at: now,
        }
    }

    /// Looks up a sequence of the current incarnation and records it.
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

/// For each member the highest sequence, and which of the 128 up to it were applied.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename = "Seen", expecting = "tuple struct Seen")]
pub(crate) struct DeduplicationWindows(BTreeMap<Name, MemberWindow>);

impl DeduplicationWindows {
    /// Looks up a command's id and records it.
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

    /// Evicts the member that was silent longest if all windows are taken; whether there is space for
    /// another.
    fn make_space(&mut self, now: UnixMillis) -> bool {
        if self.0.len() < MAX_MEMBERS {
            return true;
        }
        let silent_since = now.saturating_sub(MEMBER_RETENTION);
        let oldest = self.0.iter().min_by_key(|(_, window)| window.last_received_at);
        let evicted = oldest.filter(|(_, window)| window.last_received_at <= silent_since);
        let Some(member) = evicted.map(|(member, _)| member.clone()) else { return false };
        self.0.remove(&member);
        true
    }
}

#[cfg(test)]
#[path = "../tests/unit/deduplication.rs"]
mod tests;
