//! The usage ledger, which turns the usage reports of all reporters into closed accounting windows.
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

/// Counts of those usage reports of one reporter that changed nothing. The counts are not serialized with the
/// ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscardCounts {
    /// The number of the reporter's rejected reports, by the reason for the rejection.
    pub rejected: BTreeMap<ReportRejection, u64>,
    /// How many of the reporter's reports repeated a report that the ledger had already recorded.
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

/// The limit of the absolute value of an instant, in milliseconds of Unix time. Instants are clamped to this
/// limit. Otherwise sums with an instant could exceed 64 bits.
const MAX_INSTANT_MS: i64 = 1 << 60;
/// The number of steps into which the horizon is divided. The horizon is a length of time: a usage report is
/// accepted only if its interval starts at most this long before the first accounting window that is open.
///
/// Entries of reports that are older than the horizon are discarded, and each time this requires a scan of
/// all entries. The ledger therefore discards them only when the first open window has moved on by a step. A
/// scan after every closed window would be too often.
const STEPS_PER_HORIZON: i64 = 16;

/// The usage ledger. It contains the accounts of all reporters, with their usage in the open windows and in
/// those closed windows for which it still accepts reports. How far back these windows reach is the horizon
/// ([`LedgerSettings::horizon_ms`]).
///
/// The serialized form of the ledger does not depend on the order or repetition of the reports between two
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
    /// Creates an empty ledger. Its first open window is the one that contains the instant `begin_ms`, in
    /// milliseconds of Unix time.
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

    /// Replaces the enrollment. Windows no longer wait for reporters that the new enrollment does not list.
    /// The usage that such reporters have reported stays recorded.
    ///
    /// # Errors
    /// An [`EnrollmentError`] if the enrollment exceeds a limit. The previous enrollment then stays in place.
    pub fn enroll(&mut self, enrollment: Enrollment) -> Result<(), EnrollmentError> {
        enrollment.validate()?;
        self.enrollment = enrollment;
        self.discard_counts_by_reporter.retain(|name, _| self.enrollment.reporters.contains_key(name));
        Ok(())
    }

    /// Records a usage report. The current time `now_ms`, in milliseconds of Unix time, is used only to
    /// reject intervals in the future.
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

    /// Advances the ledger to the current time `now_ms`, in milliseconds of Unix time. Returns the windows
    /// that close at this call, in the order of their indexes. A window is left out if it has no work, no
    /// adjustments and no excess; [`ClosedWindow`] explains these.
    ///
    /// A window closes when its end has passed and all live reporters have reported their usage up to that
    /// end. A live reporter is an enrolled reporter that is not in `dead_reporters`. At the latest, a window
    /// closes when the time [`LedgerSettings::max_close_delay_ms`] after its end has passed. If there is no
    /// live reporter, it always closes at that latest time.
    ///
    /// The watermark of a reporter is the instant before which it has reported all its usage. Each
    /// incarnation, which is one run of the reporter, has a watermark. It is the latest start of a reported
    /// interval, among the reports before the first missing sequence number. Later reports do not start
    /// earlier, apart from corrections. The latest watermark of all incarnations is that of the reporter.
    /// Therefore missing reports of an earlier incarnation do not keep windows open after the reporter has
    /// restarted.
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

    /// Returns the index of the first window that stays open when the ledger advances to `now_ms`. A window
    /// closes when its end has passed and the watermarks of all live reporters have reached that end. It
    /// closes at the latest when the maximum close delay after its end has passed. If there is no live
    /// reporter, only that delay counts.
    fn next_open_window(&self, now_ms: i64, dead_reporters: &BTreeSet<Name>) -> i64 {
        let forced_close_ms = now_ms.saturating_sub(self.settings.max_close_delay_ms.into());
        let live_reporters = self.enrollment.reporters.keys().filter(|name| !dead_reporters.contains(*name));
        let min_watermark_ms =
            live_reporters.map(|name| self.watermark_or_min(name)).min().unwrap_or(forced_close_ms);
        // Reports may reach beyond `now_ms`, because some clock skew is accepted. Even so, a window does not
        // close before `now_ms` has reached the end of the window.
        min_watermark_ms.min(now_ms).max(forced_close_ms).div_euclid(self.settings.window_ms.into())
    }

    /// Returns the windows that have closed, by index and with their usage. These are the windows from
    /// `first_closed` up to the first open window, exclusive.
    ///
    /// Reports that arrived late may have changed the usage in windows before `first_closed`, which were
    /// returned earlier. The changes of all these windows are added to the window `first_closed` as its
    /// adjustments.
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

    /// Discards the windows that have become too old for the ledger to retain. Also discards the log entries
    /// of usage reports whose interval starts in these windows. Then removes the accounts that are empty and
    /// whose reporter is not enrolled.
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

    /// The usage reported so far in the accounting window that contains `instant_ms`, an instant in
    /// milliseconds of Unix time.
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

    /// The watermark of a reporter, in milliseconds of Unix time: the reporter has reported all its usage
    /// before this instant. The watermark is as of the last call of [`UsageLedger::advance`]. `None` if the
    /// reporter has no watermark yet.
    pub fn watermark(&self, reporter: &str) -> Option<i64> {
        self.accounts.get(reporter).and_then(ReporterAccount::watermark_ms)
    }

    /// The start of the first open window, in milliseconds of Unix time.
    pub fn open_window_start_ms(&self) -> i64 {
        self.first_open_window * i64::from(self.settings.window_ms)
    }

    /// The missing sequence numbers of a reporter, for each of its incarnations that the ledger still knows.
    pub fn sequence_gaps(&self, reporter: &str) -> Vec<SequenceGaps> {
        self.accounts.get(reporter).into_iter().flat_map(ReporterAccount::sequence_gaps).collect()
    }

    /// The numbers of a reporter's rejected and duplicate reports. All are 0 if the reporter is not enrolled.
    pub fn discard_counts(&self, reporter: &str) -> DiscardCounts {
        self.discard_counts_by_reporter.get(reporter).cloned().unwrap_or_default()
    }

    /// The number of reports that were rejected because their reporter is not enrolled.
    pub fn unknown_reporter_count(&self) -> u64 {
        self.unknown_reporter_count
    }

    fn watermark_or_min(&self, reporter: &Name) -> i64 {
        self.watermark(reporter.as_str()).unwrap_or(i64::MIN)
    }

    /// The enrolled reporters that have not yet reported all their usage in the window with this index.
    fn incomplete_reporters(&self, index: i64) -> impl Iterator<Item = &Name> {
        let end_ms = index.saturating_add(1).saturating_mul(self.settings.window_ms.into());
        self.enrollment.reporters.keys().filter(move |name| self.watermark_or_min(name) < end_ms)
    }

    /// The index of the first window that the ledger retains. The ledger accepts reports for this window and
    /// all later windows. Some of these have already closed: their usage was returned by
    /// [`UsageLedger::advance`], and later reports change it by adjustments.
    ///
    /// The index is that of the first open window minus the horizon in windows, rounded down to a multiple of
    /// a step. The horizon ([`LedgerSettings::horizon_ms`]) is how far back reports are accepted. A step is
    /// the horizon divided by [`STEPS_PER_HORIZON`], but at least one window.
    fn first_retained_window(&self) -> i64 {
        let windows = i64::from(self.settings.horizon_ms / self.settings.window_ms);
        let step = (windows / STEPS_PER_HORIZON).max(1);
        (self.first_open_window - windows).div_euclid(step) * step
    }
}

fn clamp_instant(instant_ms: i64) -> i64 {
    instant_ms.clamp(-MAX_INSTANT_MS, MAX_INSTANT_MS)
}

/// Records a usage report, which [`validate_report`] has checked, in the account of its reporter. The account
/// may still reject the report, and then nothing is recorded. If the reporter has no account, one is created,
/// but only if the report is not rejected.
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
    // The account is inserted under the name from the enrollment, not under the equal name from the report.
    // Clones of a name share memory, so that the ledger holds the text of the name only once.
    accounts.insert(reporter.clone(), account);
    Ok(outcome)
}
