//! The log of the usage reports of one incarnation of a reporter, by sequence number.
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use rangemap::RangeInclusiveSet;
use serde::{Deserialize, Serialize};

use crate::settings::LedgerSettings;
use crate::usage_entry::UsageEntry;
use crate::usage_report::ReportRejection;

/// The missing sequence numbers of one incarnation of a reporter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceGaps {
    /// The number of the incarnation, as in the reporter's usage reports.
    pub incarnation: u64,
    /// The ranges of sequence numbers that were not received although a higher number was. Their reports are
    /// still expected.
    pub missing: Vec<RangeInclusive<u64>>,
    /// The number of reports that were never received and are no longer expected.
    ///
    /// A correction is a report that replaces an earlier report, and may arrive even if the earlier report is
    /// missing. When the log discards such a correction, the missing report counts as received and is not
    /// included in this number.
    pub abandoned: u64,
}

/// Whether the log already has an entry for the sequence number of a new entry, and how the two compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryStatus {
    /// The log has not received an entry with the sequence number of the new entry, and still expects one.
    New,
    /// The log has an equal entry with the sequence number of the new entry. Or the log has no entry with
    /// that number to compare, although the number counts as received. This is so if the earlier entry was
    /// discarded. It is also so if no such entry arrived, but a correction, which is an entry that was to
    /// replace the missing entry, was discarded.
    Duplicate,
    /// The log has another entry with the sequence number. The new entry is the lesser of the two in the
    /// order of [`UsageEntry`], which compares the work first, and replaces the other entry.
    Replacement,
}

/// How the insertion of an entry into the log changes the entries that count as usage. An entry is one usage
/// report. A correction is an entry that counts in place of an earlier entry.
///
/// Both lists contain only the entries that count for certain sequence numbers, `before` and `after` the
/// insertion. These are the numbers for which the insertion may change the entry that counts:
///
/// - the sequence number of the inserted entry;
/// - the number of the entry that the inserted entry corrects, if it is a correction;
/// - the number of the entry that a replaced correction corrected. The inserted entry replaces a correction
///   if both have the same sequence number.
pub(crate) struct EntryChange {
    pub(crate) before: Vec<UsageEntry>,
    pub(crate) after: Vec<UsageEntry>,
}

/// The log of one incarnation of a reporter, with an entry for each usage report. It belongs to the account
/// of the reporter.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct IncarnationLog {
    /// The sequence numbers of the reports that were received or are no longer expected. These are the
    /// numbers of all received reports, and all numbers up to `discarded_through`. They also include some
    /// missing reports. A correction is a report that replaces an earlier report, and may arrive even if the
    /// earlier one is missing. When such a correction is discarded, the missing report is no longer expected.
    received: RangeInclusiveSet<u64>,
    /// The sequence number up to which the log has discarded all entries. The log has no entry for this or a
    /// lower number.
    discarded_through: u64,
    /// The highest sequence number that is accepted until the next call of [`crate::UsageLedger::advance`].
    max_accepted: u64,
    /// The sequence number up to which no number was missing at the last call of
    /// [`crate::UsageLedger::advance`].
    contiguous_through: u64,
    /// The watermark of the incarnation, in milliseconds of Unix time. It is the latest interval start among
    /// the entries up to `contiguous_through`.
    watermark_ms: Option<i64>,
    /// The number of reports that were never received and are no longer expected; see
    /// [`SequenceGaps::abandoned`].
    abandoned: u64,
    /// Whether [`crate::UsageLedger::advance`] was not called since the first entry of this log was received.
    /// As long as this holds, the log may be discarded if its reporter has too many new incarnations.
    is_new: bool,
    entries: BTreeMap<u64, UsageEntry>,
    /// The sequence numbers of corrections, by the sequence number of the report that they correct.
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

    /// The missing sequence numbers of this log. `incarnation` is the number of the reporter's incarnation,
    /// one run of the reporter, whose reports are in this log. The number is copied into the result.
    pub(crate) fn sequence_gaps(&self, incarnation: u64) -> SequenceGaps {
        let all = 1..=self.highest_received();
        let missing = if all.is_empty() { Vec::new() } else { self.received.gaps(&all).collect() };
        SequenceGaps { incarnation, missing, abandoned: self.abandoned }
    }

    /// Checks whether an entry may be inserted. Returns whether the log already has an entry for the sequence
    /// number, and how the two compare.
    ///
    /// `corrects` is the field [`crate::UsageReport::corrects`] of the report. The value 0 is invalid, and
    /// this function rejects it. The function cannot use the entry for this check, because an entry stores
    /// the value 0 as if the report corrected nothing.
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

    /// Inserts an entry that [`IncarnationLog::classify`] has accepted.
    pub(crate) fn insert(&mut self, sequence: u64, entry: UsageEntry) -> EntryChange {
        self.received.insert(sequence..=sequence);
        let existing = self.entries.get(&sequence);
        if existing.is_none() && !entry.is_correction() && !self.corrections.contains_key(&sequence) {
            // Usually an entry is no correction and has no corrections yet. Such an entry does not change
            // whether other entries count as usage.
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

    /// Returns the effective entry of a sequence number. It is the correction of that number with the highest
    /// sequence number, or the entry of the number itself if there is no correction. A correction of a
    /// correction has no effect. Therefore the order in which reports arrive does not matter.
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

    /// Returns the entries that count as usage. For each report that is not a correction, the correction with
    /// the highest sequence number counts, or the report itself if there is no correction. A correction
    /// counts even if the log does not have the report that it corrects.
    pub(crate) fn effective_entries(&self) -> impl Iterator<Item = &UsageEntry> {
        let corrected_without_entry =
            self.corrections.keys().filter(|sequence| !self.entries.contains_key(sequence));
        self.entries
            .keys()
            .chain(corrected_without_entry)
            .filter_map(|&sequence| self.effective_entry(sequence))
    }

    /// Updates the watermark, which is the latest interval start among the entries before the first missing
    /// sequence number. Also raises the highest sequence number that is accepted.
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

    /// Discards the entries whose interval starts before an instant. With each of them, the entry that it
    /// corrects and its corrections are discarded too. Otherwise a remaining entry could change the effect of
    /// a discarded one.
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
        // The sequence number counts as received even if it was not, so that a report with this number is no
        // longer accepted.
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

    /// Raises `discarded_through` to the result of [`IncarnationLog::last_received_before_retained`]. Reports
    /// that are still missing up to that sequence number are no longer expected, and are counted as
    /// abandoned.
    ///
    /// Entries are discarded because their intervals start too early, and reports that start as early are no
    /// longer accepted. The interval starts of a reporter's reports, corrections apart, do not decrease with
    /// the sequence number. A report that is missing before a discarded entry starts no later than that
    /// entry, and so also too early. Missing reports with a number above `discarded_through` may still
    /// arrive.
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

    /// Returns the highest received sequence number that is lower than all sequence numbers for which the log
    /// still has an entry or a correction. Returns 0 if there is none. If the log has no entries and no
    /// corrections, returns the highest received sequence number.
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
