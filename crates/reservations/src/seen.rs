//! Which commands have acted, so that none acts twice.
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{CommandId, DAY, Millis, Name};

/// Members whose ids are kept.
pub(crate) const MOST_MEMBERS: usize = 1_024;
/// How far back in a member's sequence a late command is still told from one that has acted.
const WINDOW: u64 = 128;
/// A member that was silent for so long makes room for another's ids.
const FORGOTTEN_AFTER: Millis = 7 * DAY;

/// What is known of a command's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Sight {
    /// It has not acted yet; from now on it has.
    First,
    /// It has acted.
    Again,
    /// So old that it is not known, or of an earlier start of its member.
    Old,
    /// No room for another member's ids.
    Full,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Heard {
    generation: u64,
    highest: u64,
    /// Bit n: the sequence `highest - n` has acted.
    window: u128,
    last: Millis,
}

/// For each member the highest sequence and which of the 128 up to it have acted.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Seen(BTreeMap<Name, Heard>);

impl Seen {
    /// Looks an id up and marks it.
    pub(crate) fn mark(&mut self, now: Millis, id: &CommandId) -> Sight {
        let (generation, sequence) = (id.generation, id.sequence);
        let first = Heard { generation, highest: sequence, window: 1, last: now };
        let Some(heard) = self.0.get_mut(&id.member) else {
            if !self.has_room(now) {
                return Sight::Full;
            }
            self.0.insert(id.member.clone(), first);
            return Sight::First;
        };
        if generation < heard.generation {
            return Sight::Old;
        }
        if generation > heard.generation {
            *heard = first;
            return Sight::First;
        }
        heard.last = now;
        if let Some(ahead) = sequence.checked_sub(heard.highest).filter(|&ahead| ahead > 0) {
            heard.window = if ahead < WINDOW { heard.window << ahead | 1 } else { 1 };
            heard.highest = sequence;
            return Sight::First;
        }
        let behind = heard.highest - sequence;
        if behind >= WINDOW {
            return Sight::Old;
        }
        let bit = 1 << behind;
        if heard.window & bit != 0 {
            return Sight::Again;
        }
        heard.window |= bit;
        Sight::First
    }

    fn has_room(&mut self, now: Millis) -> bool {
        if self.0.len() >= MOST_MEMBERS {
            let longest = self.0.iter().min_by_key(|(_, heard)| heard.last);
            let silent = longest.filter(|(_, heard)| heard.last <= now.saturating_sub(FORGOTTEN_AFTER));
            let Some(member) = silent.map(|(member, _)| member.clone()) else { return false };
            self.0.remove(&member);
        }
        true
    }
}

#[cfg(test)]
#[path = "../tests/unit/seen.rs"]
mod tests;
