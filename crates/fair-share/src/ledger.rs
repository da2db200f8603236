//! Usage ledger, which turns the usage reports of all reporters into closed accounting windows.
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

/// Counts of the reports of one reporter that changed nothing. They are not serialized with the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscardCounts {
    /// Number of rejected reports, by the reason for the rejection.
    pub rejected: BTreeMap<ReportRejection, u64>,
    /// Number of reports that had been recorded before.
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

/// Limit of the absolute value of an instant, in milliseconds of Unix time. Instants are clamped to this
/// limit, so that no sum of them exceeds 64 bits.
const MAX_INSTANT_MS: i64 = 1 << 60;
/// Number of steps into which the horizon is divided. The start of the horizon moves by whole steps. Each
/// move discards old entries, which scans all entries that are kept; therefore the horizon does not move with
/// each window.
const STEPS_PER_HORIZON: i64 = 16;

/// Usage ledger: the accounts of all reporters, with their usage in the open windows and in the closed
/// windows since the start of the horizon.
///
/// The serialized form of the ledger does not depend on the order and repetition of the reports between two
/// calls of [`UsageLedger::advance`] or [`UsageLedger::enroll`]. [`DiscardCounts`] are not serialized.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct UsageLedger {
    settings: LedgerSettings,
    enrollment: Enrollment,
    first_open_window: i64,
    accounts: BTreeMap<Name, ReporterAccount>,
    #[serde(skip)]
    discard_counts_by_reporter: BTreeMap<Name, DiscardCounts>,
    #[serde(skip)]
    unknown_reporter_count: u64,
}

impl UsageLedger {
    /// Creates an empty ledger, whose first open window contains `begin_ms`, in milliseconds of Unix time.
    ///
    /// # Errors
    /// A [`SettingsError`] if a setting is out of range.
    pub fn new(settings: LedgerSettings, begin_ms: i64) -> Result<UsageLedger, SettingsError> {
        settings.validate()?;
        Ok(UsageLedger {
            settings,
            enrollment: Enrollment::default(),
            first_open_window: clamp_instant(begin_ms).div_euclid(settings.window_ms.into()),
            accounts: BTreeMap::new(),
            discard_counts_by_reporter: BTreeMap::new(),
            unknown_reporter_count: 0,
        })
    }

    /// Replaces the enrollment. Windows no longer wait for reporters that are not in the new enrollment, but
    /// the recorded usage of such reporters stays.
    ///
    /// # Errors
    /// An [`EnrollmentError`] if the enrollment exceeds a limit; the previous enrollment then stays in place.
    pub fn enroll(&mut self, enrollment: Enrollment) -> Result<(), EnrollmentError> {
        enrollment.validate()?;
        self.enrollment = enrollment;
        self.discard_counts_by_reporter.retain(|name, _| self.enrollment.reporters.contains_key(name));
        Ok(())
    }

    /// Records a report. `now_ms`, in milliseconds of Unix time, is used only to reject intervals in the
    /// future.
    ///
    /// # Errors
    /// The reason why the report was rejected. The rejection is counted; nothing else changes.
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
            self.discard_counts_by_reporter.entry(name.clone()).or_default().count(result);
        }
        result
    }

    /// Advances the time to `now_ms`, in milliseconds of Unix time, and returns the windows that close at
    /// this call, in the order of their indexes.
    ///
    /// A window closes when its end has passed and the watermarks of all live reporters, which are the
    /// enrolled reporters that are not in `dead_reporters`, have reached that end. When the maximum close
    /// delay after its end has passed, a window closes even without these watermarks; if there is no live
    /// reporter, the window closes only then. Windows without usage, adjustments and excess are omitted from
    /// the result.
    ///
    /// The watermark of an incarnation is the instant up to which its reports are complete: the latest
    /// interval start among the reports before the first gap in their sequence numbers. The watermark of a
    /// reporter is the latest watermark of its incarnations, so that gaps in the reports of an earlier
    /// incarnation do not hold back the reporter's watermark after a restart.
    pub fn advance(&mut self, now_ms: i64, dead_reporters: &BTreeSet<Name>) -> Vec<ClosedWindow> {
        self.accounts.values_mut().for_each(|account| account.advance_watermark(&self.settings));
        let first_open = self.next_open_window(clamp_instant(now_ms), dead_reporters);
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

    /// Index of the first window that stays open when the time is advanced to `now_ms`. A window closes when
    /// its end has passed and all live reporters' watermarks have reached that end, at the latest when the
    /// maximum close delay after that end has passed. If there is no live reporter, only that delay counts.
    fn next_open_window(&self, now_ms: i64, dead_reporters: &BTreeSet<Name>) -> i64 {
        let forced_close_ms = now_ms.saturating_sub(self.settings.max_close_delay_ms.into());
        let live_reporters = self.enrollment.reporters.keys().filter(|name| !dead_reporters.contains(*name));
        let min_watermark_ms =
            live_reporters.map(|name| self.watermark_or_min(name)).min().unwrap_or(forced_close_ms);
        // Watermarks do not close a window before its end by the clock.
        min_watermark_ms.min(now_ms).max(forced_close_ms).div_euclid(self.settings.window_ms.into())
    }

    /// Returns the windows from `first_closed` up to the first open window, exclusive, by index, with their
    /// usage. The window `first_closed` also has the adjustments of all earlier windows.
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

    /// Discards the windows and entries before the horizon, and the empty accounts of reporters that are not
    /// enrolled.
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

    /// Usage reported so far in the window that contains `instant_ms`, an instant in milliseconds of Unix
    /// time.
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

    /// Watermark of a reporter as of the last advance, in milliseconds of Unix time: the reporter has
    /// reported all its usage before this instant. `None` if it has no watermark yet.
    pub fn watermark(&self, reporter: &str) -> Option<i64> {
        self.accounts.get(reporter).and_then(ReporterAccount::watermark_ms)
    }

    /// Start of the first open window, in milliseconds of Unix time.
    pub fn open_window_start_ms(&self) -> i64 {
        self.first_open_window * i64::from(self.settings.window_ms)
    }

    /// Missing sequence numbers of each incarnation of a reporter.
    pub fn sequence_gaps(&self, reporter: &str) -> Vec<SequenceGaps> {
        self.accounts.get(reporter).into_iter().flat_map(ReporterAccount::sequence_gaps).collect()
    }

    /// Counts of the rejected and duplicate reports of a reporter; all 0 if it is not enrolled.
    pub fn discard_counts(&self, reporter: &str) -> DiscardCounts {
        self.discard_counts_by_reporter.get(reporter).cloned().unwrap_or_default()
    }

    /// Number of rejected reports from reporters that are not enrolled.
    pub fn unknown_reporter_count(&self) -> u64 {
        self.unknown_reporter_count
    }

    fn watermark_or_min(&self, reporter: &Name) -> i64 {
        self.watermark(reporter.as_str()).unwrap_or(i64::MIN)
    }

    /// Enrolled reporters that have not reported all usage of a window.
    fn incomplete_reporters(&self, index: i64) -> impl Iterator<Item = &Name> {
        let end_ms = index.saturating_add(1).saturating_mul(self.settings.window_ms.into());
        self.enrollment.reporters.keys().filter(move |name| self.watermark_or_min(name) < end_ms)
    }

    /// Index of the first window that the ledger retains: the start of the horizon, rounded down to a
    /// multiple of the step length. A step is the horizon divided by [`STEPS_PER_HORIZON`], but at least one
    /// window.
    fn first_retained_window(&self) -> i64 {
        let windows = i64::from(self.settings.horizon_ms / self.settings.window_ms);
        let step = (windows / STEPS_PER_HORIZON).max(1);
        (self.first_open_window - windows).div_euclid(step) * step
    }
}

fn clamp_instant(instant_ms: i64) -> i64 {
    instant_ms.clamp(-MAX_INSTANT_MS, MAX_INSTANT_MS)
}

/// Records a valid report in the account of its reporter, which is created only if the report is accepted.
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
    // The account is inserted under the enrollment's name instead of the equal name in the report, because
    // clones of a name share memory: the ledger then holds the text of the name only once.
    accounts.insert(reporter.clone(), account);
    Ok(outcome)
}
