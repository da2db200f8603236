//! Intervals of time, and allocations of slots over them.
use serde::{Deserialize, Serialize};

use crate::time::{SpanMillis, UnixMillis};

/// A half-open interval of time, which contains its start but not its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Interval {
    /// The first instant of the interval.
    pub start: UnixMillis,
    /// The first instant after the interval.
    pub end: UnixMillis,
}

impl Interval {
    /// The length of the interval; zero if the end is not after the start.
    pub fn length(self) -> SpanMillis {
        self.end.saturating_since(self.start).max(SpanMillis::ZERO)
    }

    /// Whether this interval has an instant in common with another interval. Both must be non-empty.
    pub fn overlaps(self, other: Interval) -> bool {
        self.start < other.end && other.start < self.end
    }
}

/// An allocation: a constant number of slots over an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Piece", expecting = "struct Piece")]
pub struct Allocation {
    /// The interval over which the slots are allocated.
    pub interval: Interval,
    /// The number of slots that are allocated over the whole interval.
    pub slots: u32,
}

impl Allocation {
    /// The number of slots times the length of the interval, in slot-milliseconds. `u64::MAX` if the product
    /// is larger.
    pub fn slot_millis(self) -> u64 {
        self.interval.length().0.unsigned_abs().saturating_mul(self.slots.into())
    }
}

/// Merges consecutive allocations that adjoin and have the same number of slots. Therefore lists that
/// allocate the same slots at the same times compare equal.
pub(crate) fn merge_adjacent(allocations: impl IntoIterator<Item = Allocation>) -> Vec<Allocation> {
    let mut merged: Vec<Allocation> = Vec::new();
    for allocation in allocations {
        match merged.last_mut() {
            Some(last)
                if last.slots == allocation.slots && last.interval.end == allocation.interval.start =>
            {
                last.interval.end = allocation.interval.end;
            }
            _ => merged.push(allocation),
        }
    }
    merged
}

/// Removes the part of each allocation that lies at `now` or later.
pub(crate) fn truncate_at(allocations: &mut Vec<Allocation>, now: UnixMillis) {
    allocations.retain(|allocation| allocation.interval.start < now);
    for allocation in allocations {
        allocation.interval.end = allocation.interval.end.min(now);
    }
}
