//! Log of the reports of one incarnation of a reporter, by sequence number.
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use rangemap::RangeInclusiveSet;
use serde::{Deserialize, Serialize};

use crate::settings::LedgerSettings;
use crate::usage_entry::UsageEntry;
use crate::usage_report::ReportRejection;

/// Missing sequence numbers of one incarnation of a reporter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceGaps {
    /// Number of the incarnation, as in the reporter's usage reports.
    pub incarnation: u64,
    /// Sequence numbers that are still expected because a higher one was received.
    pub missing: Vec<RangeInclusive<u64>>,
    /// Number of sequence numbers that were never received and are no longer expected. A number whose
    /// correction was received and later discarded is not counted.
    pub abandoned: u64,
}

/// Relation of a new entry to the log's existing entry for the same sequence number, if there is one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryStatus {
    /// The sequence number was neither received nor discarded.
    New,
    /// The log has the same entry, or has discarded the sequence number.
    Duplicate,
    /// The log has another entry, which compares greater than the new entry and is replaced by it.
    Replacement,
}

/// Effect of an insertion on the effective entries, which are those left after corrections are applied.
/// `before` and `after` are the effective entries of the affected sequence numbers before and after the
/// insertion.
pub(crate) struct EntryChange {
    pub(crate) before: Vec<UsageEntry>,
    pub(crate) after: Vec<UsageEntry>,
}

/// Log of the entries of one incarnation; it belongs to the account of the reporter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct IncarnationLog {
    /// Sequence numbers that were received or are no longer expected, including all up to
    /// `discarded_through`.
    received: RangeInclusiveSet<u64>,
    /// Sequence number up to which entries were discarded, so that the log has no entry for this or a lower
    /// number.
    discarded_through: u64,
    /// Highest sequence number that is accepted before the next advance of the ledger.
    max_accepted: u64,
    /// Sequence number up to which the log had no gap at the last advance of the ledger.
    contiguous_through: u64,
    /// Watermark in milliseconds of Unix time: the latest start of an interval among the entries up to
    /// `contiguous_through`.
    watermark_ms: Option<i64>,
    /// Number of sequence numbers that were never received and are no longer expected. A number whose
    /// correction was received and later discarded is not counted.
    abandoned: u64,
    /// Whether the ledger has not advanced since the first entry.
    is_new: bool,
    entries: BTreeMap<u64, UsageEntry>,
    /// Sequence numbers of the corrections, by the sequence number that they correct.
    corrections: BTreeMap<u64, BTreeSet<u64>>,
}

impl IncarnationLog {
    pub(crate) fn new(settings: &LedgerSettings) -> IncarnationLog {
        IncarnationLog {
            received: RangeInclusiveSet::new(),
            discarded_through: 0,
            max_accepted: settings.max_sequences_ahead.into(),
            contiguous_through: 0,
            watermark_ms: None,
            abandoned: 0,
            is_new: true,
            entries: BTreeMap::new(),
            corrections: BTreeMap::new(),
        }
    }

    pub(crate) fn is_new(&self) -> bool {
        self.is_new
    }

    pub(crate) fn has_entries(&self) -> bool {
        !self.entries.is_empty()
    }

    pub(crate) fn watermark_ms(&self) -> Option<i64> {
        self.watermark_ms
    }

    /// Missing sequence numbers of this log, labeled with its `incarnation`.
    pub(crate) fn sequence_gaps(&self, incarnation: u64) -> SequenceGaps {
        let all = 1..=self.highest_received();
        let missing = if all.is_empty() { Vec::new() } else { self.received.gaps(&all).collect() };
        SequenceGaps { incarnation, missing, abandoned: self.abandoned }
    }

    /// Checks whether an entry may be inserted, and returns its relation to the entry that the log already
    /// has for the sequence number.
    ///
    /// `corrects` is the field [`crate::UsageReport::corrects`] of the report. The field is passed in
    /// addition to the entry, because its value 0 is invalid and must be rejected, but an entry represents 0
    /// as no correction.
    pub(crate) fn classify(
        &self,
        sequence: u64,
        entry: &UsageEntry,
        corrects: Option<u64>,
    ) -> Result<EntryStatus, ReportRejection> {
        if sequence <= self.discarded_through {
            return Err(ReportRejection::SequenceTooOld);
        }
        if sequence > self.max_accepted {
            return Err(ReportRejection::SequenceTooFarAhead);
        }
        let existing = self.entries.get(&sequence);
        if self.received.contains(&sequence) && existing.is_none_or(|existing| existing == entry) {
            return Ok(EntryStatus::Duplicate);
        }
        if existing.is_some_and(|existing| existing < entry) {
            return Err(ReportRejection::ConflictingDuplicate);
        }
        if corrects.is_some_and(|corrected| !self.can_correct(corrected, sequence)) {
            return Err(ReportRejection::InvalidCorrection);
        }
        Ok(if existing.is_some() { EntryStatus::Replacement } else { EntryStatus::New })
    }

    fn can_correct(&self, corrected: u64, sequence: u64) -> bool {
        let is_discarded = self.received.contains(&corrected) && !self.entries.contains_key(&corrected);
        corrected < sequence && corrected > self.discarded_through && !is_discarded
    }

    /// Inserts an entry that [`IncarnationLog::classify`] allows.
    pub(crate) fn insert(&mut self, sequence: u64, entry: UsageEntry) -> EntryChange {
        self.received.insert(sequence..=sequence);
        let existing = self.entries.get(&sequence);
        if existing.is_none() && !entry.is_correction() && !self.corrections.contains_key(&sequence) {
            // The usual case: no other entry is affected.
            self.entries.insert(sequence, entry.clone());
            return EntryChange { before: Vec::new(), after: vec![entry] };
        }
        let formerly_corrected = existing.and_then(UsageEntry::corrects);
        let affected = BTreeSet::from([Some(sequence), formerly_corrected, entry.corrects()]);
        let affected: Vec<u64> = affected.into_iter().flatten().collect();
        let before = self.effective_among(&affected);
        if let Some(corrected) = formerly_corrected {
            self.remove_correction(corrected, sequence);
        }
        if let Some(corrected) = entry.corrects() {
            self.corrections.entry(corrected).or_default().insert(sequence);
        }
        self.entries.insert(sequence, entry);
        EntryChange { before, after: self.effective_among(&affected) }
    }

    fn remove_correction(&mut self, corrected: u64, sequence: u64) {
        let Some(corrections) = self.corrections.get_mut(&corrected) else { return };
        corrections.remove(&sequence);
        if corrections.is_empty() {
            self.corrections.remove(&corrected);
        }
    }

    /// Returns the effective entry of a sequence number: the entry of the last correction of that number,
    /// otherwise the entry of the number itself. A correction applies only to the sequence number that it
    /// corrects, and a correction of a correction has no effect; so the order of arrival does not matter.
    fn effective_entry(&self, sequence: u64) -> Option<&UsageEntry> {
        let own = self.entries.get(&sequence);
        if own.is_some_and(UsageEntry::is_correction) {
            return None;
        }
        let last_correction = self.corrections.get(&sequence).and_then(BTreeSet::last);
        last_correction.and_then(|last| self.entries.get(last)).or(own)
    }

    fn effective_among(&self, sequences: &[u64]) -> Vec<UsageEntry> {
        sequences.iter().filter_map(|&sequence| self.effective_entry(sequence).cloned()).collect()
    }

    /// Iterates over the effective entries of all sequence numbers that have one.
    pub(crate) fn effective_entries(&self) -> impl Iterator<Item = &UsageEntry> {
        let corrected_without_entry =
            self.corrections.keys().filter(|sequence| !self.entries.contains_key(sequence));
        self.entries
            .keys()
            .chain(corrected_without_entry)
            .filter_map(|&sequence| self.effective_entry(sequence))
    }

    /// Moves the watermark up to the first gap in the sequence numbers, and raises the highest sequence
    /// number that is accepted.
    pub(crate) fn advance_watermark(&mut self, settings: &LedgerSettings) {
        let next = self.contiguous_through + 1;
        let contiguous_through =
            self.received.get(&next).map_or(self.contiguous_through, |range| *range.end());
        let new_entries = self.entries.range(next..contiguous_through + 1);
        let latest_start_ms = new_entries.map(|(_, entry)| entry.start_ms()).max();
        self.contiguous_through = contiguous_through;
        self.watermark_ms = self.watermark_ms.max(latest_start_ms);
        self.update_max_accepted(settings);
        self.is_new = false;
    }

    fn highest_received(&self) -> u64 {
        self.received.last().map_or(0, |range| *range.end())
    }

    fn update_max_accepted(&mut self, settings: &LedgerSettings) {
        let max_tracked = self.discarded_through.saturating_add(settings.max_tracked_sequences.into());
        let max_ahead = self.highest_received().saturating_add(settings.max_sequences_ahead.into());
        self.max_accepted = max_ahead.min(max_tracked);
    }

    /// Discards the entries that start before an instant, each with the entry that it corrects and its
    /// corrections, so that no remaining entry can change a discarded one.
    pub(crate) fn discard_before(&mut self, instant_ms: i64, settings: &LedgerSettings) {
        let old_entries = self.entries.iter().filter(|(_, entry)| entry.start_ms() < instant_ms);
        let old_sequences: BTreeSet<u64> =
            old_entries.map(|(&sequence, entry)| entry.corrects().unwrap_or(sequence)).collect();
        for sequence in old_sequences {
            self.discard_with_corrections(sequence);
        }
        self.raise_discarded_through();
        self.update_max_accepted(settings);
    }

    fn discard_with_corrections(&mut self, sequence: u64) {
        // Marks the sequence number as received even if it was not, so that it is no longer accepted.
        self.received.insert(sequence..=sequence);
        if self.entries.get(&sequence).is_some_and(|entry| !entry.is_correction()) {
            self.entries.remove(&sequence);
        }
        let mut discarded = vec![sequence];
        while let Some(corrected) = discarded.pop() {
            let corrections = self.corrections.remove(&corrected).unwrap_or_default();
            for correction in &corrections {
                self.entries.remove(correction);
            }
            discarded.extend(corrections);
        }
    }

    /// Raises `discarded_through` to the last received sequence number before the first kept one, and
    /// abandons the missing numbers below `discarded_through`. The starts of the reported intervals do not
    /// decrease with the sequence number, so a report that is missing before a discarded entry is older than
    /// the horizon too. Missing reports with a number above `discarded_through` may still arrive.
    fn raise_discarded_through(&mut self) {
        let discarded_through = self.last_received_before_retained();
        if discarded_through <= self.discarded_through {
            return;
        }
        let first = self.discarded_through + 1;
        let received: u64 = self.received.overlapping(first..=discarded_through).fold(0, |sum, range| {
            sum + (*range.end()).min(discarded_through) - (*range.start()).max(first) + 1
        });
        self.abandoned += discarded_through - self.discarded_through - received;
        self.received.insert(1..=discarded_through);
        self.discarded_through = discarded_through;
    }

    /// Returns the highest received sequence number that is lower than all kept sequence numbers, or 0 if
    /// there is none. A sequence number is kept if the log has an entry or a correction for that number. If
    /// no number is kept, returns the highest received sequence number.
    fn last_received_before_retained(&self) -> u64 {
        let first_entry = self.entries.keys().next();
        let first_corrected = self.corrections.keys().next();
        let Some(&first_retained) = first_entry.into_iter().chain(first_corrected).min() else {
            return self.highest_received();
        };
        if first_retained <= 1 {
            return 0;
        }
        let before = self.received.overlapping(1..=first_retained - 1).next_back();
        before.map_or(0, |range| (*range.end()).min(first_retained - 1))
    }
}
