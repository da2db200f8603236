//! Which commands have acted, so that none acts twice.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{CommandId, DAY, Millis, Name};

/// Members whose ids are kept.
pub(crate) const MAX_MEMBERS: usize = 1_024;
/// How far back in a member's sequence a late command is still told from one that has acted.
const WINDOW_LENGTH: u64 = 128;
/// A member that was silent for so long makes room for another's ids.
const MEMBER_RETENTION: Millis = 7 * DAY;

/// What is known of a command's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DuplicateCheck {
    /// It has not acted yet; from now on it has.
    New,
    /// It has acted.
    Duplicate,
    /// So old that it is not known, or of an earlier start of its member.
    TooOld,
    /// No room for another member's ids.
    NoCapacity,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Heard")]
struct MemberWindow {
    #[serde(rename = "generation")]
    incarnation: u64,
    #[serde(rename = "highest")]
    highest_sequence: u64,
    /// Bit n: the sequence `highest - n` has acted.
    #[serde(rename = "window")]
    acted_bits: u128,
    #[serde(rename = "last")]
    last_heard: Millis,
}

/// For each member the highest sequence and which of the 128 up to it have acted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename = "Seen")]
pub(crate) struct DeduplicationWindows(BTreeMap<Name, MemberWindow>);

impl DeduplicationWindows {
    /// Looks an id up and marks it.
    pub(crate) fn record(&mut self, now: Millis, id: &CommandId) -> DuplicateCheck {
        let (generation, sequence) = (id.incarnation, id.sequence);
        let first = MemberWindow {
            incarnation: generation,
            highest_sequence: sequence,
            acted_bits: 1,
            last_heard: now,
        };
        let Some(heard) = self.0.get_mut(&id.member) else {
            if !self.has_room(now) {
                return DuplicateCheck::NoCapacity;
            }
            self.0.insert(id.member.clone(), first);
            return DuplicateCheck::New;
        };
        if generation < heard.incarnation {
            return DuplicateCheck::TooOld;
        }
        if generation > heard.incarnation {
            *heard = first;
            return DuplicateCheck::New;
        }
        heard.last_heard = now;
        if let Some(ahead) = sequence.checked_sub(heard.highest_sequence).filter(|&ahead| ahead > 0) {
            heard.acted_bits = if ahead < WINDOW_LENGTH { heard.acted_bits << ahead | 1 } else { 1 };
            heard.highest_sequence = sequence;
            return DuplicateCheck::New;
        }
        let behind = heard.highest_sequence - sequence;
        if behind >= WINDOW_LENGTH {
            return DuplicateCheck::TooOld;
        }
        let bit = 1 << behind;
        if heard.acted_bits & bit != 0 {
            return DuplicateCheck::Duplicate;
        }
        heard.acted_bits |= bit;
        DuplicateCheck::New
    }

    fn has_room(&mut self, now: Millis) -> bool {
        if self.0.len() >= MAX_MEMBERS {
            let longest = self.0.iter().min_by_key(|(_, heard)| heard.last_heard);
            let silent =
                longest.filter(|(_, heard)| heard.last_heard <= now.saturating_sub(MEMBER_RETENTION));
            let Some(member) = silent.map(|(member, _)| member.clone()) else { return false };
            self.0.remove(&member);
        }
        true
    }
}

#[cfg(test)]
#[path = "../tests/unit/deduplication.rs"]
mod tests;
