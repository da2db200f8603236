//! The reports of one incarnation of a reporter, by sequence number.
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use rangemap::RangeInclusiveSet;
use serde::{Deserialize, Serialize};

use crate::settings::LedgerSettings;
use crate::usage_entry::UsageEntry;
use crate::usage_report::ReportRejection;

/// The sequence numbers of an incarnation that are missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceGaps {
    /// The incarnation.
    pub incarnation: u64,
    /// Sequence numbers that were not received, though a later one was.
    pub missing: Vec<RangeInclusive<u64>>,
    /// How many were never received and are no longer waited for.
    pub abandoned: u64,
}

/// The relation of an entry to what its log holds for the same sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EntryStatus {
    /// The log holds none.
    New,
    /// The log holds the same one, or held one that is no longer kept.
    Duplicate,
    /// The log holds another one, which compares greater.
    Replacement,
}

/// The entries that an insertion changed: which of them counted before, and which count after.
pub(crate) struct EntryChange {
    pub(crate) before: Vec<UsageEntry>,
    pub(crate) after: Vec<UsageEntry>,
}

/// The log of one incarnation. Its owner is the reporter's account.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct IncarnationLog {
    /// Sequence numbers that were received, or are no longer waited for; all up to `discarded_through` are among them.
    received: RangeInclusiveSet<u64>,
    /// The entries up to this sequence number were discarded.
    discarded_through: u64,
    /// The highest sequence number that is accepted until the next advance.
    max_accepted: u64,
    /// All up to this sequence number had been received at the last advance.
    contiguous_through: u64,
    /// The latest start of an interval among those.
    watermark_ms: Option<i64>,
    /// How many sequence numbers were never received and are no longer waited for.
    abandoned: u64,
    /// Whether there was no advance since the first entry.
    is_new: bool,
    entries: BTreeMap<u64, UsageEntry>,
    /// By sequence number, the sequence numbers of its corrections.
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

    /// What is missing of this log, which is that of `incarnation`.
    pub(crate) fn sequence_gaps(&self, incarnation: u64) -> SequenceGaps {
        let all = 1..=self.highest_received();
        let missing = if all.is_empty() { Vec::new() } else { self.received.gaps(&all).collect() };
        SequenceGaps { incarnation, missing, abandoned: self.abandoned }
    }

    /// Whether an entry may be inserted, and what it is to the log. `corrects` is the report's: a 0 there, which the
    /// entry does not hold, is rejected.
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
            // The usual case: nothing else is affected.
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

    /// The entry that counts for a sequence number: that of its last correction, or its own. A correction's own entry
    /// does not count beside that, and a correction of a correction is void; so the order of arrival does not matter.
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

    /// All entries that count.
    pub(crate) fn effective_entries(&self) -> impl Iterator<Item = &UsageEntry> {
        let corrected_only = self.corrections.keys().filter(|sequence| !self.entries.contains_key(sequence));
        self.entries.keys().chain(corrected_only).filter_map(|&sequence| self.effective_entry(sequence))
    }

    /// Moves the watermark past what was received without a gap, and the limit of what is accepted.
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

    /// Discards the entries that begin before an instant, each with what it corrects and what corrects it, so that
    /// nothing that is left can change what was discarded.
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
        // Whether or not it was received, it is no longer accepted.
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

    /// Stops waiting for what is missing before the first entry that is kept: it is older than the horizon, as starts
    /// never decrease. What is missing after that entry may still arrive.
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

    /// The last sequence number that was received before the first one that is kept, as an entry or as corrected by
    /// one; the highest one received if none is kept.
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
