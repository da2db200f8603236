//! The ledger: all reporters, and the windows that close over them.
use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::account::{Account, Frame};
use crate::report::{Refused, Report, Reporter, Roll, Settings, Taken, WrongBounds};

/// A window that is over. What it says never changes; what comes later is an adjustment of a later one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Closed {
    /// Its number: it begins at so many windows of Unix time.
    pub window: i64,
    /// What each tenant did in it, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// What is settled with it of earlier windows, in slot-milliseconds; negative where a correction took some back.
    pub adjustments: BTreeMap<Name, i64>,
    /// What reporters told above what their pools can do in a window, and so does not count; negative where less of
    /// an earlier window is cut than was.
    pub cut: BTreeMap<Name, i64>,
    /// Who had not told of all of it, the dead among them.
    pub without: BTreeSet<Name>,
}

/// What is known of a window so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Provisional {
    /// What each tenant did in it as far as it came, in slot-milliseconds.
    pub work: BTreeMap<Name, u64>,
    /// The most that may still come without a correction, in slot-milliseconds: what the pools can do of those who
    /// have not told of all of it, less what came of them.
    pub unknown: u64,
}

/// What of a reporter's start is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
    /// The start.
    pub generation: u64,
    /// Sequences that have not come, though a later one has.
    pub sequences: Vec<std::ops::RangeInclusive<u64>>,
    /// How many never came and are no longer asked for.
    pub given_up: u64,
}

/// What a reporter sent in vain. These are this ledger's own counts and not in its bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Reports that were refused, by reason.
    pub refused: BTreeMap<Refused, u64>,
    /// Reports that had come before.
    pub repeated: u64,
}

/// Instants are held within this, so that no sum of them leaves 64 bits.
const MOST_INSTANT: i64 = 1 << 60;

/// The usage ledger. Serialized it is the same bytes for the same reports in any order and repetition, after the same
/// calls of [`Ledger::advance`] and [`Ledger::enroll`]; the counts of what was refused and repeated are not in it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ledger {
    settings: Settings,
    roll: Roll,
    /// The first window that is open.
    open: i64,
    accounts: BTreeMap<Name, Account>,
    #[serde(skip)]
    heard: BTreeMap<Name, Heard>,
    #[serde(skip)]
    strangers: u64,
}

impl Ledger {
    /// An empty ledger: the window that holds `begin`, in milliseconds of Unix time, is the first that is open.
    ///
    /// # Errors
    /// Settings out of their bounds.
    pub fn new(settings: Settings, begin: i64) -> Result<Ledger, WrongBounds> {
        settings.check()?;
        let (roll, accounts, heard) = (Roll::default(), BTreeMap::new(), BTreeMap::new());
        let open = begin.clamp(-MOST_INSTANT, MOST_INSTANT).div_euclid(settings.window.into());
        Ok(Ledger { settings, roll, open, accounts, heard, strangers: 0 })
    }

    /// Says who may report on whom from now on. A reporter that is gone holds nothing; what it told stays.
    ///
    /// # Errors
    /// A roll that is too large; the one before stays.
    pub fn enroll(&mut self, roll: Roll) -> Result<(), WrongBounds> {
        roll.check()?;
        self.roll = roll;
        self.heard.retain(|name, _| self.roll.reporters.contains_key(name));
        Ok(())
    }

    /// Takes a report. `now`, in milliseconds of Unix time, says only what is in the future.
    ///
    /// # Errors
    /// A report that was refused: it is counted, and nothing else changes.
    pub fn take(&mut self, now: i64, report: Report) -> Result<Taken, Refused> {
        let Some((name, reporter)) = self.roll.reporters.get_key_value(&report.reporter) else {
            self.strangers += 1;
            return Err(Refused::UnknownReporter);
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
            Ok(Taken::Repeated) | Err(_) => self.heard.entry(name.clone()).or_default(),
            Ok(_) => return taken,
        };
        match taken {
            Err(refused) => *heard.refused.entry(refused).or_default() += 1,
            Ok(_) => heard.repeated += 1,
        }
        taken
    }

    /// Time went on, to `now` in milliseconds of Unix time: closes the windows that are over.
    ///
    /// A window is over when all reporters that are enrolled and not in `dead` have told of more than it, or when
    /// `now` is past its end by the allowed lateness. A reporter has told of all up to the start of the last report
    /// before its first gap. Windows of which nobody told, and to which nothing is to be settled, are left out.
    pub fn advance(&mut self, now: i64, dead: &BTreeSet<Name>) -> Vec<Closed> {
        self.accounts.values_mut().for_each(|account| account.look(&self.settings));
        let (window, now) = (i64::from(self.settings.window), now.clamp(-MOST_INSTANT, MOST_INSTANT));
        let latest = now.saturating_sub(self.settings.lateness.into());
        let living = self.roll.reporters.keys().filter(|name| !dead.contains(*name));
        let told = living.map(|name| self.mark(name)).min().unwrap_or(latest);
        // Nobody closes what is not over by the clock.
        let open = told.min(now).max(latest).div_euclid(window);
        if open <= self.open {
            return Vec::new();
        }
        let before = self.horizon();
        let first = std::mem::replace(&mut self.open, open);
        let mut closed: BTreeMap<i64, Closed> = BTreeMap::new();
        for (name, account) in &mut self.accounts {
            let settled = account.adjust(first);
            if !settled.tenants.is_empty() || settled.cut != 0 {
                let of = closed.entry(first).or_default();
                for (tenant, work) in settled.tenants {
                    *of.adjustments.entry(tenant).or_default() += work;
                }
                of.cut.insert(name.clone(), settled.cut);
            }
            for at in account.windows(first, open) {
                let of = closed.entry(at).or_default();
                let Some(settled) = account.window(at) else { continue };
                for (tenant, work) in settled.tenants {
                    *of.work.entry(tenant).or_default() += work.unsigned_abs();
                }
                *of.cut.entry(name.clone()).or_default() += settled.cut;
            }
        }
        for (&at, of) in &mut closed {
            of.window = at;
            of.cut.retain(|_, cut| *cut != 0);
            of.adjustments.retain(|_, work| *work != 0);
            let end = (at + 1) * window;
            of.without = self.roll.reporters.keys().filter(|name| self.mark(name) < end).cloned().collect();
        }
        let (horizon, roll) = (self.horizon(), &self.roll);
        if horizon > before {
            self.accounts.values_mut().for_each(|account| account.fold(horizon, &self.settings));
        }
        self.accounts.retain(|name, account| roll.reporters.contains_key(name) || !account.is_empty());
        closed.into_values().collect()
    }

    /// What is known of the window that holds an instant, in milliseconds of Unix time.
    pub fn provisional(&self, at: i64) -> Provisional {
        let window = i64::from(self.settings.window);
        let at = at.div_euclid(window);
        let mut known = Provisional::default();
        for account in self.accounts.values() {
            for (tenant, work) in account.window(at).unwrap_or_default().tenants {
                *known.work.entry(tenant).or_default() += work.unsigned_abs();
            }
        }
        let end = at.saturating_add(1).saturating_mul(window);
        for (name, reporter) in self.roll.reporters.iter().filter(|(name, _)| self.mark(name) < end) {
            let most = u64::from(reporter.slots) * u64::from(self.settings.window);
            let told = self.accounts.get(name).and_then(|account| account.window(at)).unwrap_or_default();
            let told: u64 = told.tenants.values().map(|work| work.unsigned_abs()).sum();
            known.unknown += most.saturating_sub(told);
        }
        known
    }

    /// Up to when a reporter has told of all, in milliseconds of Unix time, as of the last advance.
    pub fn watermark(&self, reporter: &str) -> Option<i64> {
        self.accounts.get(reporter).and_then(|account| account.mark)
    }

    /// The beginning of the first open window, in milliseconds of Unix time.
    pub fn open(&self) -> i64 {
        self.open * i64::from(self.settings.window)
    }

    /// What of a reporter's starts is missing.
    pub fn missing(&self, reporter: &str) -> Vec<Missing> {
        let starts = self.accounts.get(reporter).into_iter().flat_map(Account::missing);
        let missing =
            starts.map(|(generation, sequences, given_up)| Missing { generation, sequences, given_up });
        missing.collect()
    }

    /// What was refused of a reporter, and what it repeated.
    pub fn heard(&self, reporter: &str) -> Heard {
        self.heard.get(reporter).cloned().unwrap_or_default()
    }

    /// How many reports came from those who are not enrolled.
    pub fn strangers(&self) -> u64 {
        self.strangers
    }

    fn mark(&self, reporter: &Name) -> i64 {
        self.watermark(reporter.as_str()).unwrap_or(i64::MIN)
    }

    /// The first window that is not folded away. It moves by a sixteenth of itself at once, as to fold is to look at
    /// all that is kept.
    fn horizon(&self) -> i64 {
        let windows = i64::from(self.settings.horizon / self.settings.window);
        let step = (windows / 16).max(1);
        (self.open - windows).div_euclid(step) * step
    }
}

/// What a report must keep by itself, whatever else came.
fn check(
    settings: &Settings,
    roll: &Roll,
    reporter: &Reporter,
    now: i64,
    report: Report,
) -> Result<Report, Refused> {
    let Some((tenant, federation)) = roll.tenants.get_key_value(&report.tenant) else {
        return Err(Refused::UnknownTenant);
    };
    if reporter.federation.as_ref().is_some_and(|own| own != federation) {
        return Err(Refused::NotItsTenant);
    }
    if report.end <= report.start {
        return Err(Refused::Backwards);
    }
    let length = report.end.checked_sub(report.start).and_then(|length| u32::try_from(length).ok());
    let Some(length) = length.filter(|&length| length <= settings.span) else {
        return Err(Refused::TooLong);
    };
    if report.end > now.saturating_add(settings.skew.into()) {
        return Err(Refused::Future);
    }
    if report.work > u64::from(reporter.slots) * u64::from(length) {
        return Err(Refused::Absurd);
    }
    Ok(Report { tenant: tenant.clone(), ..report })
}
