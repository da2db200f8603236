//! A simulated network that loses, delays, duplicates and corrupts messages, and cuts links.
use std::collections::HashSet;

use copperspread_consensus::{MILLISECOND, Micros};

const MIN_DELAY: Micros = MILLISECOND / 2;
const CORRUPTED_DELAY: Micros = MILLISECOND;
const FORMAT_VERSION: u8 = 1;

/// The faults of the simulated network. By default, messages are only delayed, by up to 10.5 ms.
pub(crate) struct Network {
    pub(crate) loss_percent: u32,
    pub(crate) duplicate_percent: u32,
    /// Whether each message arrives once more, truncated or with a byte changed.
    pub(crate) corrupts: bool,
    /// The maximum random delay of a message, in addition to the minimum of 0.5 ms.
    pub(crate) max_extra_delay: Micros,
    /// The links that deliver nothing, each from one member to another.
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

/// A delivered copy of a message.
pub(super) struct MessageCopy {
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

    /// Returns the copies of a message that are delivered.
    pub(super) fn transmit(
        &self,
        rng: &mut fastrand::Rng,
        from: usize,
        to: usize,
        bytes: &[u8],
    ) -> Vec<MessageCopy> {
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
            copies.push(MessageCopy { delay, bytes: bytes.to_vec() });
        }
        copies
    }
}

/// A truncated or altered copy of a message, which cannot be parsed; `None` if the copy may still be well
/// formed.
///
/// The transport authenticates messages and thereby detects corruption, but a malformed message that gets
/// through must not stop a member. Valid messages with altered content are out of scope.
fn corrupted(rng: &mut fastrand::Rng, bytes: &[u8]) -> Option<MessageCopy> {
    let mut corrupted = bytes.to_vec();
    let position = rng.usize(0..corrupted.len());
    if rng.bool() {
        corrupted.truncate(position);
    } else {
        corrupted[position] = rng.u8(..);
    }
    let is_malformed = corrupted.first() != Some(&FORMAT_VERSION) || corrupted.len() < bytes.len();
    is_malformed.then_some(MessageCopy { delay: CORRUPTED_DELAY, bytes: corrupted })
}
