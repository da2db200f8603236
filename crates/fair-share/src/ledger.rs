//! The usage ledger: the accounts of all reporters, and the accounting windows that close over them.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::enrollment::{Enrollment, EnrollmentError};
use crate::incarnation_log::SequenceGaps;
use crate::reporter_account::{AccountContext, ReporterAccount};
use crate::settings::{LedgerSettings, SettingsError};
use crate::usage_report::{ReportOutcome, ReportRejection, UsageReport};
use crate::validation::validate_report;
use crate::window::{ClosedWindow, ProvisionalUsage};

/// The reports of one reporter that changed nothing. The counts are not serialized with the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscardCounts {
    /// Reports that were rejected, by reason.
    pub rejected: BTreeMap<ReportRejection, u64>,
    /// Reports that were recorded before.
    pub duplicates: u64,
}

impl DiscardCounts {
    fn count(&mut self, result: Result<ReportOutcome, ReportRejection>) {
        match result {
            Err(rejection) => *self.rejected.entry(rejection).or_default() += 1,
            Ok(_) => self.duplicates += 1,
        }
    }
}

/// Instants are clamped to this, so that no sum of them exceeds 64 bits.
const MAX_INSTANT_MS: i64 = 1 << 60;
/// The horizon moves by this part of its length at once, since to discard is to look at all that is kept.
const HORIZON_STEPS: i64 = 16;

/// The usage ledger. Serialized it is the same bytes for the same reports in any order and repetition, after the same
/// calls of [`UsageLedger::advance`] and [`UsageLedger::enroll`]; [`DiscardCounts`] are not serialized.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsageLedger {
    settings: LedgerSettings,
    enrollment: Enrollment,
    first_open_window: i64,
    accounts: BTreeMap<Name, ReporterAccount>,
    #[serde(skip)]
    discarded: BTreeMap<Name, DiscardCounts>,
    #[serde(skip)]
    unknown_reporter_count: u64,
}

impl UsageLedger {
    /// An empty ledger: the window that holds `begin_ms`, in milliseconds of Unix time, is the first open one.
    ///
    /// # Errors
    /// Settings out of their bounds.
    pub fn new(settings: LedgerSettings, begin_ms: i64) -> Result<UsageLedger, SettingsError> {
        settings.validate()?;
        Ok(UsageLedger {
            settings,
            enrollment: Enrollment::default(),
            first_open_window: clamp_instant(begin_ms).div_euclid(settings.window_ms.into()),
            accounts: BTreeMap::new(),
            discarded: BTreeMap::new(),
            unknown_reporter_count: 0,
        })
    }

    /// Replaces the enrollment. No window waits for a reporter that is no longer enrolled; its usage stays.
    ///
    /// # Errors
    /// An enrollment out of its bounds; the former one stays.
    pub fn enroll(&mut self, enrollment: Enrollment) -> Result<(), EnrollmentError> {
        enrollment.validate()?;
        self.enrollment = enrollment;
        self.discarded.retain(|name, _| self.enrollment.reporters.contains_key(name));
        Ok(())
    }

    /// Records a report. `now_ms`, in milliseconds of Unix time, determines only what is in the future.
    ///
    /// # Errors
    /// Why the report was rejected: that is counted, and nothing else changes.
    pub fn record(&mut self, now_ms: i64, report: UsageReport) -> Result<ReportOutcome, ReportRejection> {
        let Some((name, reporter)) = self.enrollment.reporters.get_key_value(&report.reporter) else {
            self.unknown_reporter_count += 1;
            return Err(ReportRejection::UnknownReporter);
        };
        let context = AccountContext {
            settings: &self.settings,
            slots: reporter.slots,
            first_open_window: self.first_open_window,
            first_retained_window: self.first_retained_window(),
        };
        let now_ms = clamp_instant(now_ms);
        let result = validate_report(&self.settings, &self.enrollment, reporter, now_ms, report)
            .and_then(|report| record_in_account(&mut self.accounts, name, context, report));
        if matches!(result, Ok(ReportOutcome::Duplicate) | Err(_)) {
            self.discarded.entry(name.clone()).or_default().count(result);
        }
        result
    }

    /// Advances the time to `now_ms`, in milliseconds of Unix time, and closes the windows that are over.
    ///
    /// A window is over when the watermarks of all reporters that are enrolled and not in `dead` are past it, or when
    /// `now_ms` is past its end by the longest delay. A reporter's watermark is the start of the last report before
    /// its first gap. Windows without usage, and with nothing to settle, are left out.
    pub fn advance(&mut self, now_ms: i64, dead: &BTreeSet<Name>) -> Vec<ClosedWindow> {
        self.accounts.values_mut().for_each(|account| account.advance_watermark(&self.settings));
        let first_open = self.next_open_window(clamp_instant(now_ms), dead);
        if first_open <= self.first_open_window {
            return Vec::new();
        }
        let former_first_retained = self.first_retained_window();
        let first_closed = std::mem::replace(&mut self.first_open_window, first_open);
        let mut closed = self.collect_closed(first_closed);
        for (&index, window) in &mut closed {
            window.index = index;
            window.remove_zeros();
            window.incomplete_reporters = self.incomplete_reporters(index).cloned().collect();
        }
        self.discard_before_horizon(former_first_retained);
        closed.into_values().collect()
    }

    /// The first window that is open at an instant.
    fn next_open_window(&self, now_ms: i64, dead: &BTreeSet<Name>) -> i64 {
        let latest_close_ms = now_ms.saturating_sub(self.settings.max_close_delay_ms.into());
        let living = self.enrollment.reporters.keys().filter(|name| !dead.contains(*name));
        let reported_ms = living.map(|name| self.watermark_or_min(name)).min().unwrap_or(latest_close_ms);
        // No watermark closes a window that is not over by the clock.
        reported_ms.min(now_ms).max(latest_close_ms).div_euclid(self.settings.window_ms.into())
    }

    /// The windows from `first_closed` to the first open one: their usage, and what is settled with the first.
    fn collect_closed(&mut self, first_closed: i64) -> BTreeMap<i64, ClosedWindow> {
        let mut closed: BTreeMap<i64, ClosedWindow> = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            let adjustments = account.settle_changes(first_closed);
            if !adjustments.is_zero() {
                closed.entry(first_closed).or_default().add_adjustments(name, adjustments);
            }
            for index in account.windows_in(first_closed..self.first_open_window) {
                let window = closed.entry(index).or_default();
                if let Some(usage) = account.window_usage(index) {
                    window.add_usage(name, usage);
                }
            }
        }
        closed
    }

    /// Discards what the horizon passed, and the accounts of which nothing is left.
    fn discard_before_horizon(&mut self, former_first_retained: i64) {
        let first_retained = self.first_retained_window();
        if first_retained > former_first_retained {
            self.accounts
                .values_mut()
                .for_each(|account| account.discard_before(first_retained, &self.settings));
        }
        let enrolled = &self.enrollment.reporters;
        self.accounts.retain(|name, account| enrolled.contains_key(name) || !account.is_empty());
    }

    /// What is known of the window that holds an instant, in milliseconds of Unix time.
    pub fn provisional_usage(&self, instant_ms: i64) -> ProvisionalUsage {
        let index = instant_ms.div_euclid(self.settings.window_ms.into());
        let mut provisional = ProvisionalUsage::default();
        for account in self.accounts.values() {
            for (tenant, work) in account.window_usage(index).unwrap_or_default().work_by_tenant {
                *provisional.work.entry(tenant).or_default() += work.unsigned_abs();
            }
        }
        for name in self.incomplete_reporters(index) {
            let slots = self.enrollment.reporters[name].slots;
            let capacity = u64::from(slots) * u64::from(self.settings.window_ms);
            let account = self.accounts.get(name);
            let usage = account.and_then(|account| account.window_usage(index)).unwrap_or_default();
            provisional.max_outstanding += capacity.saturating_sub(usage.total_work());
        }
        provisional
    }

    /// Up to when a reporter has reported all, in milliseconds of Unix time, as of the last advance.
    pub fn watermark(&self, reporter: &str) -> Option<i64> {
        self.accounts.get(reporter).and_then(ReporterAccount::watermark_ms)
    }

    /// The beginning of the first open window, in milliseconds of Unix time.
    pub fn open_window_start_ms(&self) -> i64 {
        self.first_open_window * i64::from(self.settings.window_ms)
    }

    /// What is missing of each of a reporter's incarnations.
    pub fn sequence_gaps(&self, reporter: &str) -> Vec<SequenceGaps> {
        self.accounts.get(reporter).into_iter().flat_map(ReporterAccount::sequence_gaps).collect()
    }

    /// How many reports of an enrolled reporter were rejected or duplicates.
    pub fn discard_counts(&self, reporter: &str) -> DiscardCounts {
        self.discarded.get(reporter).cloned().unwrap_or_default()
    }

    /// How many reports came from reporters that are not enrolled.
    pub fn unknown_reporter_count(&self) -> u64 {
        self.unknown_reporter_count
    }

    fn watermark_or_min(&self, reporter: &Name) -> i64 {
        self.watermark(reporter.as_str()).unwrap_or(i64::MIN)
    }

    /// The enrolled reporters that have not reported all of a window.
    fn incomplete_reporters(&self, index: i64) -> impl Iterator<Item = &Name> {
        let end_ms = index.saturating_add(1).saturating_mul(self.settings.window_ms.into());
        self.enrollment.reporters.keys().filter(move |name| self.watermark_or_min(name) < end_ms)
    }

    /// The first window that is retained.
    fn first_retained_window(&self) -> i64 {
        let windows = i64::from(self.settings.horizon_ms / self.settings.window_ms);
        let step = (windows / HORIZON_STEPS).max(1);
        (self.first_open_window - windows).div_euclid(step) * step
    }
}

fn clamp_instant(instant_ms: i64) -> i64 {
    instant_ms.clamp(-MAX_INSTANT_MS, MAX_INSTANT_MS)
}

/// Records a valid report; an account is created only if the report is accepted.
fn record_in_account(
    accounts: &mut BTreeMap<Name, ReporterAccount>,
    reporter: &Name,
    context: AccountContext<'_>,
    report: UsageReport,
) -> Result<ReportOutcome, ReportRejection> {
    if let Some(account) = accounts.get_mut(reporter) {
        return account.record(context, report);
    }
    let mut account = ReporterAccount::default();
    let outcome = account.record(context, report)?;
    // The name shares the memory of the enrollment's.
    accounts.insert(reporter.clone(), account);
    Ok(outcome)
}
