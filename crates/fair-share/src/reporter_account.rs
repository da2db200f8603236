//! The account of one reporter in the usage ledger.
use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::incarnation_log::{EntryStatus, IncarnationLog, SequenceGaps};
use crate::settings::LedgerSettings;
use crate::usage_entry::UsageEntry;
use crate::usage_report::{ReportOutcome, ReportRejection, UsageReport};
use crate::window_usage::{UsageDelta, WindowUsage};

/// The values from the ledger and from the reporter's enrollment that are needed to change the reporter's
/// account.
#[derive(Clone, Copy)]
pub(crate) struct AccountContext<'a> {
    pub(crate) settings: &'a LedgerSettings,
    /// The number of slots in the reporter's pool.
    pub(crate) slots: u32,
    /// The index of the first accounting window that is still open.
    pub(crate) first_open_window: i64,
    /// The index of the first accounting window that the ledger still retains.
    pub(crate) first_retained_window: i64,
}

impl AccountContext<'_> {
    fn window_ms(&self) -> i64 {
        self.settings.window_ms.into()
    }

    fn window_of(&self, instant_ms: i64) -> i64 {
        instant_ms.div_euclid(self.window_ms())
    }

    /// The capacity of the reporter's pool in one window, in slot-milliseconds.
    fn window_capacity(&self) -> u64 {
        u64::from(self.slots) * u64::from(self.settings.window_ms)
    }
}

/// The account of one reporter in the ledger. It contains the reporter's usage by window. It also contains a
/// log of usage reports for each incarnation, which is one run of the reporter.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct ReporterAccount {
    incarnations: BTreeMap<u64, IncarnationLog>,
    /// The oldest incarnation of the reporter from which reports are accepted.
    oldest_incarnation: u64,
    watermark_ms: Option<i64>,
    windows: BTreeMap<i64, WindowUsage>,
}

impl ReporterAccount {
    /// Records a report of the account's reporter. The tenant, the interval and the work of the report must
    /// already be checked.
    pub(crate) fn record(
        &mut self,
        context: AccountContext<'_>,
        report: UsageReport,
    ) -> Result<ReportOutcome, ReportRejection> {
        let UsageReport { incarnation, sequence, corrects, .. } = report;
        let window = context.window_of(report.start_ms);
        if window < context.first_retained_window {
            return Err(ReportRejection::BeforeHorizon);
        }
        let outdated = self.incarnation_to_discard(incarnation, context.settings)?;
        let empty_log = IncarnationLog::new(context.settings);
        let log = self.incarnations.get(&incarnation).unwrap_or(&empty_log);
        let entry = UsageEntry::new(report);
        let outcome = match log.classify(sequence, &entry, corrects)? {
            EntryStatus::Duplicate => return Ok(ReportOutcome::Duplicate),
            EntryStatus::Replacement => ReportOutcome::Replaced,
            EntryStatus::New if window < context.first_open_window => ReportOutcome::Late,
            EntryStatus::New => ReportOutcome::Counted,
        };
        if let Some(outdated) = outdated {
            self.discard_incarnation(outdated, context);
        }
        let change = self.incarnations.entry(incarnation).or_insert(empty_log).insert(sequence, entry);
        change.before.iter().for_each(|entry| self.subtract_from_windows(entry, context));
        change.after.iter().for_each(|entry| self.add_to_windows(entry, context));
        change.before.iter().for_each(|entry| self.prune_windows(entry, context));
        Ok(outcome)
    }

    /// Returns the incarnation that must be discarded so that the incarnation of a new report can be added;
    /// `None` if none must be.
    ///
    /// An incarnation is new until the next call of [`crate::UsageLedger::advance`], and at most
    /// `max_incarnations` may be new. Beyond this limit, the lowest new incarnation is discarded. The highest
    /// incarnations are therefore kept, whatever the order in which their reports arrive.
    ///
    /// # Errors
    /// [`ReportRejection::OldIncarnation`] if the incarnation of the report is too old to be kept.
    fn incarnation_to_discard(
        &self,
        incarnation: u64,
        settings: &LedgerSettings,
    ) -> Result<Option<u64>, ReportRejection> {
        if incarnation < self.oldest_incarnation {
            return Err(ReportRejection::OldIncarnation);
        }
        if self.incarnations.contains_key(&incarnation) {
            return Ok(None);
        }
        let new_logs = || self.incarnations.iter().filter(|(_, log)| log.is_new());
        if new_logs().count() < settings.max_incarnations.into() {
            return Ok(None);
        }
        match new_logs().next() {
            Some((&oldest_new, _)) if incarnation < oldest_new => Err(ReportRejection::OldIncarnation),
            oldest_new => Ok(oldest_new.map(|(&oldest_new, _)| oldest_new)),
        }
    }

    /// Removes the log of an incarnation, which is one run of the reporter, and subtracts the work that it
    /// reported from the windows. The log must have been added since the last call of
    /// [`crate::UsageLedger::advance`].
    fn discard_incarnation(&mut self, incarnation: u64, context: AccountContext<'_>) {
        let Some(log) = self.incarnations.remove(&incarnation) else { return };
        log.effective_entries().for_each(|entry| self.subtract_from_windows(entry, context));
        log.effective_entries().for_each(|entry| self.prune_windows(entry, context));
    }

    fn add_to_windows(&mut self, entry: &UsageEntry, context: AccountContext<'_>) {
        self.update_windows(entry, context, u64::saturating_add);
    }

    fn subtract_from_windows(&mut self, entry: &UsageEntry, context: AccountContext<'_>) {
        self.update_windows(entry, context, u64::saturating_sub);
    }

    fn update_windows(
        &mut self,
        entry: &UsageEntry,
        context: AccountContext<'_>,
        update: fn(u64, u64) -> u64,
    ) {
        for (index, work) in entry.split_by_window(context.window_ms()).filter(|&(_, work)| work > 0) {
            let usage =
                self.windows.entry(index).or_insert_with(|| WindowUsage::new(context.window_capacity()));
            if index < context.first_open_window {
                usage.save_settled_work();
            }
            usage.update_work(entry.tenant(), work, update);
        }
    }

    /// Removes the windows that are empty after an entry was subtracted. The serialized form is then the same
    /// as if the entry had never been received.
    fn prune_windows(&mut self, entry: &UsageEntry, context: AccountContext<'_>) {
        for (index, _) in entry.split_by_window(context.window_ms()) {
            let Some(usage) = self.windows.get_mut(&index) else { continue };
            usage.clear_settled_work_if_unchanged();
            if usage.is_empty() {
                self.windows.remove(&index);
            }
        }
    }

    /// Updates the watermark of each incarnation, which is the latest interval start among its reports before
    /// the first missing sequence number. The watermark of the account becomes the latest of these
    /// watermarks, but never goes back. Then removes the oldest incarnations until at most `max_incarnations`
    /// are left. The work of the removed incarnations stays in the windows.
    pub(crate) fn advance_watermark(&mut self, settings: &LedgerSettings) {
        self.incarnations.values_mut().for_each(|log| log.advance_watermark(settings));
        let latest_ms = self.incarnations.values().filter_map(IncarnationLog::watermark_ms).max();
        self.watermark_ms = latest_ms.max(self.watermark_ms);
        while self.incarnations.len() > settings.max_incarnations.into() {
            self.incarnations.pop_first();
            self.oldest_incarnation = self.incarnations.keys().next().copied().unwrap_or(0);
        }
    }

    /// The watermark of the reporter, in milliseconds of Unix time. The reporter has reported all its usage
    /// before this instant. `None` if the reporter has no watermark yet.
    pub(crate) fn watermark_ms(&self) -> Option<i64> {
        self.watermark_ms
    }

    /// Returns how the reporter's usage in closed windows has changed since the windows were closed or this
    /// function was last called. The caller adds the change as adjustments to a window that closes now.
    pub(crate) fn settle_changes(&mut self, first_open_window: i64) -> UsageDelta {
        let mut delta = UsageDelta::default();
        let mut emptied = Vec::new();
        for (&index, usage) in self.windows.range_mut(..first_open_window) {
            if usage.settle(&mut delta) && usage.is_empty() {
                emptied.push(index);
            }
        }
        for index in emptied {
            self.windows.remove(&index);
        }
        delta.work_by_tenant.retain(|_, work| *work != 0);
        delta
    }

    /// The reporter's usage in one window: the reported work up to the capacity of the reporter's pool, and
    /// the excess above that capacity. `None` if the account has no usage for the window.
    pub(crate) fn window_usage(&self, index: i64) -> Option<UsageDelta> {
        let usage = self.windows.get(&index)?;
        let mut delta = UsageDelta::default();
        delta.add(&usage.counted_work());
        Some(delta)
    }

    /// The indexes of the windows in `range` for which the account has usage of the reporter.
    pub(crate) fn windows_in(&self, range: Range<i64>) -> impl Iterator<Item = i64> {
        self.windows.range(range).map(|(&index, _)| index)
    }

    /// Discards the windows before `first_retained_window`, and the log entries whose interval starts in
    /// these windows.
    pub(crate) fn discard_before(&mut self, first_retained_window: i64, settings: &LedgerSettings) {
        self.windows = self.windows.split_off(&first_retained_window);
        let instant_ms = first_retained_window.saturating_mul(settings.window_ms.into());
        self.incarnations.values_mut().for_each(|log| log.discard_before(instant_ms, settings));
    }

    /// Whether the account has neither windows nor log entries. The ledger removes an empty account unless
    /// its reporter is enrolled.
    pub(crate) fn is_empty(&self) -> bool {
        self.windows.is_empty() && !self.incarnations.values().any(IncarnationLog::has_entries)
    }

    /// The missing sequence numbers of each incarnation of the reporter.
    pub(crate) fn sequence_gaps(&self) -> impl Iterator<Item = SequenceGaps> {
        self.incarnations.iter().map(|(&incarnation, log)| log.sequence_gaps(incarnation))
    }
}
