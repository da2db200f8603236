//! A queue of timers in the order of their due times. All timers can be delayed together after a pause of the
//! process.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::time::Micros;

/// A timer that has not fired yet. Timers are ordered by due time, then by the order in which they were
/// added.
struct PendingTimer<T> {
    due: Micros,
    sequence: u64,
    event: T,
}

impl<T> PendingTimer<T> {
    fn sort_key(&self) -> (Micros, u64) {
        (self.due, self.sequence)
    }
}

impl<T> PartialEq for PendingTimer<T> {
    fn eq(&self, other: &PendingTimer<T>) -> bool {
        self.sort_key() == other.sort_key()
    }
}

impl<T> Eq for PendingTimer<T> {}

impl<T> PartialOrd for PendingTimer<T> {
    fn partial_cmp(&self, other: &PendingTimer<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for PendingTimer<T> {
    fn cmp(&self, other: &PendingTimer<T>) -> Ordering {
        self.sort_key().cmp(&other.sort_key())
    }
}

/// A queue of timers. Timers with the same due time fire in the order in which they were added.
pub(crate) struct TimerQueue<T> {
    heap: BinaryHeap<Reverse<PendingTimer<T>>>,
    /// The number of timers added to the queue so far. Each timer keeps its number, which orders the timers
    /// that have the same due time.
    added: u64,
}

impl<T> TimerQueue<T> {
    pub(crate) fn new() -> TimerQueue<T> {
        TimerQueue { heap: BinaryHeap::new(), added: 0 }
    }

    pub(crate) fn add(&mut self, due: Micros, event: T) {
        self.added += 1;
        self.heap.push(Reverse(PendingTimer { due, sequence: self.added, event }));
    }

    /// The due time of the timer that fires next; `None` if the queue is empty.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse(timer)| timer.due)
    }

    /// Removes the first timer if it is due at `now`, and returns its event.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<T> {
        if self.next_due().is_none_or(|due| due > now) {
            return None;
        }
        self.heap.pop().map(|Reverse(timer)| timer.event)
    }

    /// Delays all timers in the queue by the same duration.
    pub(crate) fn delay_all(&mut self, delay: Micros) {
        let timers = std::mem::take(&mut self.heap);
        self.heap = timers
            .into_iter()
            .map(|Reverse(timer)| Reverse(PendingTimer { due: timer.due.saturating_add(delay), ..timer }))
            .collect();
    }
}
