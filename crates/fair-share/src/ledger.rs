//! The ledger: all reporters, and the windows that close over them.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::account::{Account, Frame};
use crate::report::{
    Enrollment, LedgerSettings, ReportOutcome, ReportRejection, Reporter, UsageReport, WrongBounds,
};

/// A window that is over. What it says never changes; what comes later is an adjustment of a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Closed", deny_unknown_fields)]
pub struct ClosedWindow {
    /// Its number: it begins at so many windows of Unix time.
    #[serde(rename = "window")]
    pub index: i64,
    /// What each tenant did in it, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// What is settled with it of earlier windows, in slot-milliseconds; negative where a correction took some back.
    pub adjustments: BTreeMap<Name, i64>,
    /// What reporters told above what their pools can do in a window, and so does not count; negative where less of
    /// an earlier window is cut than was.
    #[serde(rename = "cut")]
    pub excess: BTreeMap<Name, i64>,
    /// Who had not told of all of it, the dead among them.
    #[serde(rename = "without")]
    pub incomplete_reporters: BTreeSet<Name>,
}

/// What is known of a window so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Provisional", deny_unknown_fields)]
pub struct ProvisionalUsage {
    /// What each tenant did in it as far as it came, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// The most that may still come without a correction, in slot-milliseconds: what the pools can do of those who
    /// have not told of all of it, less what came of them.
    #[serde(rename = "unknown")]
    pub max_outstanding: u64,
}

/// What of a reporter's start is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SequenceGaps {
    /// The start.
    pub incarnation: u64,
    /// Sequences that have not come, though a later one has.
    pub missing: Vec<std::ops::RangeInclusive<u64>>,
    /// How many never came and are no longer asked for.
    pub abandoned: u64,
}

/// What a reporter sent in vain. These are this ledger's own counts and not in its bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DiscardCounts {
    /// Reports that were refused, by reason.
    pub rejected: BTreeMap<ReportRejection, u64>,
    /// Reports that had come before.
    pub duplicates: u64,
}

/// Instants are held within this, so that no sum of them leaves 64 bits.
const MOST_INSTANT: i64 = 1 << 60;

/// The usage ledger. Serialized it is the same bytes for the same reports in any order and repetition, after the same
/// calls of [`Ledger::advance`] and [`Ledger::enroll`]; the counts of what was refused and repeated are not in it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename = "Ledger")]
pub struct UsageLedger {
    settings: LedgerSettings,
    roll: Enrollment,
    /// The first window that is open.
    open: i64,
    accounts: BTreeMap<Name, Account>,
    #[serde(skip)]
    heard: BTreeMap<Name, DiscardCounts>,
    #[serde(skip)]
    strangers: u64,
}

impl UsageLedger {
    /// An empty ledger: the window that holds `begin`, in milliseconds of Unix time, is the first that is open.
    ///
    /// # Errors
    /// Settings out of their bounds.
    pub fn new(settings: LedgerSettings, begin: i64) -> Result<UsageLedger, WrongBounds> {
        settings.check()?;
        let (roll, accounts, heard) = (Enrollment::default(), BTreeMap::new(), BTreeMap::new());
        let open = begin.clamp(-MOST_INSTANT, MOST_INSTANT).div_euclid(settings.window_ms.into());
        Ok(UsageLedger { settings, roll, open, accounts, heard, strangers: 0 })
    }

    /// Says who may report on whom from now on. A reporter that is gone holds nothing; what it told stays.
    ///
    /// # Errors
    /// A roll that is too large; the one before stays.
    pub fn enroll(&mut self, roll: Enrollment) -> Result<(), WrongBounds> {
        roll.check()?;
        self.roll = roll;
        self.heard.retain(|name, _| self.roll.reporters.contains_key(name));
        Ok(())
    }

    /// Takes a report. `now`, in milliseconds of Unix time, says only what is in the future.
    ///
    /// # Errors
    /// A report that was refused: it is counted, and nothing else changes.
    pub fn record(&mut self, now: i64, report: UsageReport) -> Result<ReportOutcome, ReportRejection> {
        let Some((name, reporter)) = self.roll.reporters.get_key_value(&report.reporter) else {
            self.strangers += 1;
            return Err(ReportRejection::UnknownReporter);
        };
        let now = now.clamp(-MOST_INSTANT, MOST_INSTANT);
        let frame = Frame { settings: &self.settings, open: self.open, horizon: self.horizon() };
        // Names are shared with the roll.
        let taken = check(&self.settings, &self.roll, reporter, now, report).and_then(|report| {
            match self.accounts.get_mut(name) {
                Some(account) => account.take(frame, reporter.slots, report),
                None => {
                    let mut account = Account::default();
                    let taken = account.take(frame, reporter.slots, report)?;
                    self.accounts.insert(name.clone(), account);
                    Ok(taken)
                }
            }
        });
        let heard = match taken {
            Ok(ReportOutcome::Duplicate) | Err(_) => self.heard.entry(name.clone()).or_default(),
            Ok(_) => return taken,
        };
        match taken {
            Err(refused) => *heard.rejected.entry(refused).or_default() += 1,
            Ok(_) => heard.duplicates += 1,
        }
        taken
    }

    /// Time went on, to `now` in milliseconds of Unix time: closes the windows that are over.
    ///
    /// A window is over when all reporters that are enrolled and not in `dead` have told of more than it, or when
    /// `now` is past its end by the allowed lateness. A reporter has told of all up to the start of the last report
    /// before its first gap. Windows of which nobody told, and to which nothing is to be settled, are left out.
    pub fn advance(&mut self, now: i64, dead: &BTreeSet<Name>) -> Vec<ClosedWindow> {
        self.accounts.values_mut().for_each(|account| account.look(&self.settings));
        let (window, now) = (i64::from(self.settings.window_ms), now.clamp(-MOST_INSTANT, MOST_INSTANT));
        let latest = now.saturating_sub(self.settings.max_close_delay_ms.into());
        let living = self.roll.reporters.keys().filter(|name| !dead.contains(*name));
        let told = living.map(|name| self.mark(name)).min().unwrap_or(latest);
        // Nobody closes what is not over by the clock.
        let open = told.min(now).max(latest).div_euclid(window);
        if open <= self.open {
            return Vec::new();
        }
        let before = self.horizon();
        let first = std::mem::replace(&mut self.open, open);
        let mut closed: BTreeMap<i64, ClosedWindow> = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            let settled = account.adjust(first);
            if !settled.tenants.is_empty() || settled.cut != 0 {
                let of = closed.entry(first).or_default();
                for (tenant, work) in settled.tenants {
                    *of.adjustments.entry(tenant).or_default() += work;
                }
                of.excess.insert(name.clone(), settled.cut);
            }
            for at in account.windows(first, open) {
                let of = closed.entry(at).or_default();
                let Some(settled) = account.window(at) else { continue };
                for (tenant, work) in settled.tenants {
                    *of.work.entry(tenant).or_default() += work.unsigned_abs();
                }
                *of.excess.entry(name.clone()).or_default() += settled.cut;
            }
        }
        for (&at, of) in &mut closed {
            of.index = at;
            of.excess.retain(|_, cut| *cut != 0);
            of.adjustments.retain(|_, work| *work != 0);
            let end = (at + 1) * window;
            of.incomplete_reporters =
                self.roll.reporters.keys().filter(|name| self.mark(name) < end).cloned().collect();
        }
        let (horizon, roll) = (self.horizon(), &self.roll);
        if horizon > before {
            self.accounts.values_mut().for_each(|account| account.fold(horizon, &self.settings));
        }
        self.accounts.retain(|name, account| roll.reporters.contains_key(name) || !account.is_empty());
        closed.into_values().collect()
    }

    /// What is known of the window that holds an instant, in milliseconds of Unix time.
    pub fn provisional_usage(&self, at: i64) -> ProvisionalUsage {
        let window = i64::from(self.settings.window_ms);
        let at = at.div_euclid(window);
        let mut known = ProvisionalUsage::default();
        for account in self.accounts.values() {
            for (tenant, work) in account.window(at).unwrap_or_default().tenants {
                *known.work.entry(tenant).or_default() += work.unsigned_abs();
            }
        }
        let end = at.saturating_add(1).saturating_mul(window);
        for (name, reporter) in self.roll.reporters.iter().filter(|(name, _)| self.mark(name) < end) {
            let most = u64::from(reporter.slots) * u64::from(self.settings.window_ms);
            let told = self.accounts.get(name).and_then(|account| account.window(at)).unwrap_or_default();
            let told: u64 = told.tenants.values().map(|work| work.unsigned_abs()).sum();
            known.max_outstanding += most.saturating_sub(told);
        }
        known
    }

    /// Up to when a reporter has told of all, in milliseconds of Unix time, as of the last advance.
    pub fn watermark(&self, reporter: &str) -> Option<i64> {
        self.accounts.get(reporter).and_then(|account| account.mark)
    }

    /// The beginning of the first open window, in milliseconds of Unix time.
    pub fn open_window_start_ms(&self) -> i64 {
        self.open * i64::from(self.settings.window_ms)
    }

    /// What of a reporter's starts is missing.
    pub fn sequence_gaps(&self, reporter: &str) -> Vec<SequenceGaps> {
        let starts = self.accounts.get(reporter).into_iter().flat_map(Account::missing);
        let missing = starts.map(|(generation, sequences, given_up)| SequenceGaps {
            incarnation: generation,
            missing: sequences,
            abandoned: given_up,
        });
        missing.collect()
    }

    /// What was refused of a reporter, and what it repeated.
    pub fn discard_counts(&self, reporter: &str) -> DiscardCounts {
        self.heard.get(reporter).cloned().unwrap_or_default()
    }

    /// How many reports came from those who are not enrolled.
    pub fn unknown_reporter_count(&self) -> u64 {
        self.strangers
    }

    fn mark(&self, reporter: &Name) -> i64 {
        self.watermark(reporter.as_str()).unwrap_or(i64::MIN)
    }

    /// The first window that is not folded away. It moves by a sixteenth of itself at once, as to fold is to look at
    /// all that is kept.
    fn horizon(&self) -> i64 {
        let windows = i64::from(self.settings.horizon_ms / self.settings.window_ms);
        let step = (windows / 16).max(1);
        (self.open - windows).div_euclid(step) * step
    }
}

/// What a report must keep by itself, whatever else came.
fn check(
    settings: &LedgerSettings,
    roll: &Enrollment,
    reporter: &Reporter,
    now: i64,
    report: UsageReport,
) -> Result<UsageReport, ReportRejection> {
    let Some((tenant, federation)) = roll.tenants.get_key_value(&report.tenant) else {
        return Err(ReportRejection::UnknownTenant);
    };
    if reporter.federation.as_ref().is_some_and(|own| own != federation) {
        return Err(ReportRejection::ForeignTenant);
    }
    if report.end_ms <= report.start_ms {
        return Err(ReportRejection::EmptyInterval);
    }
    let length = report.end_ms.checked_sub(report.start_ms).and_then(|length| u32::try_from(length).ok());
    let Some(length) = length.filter(|&length| length <= settings.max_interval_ms) else {
        return Err(ReportRejection::IntervalTooLong);
    };
    if report.end_ms > now.saturating_add(settings.max_clock_skew_ms.into()) {
        return Err(ReportRejection::InFuture);
    }
    if report.work > u64::from(reporter.slots) * u64::from(length) {
        return Err(ReportRejection::ExceedsCapacity);
    }
    Ok(UsageReport { tenant: tenant.clone(), ..report })
}
