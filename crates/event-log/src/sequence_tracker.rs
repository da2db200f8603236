//! Counts the sequence numbers of a run that are missing, out of order or duplicates.
use std::collections::BTreeMap;

/// Follows the sequence numbers of a run. What is missing is counted from the numbers themselves, also where no
/// record states it; a number that arrives late is no longer missing.
#[derive(Default)]
pub(crate) struct SequenceTracker {
    has_started: bool,
    next: u64,
    /// Ranges of numbers that were missing when later ones arrived: the first number, and the one after the last.
    holes: BTreeMap<u64, u64>,
    missing: u64,
    out_of_order: u64,
    duplicates: u64,
}

impl SequenceTracker {
    /// Numbers that are missing, whether or not the run says so.
    pub(crate) fn missing(&self) -> u64 {
        self.missing
    }

    /// Numbers that arrived after a higher one.
    pub(crate) fn out_of_order(&self) -> u64 {
        self.out_of_order
    }

    /// Numbers that arrived twice.
    pub(crate) fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Adds the number of a record. `gap` is the number of missing records if it is that of a gap, which has the
    /// number of the last one of them.
    pub(crate) fn add(&mut self, sequence: u64, gap: Option<u64>) {
        if !self.has_started {
            self.has_started = true;
            // A stream whose first file was removed starts in the middle: that is no gap inside it.
            self.next = sequence;
            self.missing += gap.unwrap_or(1) - 1;
        }
        if sequence < self.next {
            self.add_out_of_order(sequence, gap.is_some());
            return;
        }
        if sequence > self.next {
            self.holes.insert(self.next, sequence);
            self.missing += sequence - self.next;
        }
        self.next = sequence + 1;
        self.missing += u64::from(gap.is_some());
    }

    fn add_out_of_order(&mut self, sequence: u64, is_gap: bool) {
        self.out_of_order += 1;
        let hole = self.holes.range(..=sequence).next_back().map(|(&first, &end)| (first, end));
        let Some((first, end)) = hole.filter(|&(_, end)| sequence < end) else {
            self.duplicates += 1;
            return;
        };
        self.holes.remove(&first);
        for (first, end) in [(first, sequence), (sequence + 1, end)] {
            if first < end {
                self.holes.insert(first, end);
            }
        }
        self.missing -= u64::from(!is_gap);
    }
}
