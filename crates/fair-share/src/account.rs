//! What one reporter has told: its starts with their sequences, and its windows.
use std::collections::{BTreeMap, BTreeSet};
use std::num::NonZeroU64;

use rangemap::RangeInclusiveSet;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::fill::apportion;
use crate::report::{LedgerSettings, ReportOutcome, ReportRejection, UsageReport};

/// A report without its reporter, generation and sequence. Of two that say they are the same the lesser stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct Body {
    work: u64,
    start: i64,
    /// Its length in milliseconds, over 0.
    length: u32,
    tenant: Name,
    corrects: Option<NonZeroU64>,
}

impl Body {
    fn corrects(&self) -> Option<u64> {
        self.corrects.map(NonZeroU64::get)
    }

    /// The work of each window, by its number. What is done by an instant is rounded down, so that the windows' work
    /// adds up to the whole.
    fn split(&self, window: i64) -> impl Iterator<Item = (i64, u64)> {
        let (start, length, work) = (self.start, i64::from(self.length), u128::from(self.work));
        let (first, last) = (start.div_euclid(window), (start + length - 1).div_euclid(window));
        let by = move |instant: i64| {
            let into = (instant - start).clamp(0, length);
            (work * into as u128 / length as u128) as u64
        };
        (first..=last).map(move |at| (at, by((at + 1) * window) - by(at * window)))
    }
}

/// One start of a reporter.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Start {
    /// Sequences that came, or are no longer asked for; those up to `floor` are among them.
    came: RangeInclusiveSet<u64>,
    floor: u64,
    /// Up to here a sequence is taken until the next advance.
    until: u64,
    /// Up to here all came when the start was last looked at, and the latest start of an interval among them.
    whole: u64,
    mark: Option<i64>,
    /// Sequences that never came and are no longer asked for.
    given_up: u64,
    /// Has seen no advance yet.
    fresh: bool,
    bodies: BTreeMap<u64, Body>,
    /// For a sequence that was corrected, by which.
    corrections: BTreeMap<u64, BTreeSet<u64>>,
}

impl Start {
    fn new(settings: &LedgerSettings) -> Start {
        Start {
            came: RangeInclusiveSet::new(),
            floor: 0,
            until: settings.max_sequences_ahead.into(),
            whole: 0,
            mark: None,
            given_up: 0,
            fresh: true,
            bodies: BTreeMap::new(),
            corrections: BTreeMap::new(),
        }
    }

    fn highest(&self) -> u64 {
        self.came.last().map_or(0, |range| *range.end())
    }

    /// The body that counts for a sequence: its last correction's, or its own. A correction's own counts nothing
    /// beside that, and what corrects a correction is void; so it does not matter which came first.
    fn standing(&self, sequence: u64) -> Option<&Body> {
        let own = self.bodies.get(&sequence);
        if own.is_some_and(|body| body.corrects.is_some()) {
            return None;
        }
        let last = self.corrections.get(&sequence).and_then(BTreeSet::last);
        last.and_then(|last| self.bodies.get(last)).or(own)
    }

    /// Sets the body of a sequence, and hands out what stood before and what stands after.
    fn set(&mut self, sequence: u64, body: Body) -> (Vec<Body>, Vec<Body>) {
        let old = self.bodies.get(&sequence);
        if old.is_none() && body.corrects.is_none() && !self.corrections.contains_key(&sequence) {
            // By far the most.
            self.bodies.insert(sequence, body.clone());
            return (Vec::new(), vec![body]);
        }
        let before = old.and_then(Body::corrects);
        let touched = BTreeSet::from([Some(sequence), before, body.corrects()]);
        let stand = |start: &Start| -> Vec<Body> {
            touched.iter().flatten().filter_map(|&one| start.standing(one).cloned()).collect()
        };
        let stood = stand(self);
        if let Some(corrected) = before
            && let Some(by) = self.corrections.get_mut(&corrected)
        {
            by.remove(&sequence);
            if by.is_empty() {
                self.corrections.remove(&corrected);
            }
        }
        if let Some(corrected) = body.corrects() {
            self.corrections.entry(corrected).or_default().insert(sequence);
        }
        self.bodies.insert(sequence, body);
        let stands = stand(self);
        (stood, stands)
    }

    /// All that counts.
    fn all(&self) -> impl Iterator<Item = &Body> {
        let missing = self.corrections.keys().filter(|one| !self.bodies.contains_key(one));
        self.bodies.keys().chain(missing).filter_map(|&one| self.standing(one))
    }

    /// Looks at what came: the mark, and how far on it may go.
    fn look(&mut self, settings: &LedgerSettings) {
        let whole = self.came.get(&(self.whole + 1)).map_or(self.whole, |range| *range.end());
        let latest = self.bodies.range(self.whole + 1..whole + 1).map(|(_, body)| body.start).max();
        (self.whole, self.mark) = (whole, self.mark.max(latest));
        self.bound(settings);
        self.fresh = false;
    }

    fn bound(&mut self, settings: &LedgerSettings) {
        let kept = self.floor.saturating_add(settings.max_tracked_sequences.into());
        self.until = self.highest().saturating_add(settings.max_sequences_ahead.into()).min(kept);
    }

    /// Forgets the bodies that begin before an instant, each with what it corrects and what corrects it, so that
    /// nothing that is left can change what was folded away.
    fn fold(&mut self, horizon: i64, settings: &LedgerSettings) {
        let old = self.bodies.iter().filter(|(_, body)| body.start < horizon);
        let old: BTreeSet<u64> = old.map(|(&sequence, body)| body.corrects().unwrap_or(sequence)).collect();
        for corrected in old {
            // Whether or not it came, its place is taken.
            self.came.insert(corrected..=corrected);
            if self.bodies.get(&corrected).is_some_and(|body| body.corrects.is_none()) {
                self.bodies.remove(&corrected);
            }
            let mut gone = vec![corrected];
            while let Some(one) = gone.pop() {
                let by = self.corrections.remove(&one).unwrap_or_default();
                by.iter().for_each(|one| drop(self.bodies.remove(one)));
                gone.extend(by);
            }
        }
        let (bodies, groups) = (self.bodies.keys().next(), self.corrections.keys().next());
        let first = bodies.into_iter().chain(groups).min().copied();
        // What came before the first that is kept was folded; what is missing before that is older than the horizon,
        // as starts never decrease. What is missing after it may still come.
        let floor = match first {
            None => self.highest(),
            Some(first) if first > 1 => self
                .came
                .overlapping(1..=first - 1)
                .next_back()
                .map_or(0, |range| (*range.end()).min(first - 1)),
            Some(_) => 0,
        };
        let floor = floor.max(self.floor);
        if floor > self.floor {
            let came: u64 = self.came.overlapping(self.floor + 1..=floor).fold(0, |sum, range| {
                sum + (*range.end()).min(floor) - (*range.start()).max(self.floor + 1) + 1
            });
            self.given_up += floor - self.floor - came;
            self.came.insert(1..=floor);
            self.floor = floor;
        }
        self.bound(settings);
    }
}

/// One window as a reporter tells it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Sheet {
    /// The most that counts of it: what the reporter's pool can do in a window.
    most: u64,
    /// Work of each tenant; none of 0.
    work: BTreeMap<Name, u64>,
    /// What counted and what was cut when the window was last settled, where that has changed since.
    settled: Option<(BTreeMap<Name, u64>, u64)>,
}

fn sum(work: &BTreeMap<Name, u64>) -> u64 {
    work.values().fold(0, |sum, &work| sum.saturating_add(work))
}

impl Sheet {
    /// What counts, and what is cut.
    fn both(&self) -> (BTreeMap<Name, u64>, u64) {
        let counted = self.counted();
        let cut = sum(&self.work).saturating_sub(sum(&counted));
        (counted, cut)
    }

    /// What counts: the work, cut in proportion to what the pool can do.
    fn counted(&self) -> BTreeMap<Name, u64> {
        if sum(&self.work) <= self.most {
            return self.work.clone();
        }
        let weights: Vec<u128> = self.work.values().map(|&work| work.into()).collect();
        self.work.keys().cloned().zip(apportion(self.most, &weights)).filter(|(_, work)| *work > 0).collect()
    }
}

/// What a window's settling brings, by tenant, and what was cut.
#[derive(Debug, Default)]
pub(crate) struct Settled {
    pub(crate) tenants: BTreeMap<Name, i64>,
    pub(crate) cut: i64,
}

impl Settled {
    fn add(&mut self, counted: &BTreeMap<Name, u64>, sign: i64) {
        for (tenant, &work) in counted {
            *self.tenants.entry(tenant.clone()).or_default() += sign * work as i64;
        }
    }
}

/// One reporter.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Account {
    starts: BTreeMap<u64, Start>,
    /// Generations before this one are refused.
    oldest: u64,
    /// Up to here all came.
    pub(crate) mark: Option<i64>,
    sheets: BTreeMap<i64, Sheet>,
}

/// What an account must know of the ledger.
#[derive(Clone, Copy)]
pub(crate) struct Frame<'a> {
    pub(crate) settings: &'a LedgerSettings,
    /// The first open window.
    pub(crate) open: i64,
    /// The first window that is not folded away.
    pub(crate) horizon: i64,
}

impl Account {
    /// Takes a report whose reporter, tenant, interval and work are good.
    pub(crate) fn take(
        &mut self,
        frame: Frame<'_>,
        slots: u32,
        report: UsageReport,
    ) -> Result<ReportOutcome, ReportRejection> {
        let (settings, sequence) = (frame.settings, report.sequence);
        let window = i64::from(settings.window_ms);
        if report.start_ms.div_euclid(window) < frame.horizon {
            return Err(ReportRejection::BeforeHorizon);
        }
        if report.incarnation < self.oldest {
            return Err(ReportRejection::OldIncarnation);
        }
        let new = !self.starts.contains_key(&report.incarnation);
        let fresh = || self.starts.iter().filter(|(_, start)| start.fresh).map(|(&generation, _)| generation);
        // The oldest that gives its place up.
        let first =
            if new && fresh().count() >= settings.max_incarnations.into() { fresh().next() } else { None };
        if first.is_some_and(|first| report.incarnation < first) {
            return Err(ReportRejection::OldIncarnation);
        }
        let empty = Start::new(settings);
        let start = self.starts.get(&report.incarnation).unwrap_or(&empty);
        let old = start.bodies.get(&sequence);
        if sequence <= start.floor {
            return Err(ReportRejection::SequenceTooOld);
        }
        if sequence > start.until {
            return Err(ReportRejection::SequenceTooFarAhead);
        }
        let length = (report.end_ms - report.start_ms) as u32;
        let (tenant, corrected) = (report.tenant, report.corrects);
        let corrects = corrected.and_then(NonZeroU64::new);
        let body = Body { work: report.work, start: report.start_ms, length, tenant, corrects };
        if start.came.contains(&sequence) && old.is_none_or(|old| *old == body) {
            return Ok(ReportOutcome::Duplicate);
        }
        if old.is_some_and(|old| *old < body) {
            return Err(ReportRejection::ConflictingDuplicate);
        }
        if let Some(corrected) = corrected {
            let folded = start.came.contains(&corrected) && !start.bodies.contains_key(&corrected);
            if corrected >= sequence || corrected <= start.floor || folded {
                return Err(ReportRejection::InvalidCorrection);
            }
        }
        let taken = match (old, report.start_ms.div_euclid(window) < frame.open) {
            (Some(_), _) => ReportOutcome::Replaced,
            (None, true) => ReportOutcome::Late,
            (None, false) => ReportOutcome::Counted,
        };
        if let Some(first) = first {
            // Of those that began since the last advance the latest stay, in whatever order they came.
            self.undo(first, frame, slots);
        }
        let start = self.starts.entry(report.incarnation).or_insert(empty);
        start.came.insert(sequence..=sequence);
        let (stood, stands) = start.set(sequence, body);
        stood.iter().for_each(|body| self.post(body, false, frame, slots));
        stands.iter().for_each(|body| self.post(body, true, frame, slots));
        stood.iter().for_each(|body| self.tidy(body, window));
        Ok(taken)
    }

    /// Takes back all of a start that has seen no advance.
    fn undo(&mut self, generation: u64, frame: Frame<'_>, slots: u32) {
        let Some(start) = self.starts.remove(&generation) else { return };
        start.all().for_each(|body| self.post(body, false, frame, slots));
        start.all().for_each(|body| self.tidy(body, frame.settings.window_ms.into()));
    }

    /// Leaves no trace of a body that was taken away, so that it does not matter that it ever came.
    fn tidy(&mut self, body: &Body, window: i64) {
        for (at, _) in body.split(window) {
            let Some(sheet) = self.sheets.get_mut(&at) else { continue };
            if sheet.settled.as_ref().is_some_and(|settled| *settled == sheet.both()) {
                sheet.settled = None;
            }
            if sheet.work.is_empty() && sheet.settled.is_none() {
                self.sheets.remove(&at);
            }
        }
    }

    /// Adds a body to its windows, or takes it away.
    fn post(&mut self, body: &Body, adds: bool, frame: Frame<'_>, slots: u32) {
        let window = i64::from(frame.settings.window_ms);
        for (at, work) in body.split(window).filter(|&(_, work)| work > 0) {
            let most = u64::from(slots) * u64::from(frame.settings.window_ms);
            let sheet =
                self.sheets.entry(at).or_insert_with(|| Sheet { most, work: BTreeMap::new(), settled: None });
            if at < frame.open && sheet.settled.is_none() {
                sheet.settled = Some(sheet.both());
            }
            let sum = sheet.work.entry(body.tenant.clone()).or_default();
            *sum = if adds { sum.saturating_add(work) } else { sum.saturating_sub(work) };
            if *sum == 0 {
                sheet.work.remove(&body.tenant);
            }
        }
    }

    /// Looks at what came since the last advance.
    pub(crate) fn look(&mut self, settings: &LedgerSettings) {
        self.starts.values_mut().for_each(|start| start.look(settings));
        self.mark = self.starts.values().filter_map(|start| start.mark).max().max(self.mark);
        while self.starts.len() > settings.max_incarnations.into() {
            // Its work stays in the windows.
            self.starts.pop_first();
            self.oldest = self.starts.keys().next().copied().unwrap_or(0);
        }
    }

    /// Settles what has changed in closed windows.
    pub(crate) fn adjust(&mut self, open: i64) -> Settled {
        let mut all = Settled::default();
        let mut emptied = Vec::new();
        for (&at, sheet) in self.sheets.range_mut(..open) {
            let Some((before, cut_before)) = sheet.settled.take() else { continue };
            let (counted, cut) = sheet.both();
            all.add(&counted, 1);
            all.add(&before, -1);
            all.cut += cut as i64 - cut_before as i64;
            if sheet.work.is_empty() {
                emptied.push(at);
            }
        }
        emptied.into_iter().for_each(|at| drop(self.sheets.remove(&at)));
        all.tenants.retain(|_, work| *work != 0);
        all
    }

    /// What counts of one window.
    pub(crate) fn window(&self, at: i64) -> Option<Settled> {
        let sheet = self.sheets.get(&at)?;
        let mut settled = Settled::default();
        let (counted, cut) = sheet.both();
        settled.add(&counted, 1);
        settled.cut = cut as i64;
        Some(settled)
    }

    /// The windows it has told of, from one on.
    pub(crate) fn windows(&self, from: i64, to: i64) -> impl Iterator<Item = i64> {
        self.sheets.range(from..to.max(from)).map(|(&at, _)| at)
    }

    /// Forgets what lies before the horizon.
    pub(crate) fn fold(&mut self, horizon: i64, settings: &LedgerSettings) {
        self.sheets = self.sheets.split_off(&horizon);
        let instant = horizon.saturating_mul(settings.window_ms.into());
        self.starts.values_mut().for_each(|start| start.fold(instant, settings));
    }

    /// Whether nothing is left that a report could still change.
    pub(crate) fn is_empty(&self) -> bool {
        self.sheets.is_empty() && self.starts.values().all(|start| start.bodies.is_empty())
    }

    /// For each start what is missing, as ranges, and how many are no longer asked for.
    pub(crate) fn missing(&self) -> impl Iterator<Item = (u64, Vec<std::ops::RangeInclusive<u64>>, u64)> {
        self.starts.iter().map(|(&generation, start)| {
            let all = 1..=start.highest();
            let gaps = if all.is_empty() { Vec::new() } else { start.came.gaps(&all).collect() };
            (generation, gaps, start.given_up)
        })
    }
}
