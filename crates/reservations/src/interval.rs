//! Intervals of time, and slots that are allocated over them.
use serde::{Deserialize, Serialize};

use crate::time::{SpanMillis, UnixMillis};

/// A half-open interval: from one instant to before another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Interval {
    /// The first instant.
    pub start: UnixMillis,
    /// The first instant after it.
    pub end: UnixMillis,
}

impl Interval {
    /// The length; none for an empty or reversed interval.
    pub fn length(self) -> SpanMillis {
        self.end.saturating_since(self.start).max(SpanMillis::ZERO)
    }

    /// Whether the two have an instant in common.
    pub fn overlaps(self, other: Interval) -> bool {
        self.start < other.end && other.start < self.end
    }
}

/// Slots over an interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Piece", expecting = "struct Piece")]
pub struct Allocation {
    /// When.
    pub interval: Interval,
    /// The number of slots.
    pub slots: u32,
}

impl Allocation {
    /// Slots times milliseconds.
    pub fn slot_millis(self) -> u64 {
        self.interval.length().0.unsigned_abs().saturating_mul(self.slots.into())
    }
}

/// Merges successive allocations that meet and have as many slots, so that equal allocations compare equal.
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

/// Removes what lies at `now` or later.
pub(crate) fn truncate_at(allocations: &mut Vec<Allocation>, now: UnixMillis) {
    allocations.retain(|allocation| allocation.interval.start < now);
    for allocation in allocations {
        allocation.interval.end = allocation.interval.end.min(now);
    }
}
