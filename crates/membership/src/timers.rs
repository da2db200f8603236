//! Timers in order of their instants, and what a pause of the process does to them.
use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Micros;

struct PendingTimer<T>(Micros, u64, T);

impl<T> PartialEq for PendingTimer<T> {
    fn eq(&self, other: &PendingTimer<T>) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl<T> Eq for PendingTimer<T> {}
impl<T> PartialOrd for PendingTimer<T> {
    fn partial_cmp(&self, other: &PendingTimer<T>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for PendingTimer<T> {
    fn cmp(&self, other: &PendingTimer<T>) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Timers, first in first out among those of one instant.
pub(crate) struct TimerQueue<T> {
    heap: BinaryHeap<Reverse<PendingTimer<T>>>,
    count: u64,
}

impl<T> TimerQueue<T> {
    pub(crate) fn new() -> TimerQueue<T> {
        TimerQueue { heap: BinaryHeap::new(), count: 0 }
    }

    pub(crate) fn add(&mut self, at: Micros, what: T) {
        self.count += 1;
        self.heap.push(Reverse(PendingTimer(at, self.count, what)));
    }

    pub(crate) fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(due)| due.0)
    }

    pub(crate) fn pop(&mut self, now: Micros) -> Option<T> {
        if self.next().is_none_or(|at| at > now) {
            return None;
        }
        self.heap.pop().map(|Reverse(due)| due.2)
    }

    /// All are due so much later.
    pub(crate) fn shift(&mut self, by: Micros) {
        let all = std::mem::take(&mut self.heap);
        let later = |Reverse(PendingTimer(at, number, what))| {
            Reverse(PendingTimer(at.saturating_add(by), number, what))
        };
        self.heap = all.into_iter().map(later).collect();
    }
}
