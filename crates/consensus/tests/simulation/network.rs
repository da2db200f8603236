//! A network that loses, delays, duplicates, corrupts and cuts.
use std::collections::HashSet;

use copperspread_consensus::{MILLISECOND, Micros};

const MIN_DELAY: Micros = MILLISECOND / 2;
const CORRUPTED_DELAY: Micros = MILLISECOND;
const FORMAT_VERSION: u8 = 1;

/// The network's faults; none at first.
pub(crate) struct Network {
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    /// Each message arrives once more, truncated or with a byte changed.
    pub(crate) corrupts: bool,
    /// A message takes 0.5 ms and up to so much more.
    pub(crate) max_extra_delay: Micros,
    /// From one member to another.
    pub(crate) cut_links: HashSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            loss_percent: 0,
            duplicate_percent: 0,
            corrupts: false,
            max_extra_delay: 10 * MILLISECOND,
            cut_links: HashSet::new(),
        }
    }
}

/// A copy of a message that arrives.
pub(super) struct Copy {
    pub(super) delay: Micros,
    pub(super) bytes: Vec<u8>,
}

impl Network {
    pub(super) fn partition(&mut self, group: &[usize], member_count: usize) {
        for from in 0..member_count {
            for to in (0..member_count).filter(|to| group.contains(&from) != group.contains(to)) {
                self.cut_links.insert((from, to));
            }
        }
    }

    /// The copies of a message that arrive.
    pub(super) fn transmit(
        &self,
        rng: &mut fastrand::Rng,
        from: usize,
        to: usize,
        bytes: &[u8],
    ) -> Vec<Copy> {
        let mut copies = Vec::new();
        if self.corrupts && !bytes.is_empty() {
            copies.extend(corrupted(rng, bytes));
        }
        let count = 1 + u32::from(rng.u32(0..100) < self.duplicate_percent);
        for _ in 0..count {
            if self.cut_links.contains(&(from, to)) || rng.u32(0..100) < self.loss_percent {
                continue;
            }
            let delay = MIN_DELAY + rng.u64(0..self.max_extra_delay);
            copies.push(Copy { delay, bytes: bytes.to_vec() });
        }
        copies
    }
}

/// A corrupted copy. The transport authenticates messages, and so detects corruption; what passes all the same must
/// not stop a member. Only the form is broken here: no valid message with another content.
fn corrupted(rng: &mut fastrand::Rng, bytes: &[u8]) -> Option<Copy> {
    let mut corrupted = bytes.to_vec();
    let position = rng.usize(0..corrupted.len());
    if rng.bool() {
        corrupted.truncate(position);
    } else {
        corrupted[position] = rng.u8(..);
    }
    let is_malformed = corrupted.first() != Some(&FORMAT_VERSION) || corrupted.len() < bytes.len();
    is_malformed.then_some(Copy { delay: CORRUPTED_DELAY, bytes: corrupted })
}
