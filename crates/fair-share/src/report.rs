//! What comes in, what is told of it, and the bounds it must keep.
use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Longest window, and longest interval of one report, in milliseconds.
const MOST_SPAN: u32 = 600_000;
/// Longest horizon, in milliseconds: a day.
const MOST_HORIZON: u32 = 86_400_000;
/// Most reports of one start that are kept.
const MOST_KEPT: u32 = 1 << 20;
/// Most slots of one reporter's pool; with it, and the bounds above, no sum leaves 64 bits.
const MOST_SLOTS: u32 = 1_000_000;
/// Most reporters, and most tenants.
const MOST_REPORTERS: usize = 4_096;
const MOST_TENANTS: usize = 65_536;

/// What a scheduler, or a federation's partner, says that a tenant used.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Who says it.
    pub reporter: Name,
    /// Grows with every start of the reporter.
    pub generation: u64,
    /// Counts the start's reports, corrections among them, from 1 without a gap.
    pub sequence: u64,
    /// Who used it.
    pub tenant: Name,
    /// When the work was done, in milliseconds of Unix time. Within a start it never decreases from one sequence to
    /// the next, save in corrections.
    pub start: i64,
    /// The instant after it.
    pub end: i64,
    /// Work done in slot-milliseconds; 0 says that there was none, so that nobody waits for more.
    pub work: u64,
    /// The earlier sequence of the same start in whose place this stands. It must be no correction itself; of two
    /// the higher sequence stands.
    pub corrects: Option<u64>,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    /// It counts in windows that are open.
    Counted,
    /// It counts, and some of it in windows that are closed: that is settled in the next.
    Late,
    /// It had come; nothing changed.
    Repeated,
    /// Another report had this sequence; this says less and stands in its place.
    Instead,
}

/// Why a report was refused. Nothing changed but the count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Refused {
    /// `reporter`: not enrolled.
    UnknownReporter,
    /// `tenant`: not enrolled.
    UnknownTenant,
    /// `tenant`: of a federation that this reporter does not speak for.
    NotItsTenant,
    /// `end`: not after the start.
    Backwards,
    /// `end`: further from the start than one report may tell of.
    TooLong,
    /// `end`: in the future, by more than clocks may differ.
    Future,
    /// `start`: before the horizon; its window was folded away.
    TooOld,
    /// `work`: more than the reporter's pool can do in the interval.
    Absurd,
    /// `generation`: older than those that are kept.
    OldGeneration,
    /// `sequence`: 0, or so far back that it is no longer told whether it came.
    FarBack,
    /// `sequence`: further on than a reporter may go between two advances: a skip or a flood.
    FarAhead,
    /// `sequence`: another report had it that says less.
    Contradicts,
    /// `corrects`: not an earlier sequence, or one that was folded away.
    Corrects,
}

impl Refused {
    /// The field that was refused.
    pub fn field(self) -> &'static str {
        match self {
            Refused::UnknownReporter => "reporter",
            Refused::UnknownTenant | Refused::NotItsTenant => "tenant",
            Refused::Backwards | Refused::TooLong | Refused::Future => "end",
            Refused::TooOld => "start",
            Refused::Absurd => "work",
            Refused::OldGeneration => "generation",
            Refused::FarBack | Refused::FarAhead | Refused::Contradicts => "sequence",
            Refused::Corrects => "corrects",
        }
    }
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let why = match self {
            Refused::UnknownReporter | Refused::UnknownTenant => "not enrolled",
            Refused::NotItsTenant => "of a federation that the reporter does not speak for",
            Refused::Backwards => "not after the start",
            Refused::TooLong => "too far from the start",
            Refused::Future => "in the future",
            Refused::TooOld => "before the horizon",
            Refused::Absurd => "more than the pool can do in the interval",
            Refused::OldGeneration => "older than those that are kept",
            Refused::FarBack => "before those that are kept",
            Refused::FarAhead => "too far ahead of what had come",
            Refused::Contradicts => "came before with less work",
            Refused::Corrects => "not an earlier sequence that is kept",
        };
        write!(f, "{}: {why}", self.field())
    }
}

impl std::error::Error for Refused {}

/// The bounds of a ledger; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Length of a window; from 1 to 600 000.
    pub window: u32,
    /// How long after its end a window waits at most for reporters that are there.
    pub lateness: u32,
    /// How far before the first open window reports still count, as adjustments, and may be corrected; at least the
    /// window, at most a day. What is older by a sixteenth more is folded away.
    pub horizon: u32,
    /// How far clocks may differ: an interval that ends later than this is refused.
    pub skew: u32,
    /// Longest interval of one report; from 1 to 600 000.
    pub span: u32,
    /// How many sequences a start may go on between two advances. Over 0.
    pub ahead: u32,
    /// How many sequences of a start are told apart; at least `ahead`, at most 2^20.
    pub kept: u32,
    /// How many starts of a reporter are kept, and as many that are new since the last advance. From 1 to 8.
    pub starts: u8,
}

impl Default for Settings {
    /// Windows of 10 s, 30 s of lateness, an hour's horizon, clocks within 2 s, 16 384 reports a reporter between two
    /// advances and 262 144 kept, 3 starts.
    fn default() -> Settings {
        let (ahead, kept) = (1 << 14, 1 << 18);
        Settings {
            window: 10_000,
            lateness: 30_000,
            horizon: 3_600_000,
            skew: 2_000,
            span: 60_000,
            ahead,
            kept,
            starts: 3,
        }
    }
}

/// Settings or a roll that a ledger cannot keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongBounds(pub &'static str);

impl fmt::Display for WrongBounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for WrongBounds {}

impl Settings {
    pub(crate) fn check(&self) -> Result<(), WrongBounds> {
        let wrong = [
            (!(1..=MOST_SPAN).contains(&self.window), "window: not from 1 to 600000 ms"),
            (self.horizon < self.window, "horizon: shorter than a window"),
            (self.horizon > MOST_HORIZON, "horizon: longer than a day"),
            (self.lateness > MOST_HORIZON, "lateness: longer than a day"),
            (self.skew > MOST_HORIZON, "skew: longer than a day"),
            (!(1..=MOST_SPAN).contains(&self.span), "span: not from 1 to 600000 ms"),
            (self.ahead == 0, "ahead: 0"),
            (self.kept < self.ahead, "kept: under ahead"),
            (self.kept > MOST_KEPT, "kept: over 1048576"),
            (!(1..=8).contains(&self.starts), "starts: not from 1 to 8"),
        ];
        wrong.iter().find(|(wrong, _)| *wrong).map_or(Ok(()), |(_, why)| Err(WrongBounds(why)))
    }
}

/// One that may report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reporter {
    /// Slots of the pool it reports on, from 0 to 1 000 000: it can do no more than these in an interval.
    pub slots: u32,
    /// The only federation whose tenants it speaks for; all where there is none.
    pub federation: Option<Name>,
}

/// Who may report, on whom.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roll {
    /// The reporters, at most 4 096.
    pub reporters: BTreeMap<Name, Reporter>,
    /// The tenants, each with its federation, at most 65 536.
    pub tenants: BTreeMap<Name, Name>,
}

impl Roll {
    pub(crate) fn check(&self) -> Result<(), WrongBounds> {
        let wrong = [
            (self.reporters.len() > MOST_REPORTERS, "reporters: more than 4096"),
            (self.tenants.len() > MOST_TENANTS, "tenants: more than 65536"),
            (self.reporters.values().any(|one| one.slots > MOST_SLOTS), "slots: more than 1000000"),
        ];
        wrong.iter().find(|(wrong, _)| *wrong).map_or(Ok(()), |(_, why)| Err(WrongBounds(why)))
    }
}
