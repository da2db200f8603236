//! Counts the records of a run that are missing, out of order or duplicated, by their sequence numbers.
use std::collections::BTreeMap;

/// Tracks the sequence numbers of the records of a run, and counts the missing numbers.
///
/// A gap record stands in the event log in place of missing records, and gives their number. A missing number
/// is counted whether or not a gap record stands for it. A number that arrives late is no longer counted as
/// missing.
#[derive(Default)]
pub(crate) struct SequenceTracker {
    has_started: bool,
    next_sequence: u64,
    /// The ranges of missing sequence numbers below `next_sequence`. The key is the first number of a range;
    /// the value is the number after the last of the range.
    missing_ranges: BTreeMap<u64, u64>,
    missing: u64,
    out_of_order: u64,
    duplicates: u64,
}

impl SequenceTracker {
    /// Returns how many sequence numbers of the run are missing, whether or not a record of
    /// [`EventKind::Gap`](crate::EventKind::Gap) reports them.
    pub(crate) fn missing(&self) -> u64 {
        self.missing
    }

    /// Returns how many records came after a record of the run with the same or a higher sequence number.
    /// Duplicates are included.
    pub(crate) fn out_of_order(&self) -> u64 {
        self.out_of_order
    }

    /// Returns how many records had a sequence number that an earlier record of the run already had.
    pub(crate) fn duplicates(&self) -> u64 {
        self.duplicates
    }

    /// Adds the sequence number of a record of the run.
    ///
    /// A gap record stands for missing records and has the sequence number of the last of them. For a gap
    /// record, `gap` is the number of missing records, at least 1. For any other record, `gap` is `None`.
    pub(crate) fn add(&mut self, sequence: u64, gap: Option<u64>) {
        if !self.has_started {
            self.has_started = true;
            // If the first number is above 0, the numbers before it do not count as missing, because the
            // first file of the event log may have been removed.
            self.next_sequence = sequence;
            self.missing += gap.unwrap_or(1) - 1;
        }
        if sequence < self.next_sequence {
            self.add_out_of_order(sequence, gap.is_some());
            return;
        }
        if sequence > self.next_sequence {
            self.missing_ranges.insert(self.next_sequence, sequence);
            self.missing += sequence - self.next_sequence;
        }
        self.next_sequence = sequence + 1;
        self.missing += u64::from(gap.is_some());
    }

    fn add_out_of_order(&mut self, sequence: u64, is_gap: bool) {
        self.out_of_order += 1;
        let missing_range =
            self.missing_ranges.range(..=sequence).next_back().map(|(&first, &end)| (first, end));
        let Some((first, end)) = missing_range.filter(|&(_, end)| sequence < end) else {
            self.duplicates += 1;
            return;
        };
        self.missing_ranges.remove(&first);
        for (first, end) in [(first, sequence), (sequence + 1, end)] {
            if first < end {
                self.missing_ranges.insert(first, end);
            }
        }
        self.missing -= u64::from(!is_gap);
    }
}
