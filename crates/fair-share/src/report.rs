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
#[serde(rename = "Report", deny_unknown_fields)]
pub struct UsageReport {
    /// Who says it.
    pub reporter: Name,
    /// Grows with every start of the reporter.
    #[serde(rename = "generation")]
    pub incarnation: u64,
    /// Counts the start's reports, corrections among them, from 1 without a gap.
    pub sequence: u64,
    /// Who used it.
    pub tenant: Name,
    /// When the work was done, in milliseconds of Unix time. Within a start it never decreases from one sequence to
    /// the next, save in corrections.
    #[serde(rename = "start")]
    pub start_ms: i64,
    /// The instant after it.
    #[serde(rename = "end")]
    pub end_ms: i64,
    /// Work done in slot-milliseconds; 0 says that there was none, so that nobody waits for more.
    pub work: u64,
    /// The earlier sequence of the same start in whose place this stands. It must be no correction itself; of two
    /// the higher sequence stands.
    pub corrects: Option<u64>,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOutcome {
    /// It counts in windows that are open.
    Counted,
    /// It counts, and some of it in windows that are closed: that is settled in the next.
    Late,
    /// It had come; nothing changed.
    Duplicate,
    /// Another report had this sequence; this says less and stands in its place.
    Replaced,
}

/// Why a report was refused. Nothing changed but the count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename = "Refused")]
pub enum ReportRejection {
    /// `reporter`: not enrolled.
    UnknownReporter,
    /// `tenant`: not enrolled.
    UnknownTenant,
    /// `tenant`: of a federation that this reporter does not speak for.
    #[serde(rename = "NotItsTenant")]
    ForeignTenant,
    /// `end`: not after the start.
    #[serde(rename = "Backwards")]
    EmptyInterval,
    /// `end`: further from the start than one report may tell of.
    #[serde(rename = "TooLong")]
    IntervalTooLong,
    /// `end`: in the future, by more than clocks may differ.
    #[serde(rename = "Future")]
    InFuture,
    /// `start`: before the horizon; its window was folded away.
    #[serde(rename = "TooOld")]
    BeforeHorizon,
    /// `work`: more than the reporter's pool can do in the interval.
    #[serde(rename = "Absurd")]
    ExceedsCapacity,
    /// `generation`: older than those that are kept.
    #[serde(rename = "OldGeneration")]
    OldIncarnation,
    /// `sequence`: 0, or so far back that it is no longer told whether it came.
    #[serde(rename = "FarBack")]
    SequenceTooOld,
    /// `sequence`: further on than a reporter may go between two advances: a skip or a flood.
    #[serde(rename = "FarAhead")]
    SequenceTooFarAhead,
    /// `sequence`: another report had it that says less.
    #[serde(rename = "Contradicts")]
    ConflictingDuplicate,
    /// `corrects`: not an earlier sequence, or one that was folded away.
    #[serde(rename = "Corrects")]
    InvalidCorrection,
}

impl ReportRejection {
    /// The field that was refused.
    pub fn field(self) -> &'static str {
        match self {
            ReportRejection::UnknownReporter => "reporter",
            ReportRejection::UnknownTenant | ReportRejection::ForeignTenant => "tenant",
            ReportRejection::EmptyInterval | ReportRejection::IntervalTooLong | ReportRejection::InFuture => {
                "end"
            }
            ReportRejection::BeforeHorizon => "start",
            ReportRejection::ExceedsCapacity => "work",
            ReportRejection::OldIncarnation => "generation",
            ReportRejection::SequenceTooOld
            | ReportRejection::SequenceTooFarAhead
            | ReportRejection::ConflictingDuplicate => "sequence",
            ReportRejection::InvalidCorrection => "corrects",
        }
    }
}

impl fmt::Display for ReportRejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let why = match self {
            ReportRejection::UnknownReporter | ReportRejection::UnknownTenant => "not enrolled",
            ReportRejection::ForeignTenant => "of a federation that the reporter does not speak for",
            ReportRejection::EmptyInterval => "not after the start",
            ReportRejection::IntervalTooLong => "too far from the start",
            ReportRejection::InFuture => "in the future",
            ReportRejection::BeforeHorizon => "before the horizon",
            ReportRejection::ExceedsCapacity => "more than the pool can do in the interval",
            ReportRejection::OldIncarnation => "older than those that are kept",
            ReportRejection::SequenceTooOld => "before those that are kept",
            ReportRejection::SequenceTooFarAhead => "too far ahead of what had come",
            ReportRejection::ConflictingDuplicate => "came before with less work",
            ReportRejection::InvalidCorrection => "not an earlier sequence that is kept",
        };
        write!(f, "{}: {why}", self.field())
    }
}

impl std::error::Error for ReportRejection {}

/// The bounds of a ledger; times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "Settings", default, deny_unknown_fields)]
pub struct LedgerSettings {
    /// Length of a window; from 1 to 600 000.
    #[serde(rename = "window")]
    pub window_ms: u32,
    /// How long after its end a window waits at most for reporters that are there.
    #[serde(rename = "lateness")]
    pub max_close_delay_ms: u32,
    /// How far before the first open window reports still count, as adjustments, and may be corrected; at least the
    /// window, at most a day. What is older by a sixteenth more is folded away.
    #[serde(rename = "horizon")]
    pub horizon_ms: u32,
    /// How far clocks may differ: an interval that ends later than this is refused.
    #[serde(rename = "skew")]
    pub max_clock_skew_ms: u32,
    /// Longest interval of one report; from 1 to 600 000.
    #[serde(rename = "span")]
    pub max_interval_ms: u32,
    /// How many sequences a start may go on between two advances. Over 0.
    #[serde(rename = "ahead")]
    pub max_sequences_ahead: u32,
    /// How many sequences of a start are told apart; at least `ahead`, at most 2^20.
    #[serde(rename = "kept")]
    pub max_tracked_sequences: u32,
    /// How many starts of a reporter are kept, and as many that are new since the last advance. From 1 to 8.
    #[serde(rename = "starts")]
    pub max_incarnations: u8,
}

impl Default for LedgerSettings {
    /// Windows of 10 s, 30 s of lateness, an hour's horizon, clocks within 2 s, 16 384 reports a reporter between two
    /// advances and 262 144 kept, 3 starts.
    fn default() -> LedgerSettings {
        let (ahead, kept) = (1 << 14, 1 << 18);
        LedgerSettings {
            window_ms: 10_000,
            max_close_delay_ms: 30_000,
            horizon_ms: 3_600_000,
            max_clock_skew_ms: 2_000,
            max_interval_ms: 60_000,
            max_sequences_ahead: ahead,
            max_tracked_sequences: kept,
            max_incarnations: 3,
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

impl LedgerSettings {
    pub(crate) fn check(&self) -> Result<(), WrongBounds> {
        let wrong = [
            (!(1..=MOST_SPAN).contains(&self.window_ms), "window: not from 1 to 600000 ms"),
            (self.horizon_ms < self.window_ms, "horizon: shorter than a window"),
            (self.horizon_ms > MOST_HORIZON, "horizon: longer than a day"),
            (self.max_close_delay_ms > MOST_HORIZON, "lateness: longer than a day"),
            (self.max_clock_skew_ms > MOST_HORIZON, "skew: longer than a day"),
            (!(1..=MOST_SPAN).contains(&self.max_interval_ms), "span: not from 1 to 600000 ms"),
            (self.max_sequences_ahead == 0, "ahead: 0"),
            (self.max_tracked_sequences < self.max_sequences_ahead, "kept: under ahead"),
            (self.max_tracked_sequences > MOST_KEPT, "kept: over 1048576"),
            (!(1..=8).contains(&self.max_incarnations), "starts: not from 1 to 8"),
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
#[serde(rename = "Roll", deny_unknown_fields)]
pub struct Enrollment {
    /// The reporters, at most 4 096.
    pub reporters: BTreeMap<Name, Reporter>,
    /// The tenants, each with its federation, at most 65 536.
    pub tenants: BTreeMap<Name, Name>,
}

impl Enrollment {
    pub(crate) fn check(&self) -> Result<(), WrongBounds> {
        let wrong = [
            (self.reporters.len() > MOST_REPORTERS, "reporters: more than 4096"),
            (self.tenants.len() > MOST_TENANTS, "tenants: more than 65536"),
            (self.reporters.values().any(|one| one.slots > MOST_SLOTS), "slots: more than 1000000"),
        ];
        wrong.iter().find(|(wrong, _)| *wrong).map_or(Ok(()), |(_, why)| Err(WrongBounds(why)))
    }
}
