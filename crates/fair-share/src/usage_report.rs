//! Usage reports, with the outcome or rejection of each.
use serde::{Deserialize, Serialize};

use crate::Name;

/// Report of a scheduler, or of a partner of a federation, on the usage of a tenant in an interval.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageReport {
    /// Name of the reporter that sends the report, as enrolled.
    pub reporter: Name,
    /// Incarnation of the reporter, which increases each time that it starts.
    #[serde(rename = "generation")]
    pub incarnation: u64,
    /// Sequence number of the report in its incarnation, counted from 1 without gaps, corrections included.
    pub sequence: u64,
    /// Name of the tenant that used the slots.
    pub tenant: Name,
    /// Start of the interval, inclusive, in milliseconds of Unix time. The reporter must not decrease it from
    /// one sequence number of an incarnation to the next, except in corrections; the ledger relies on this
    /// and does not check it.
    #[serde(rename = "start")]
    pub start_ms: i64,
    /// End of the interval, exclusive, in milliseconds of Unix time.
    #[serde(rename = "end")]
    pub end_ms: i64,
    /// Work done in the interval, in slot-milliseconds. A report of work 0 states that there was none: it
    /// moves the watermark of the reporter, so that windows can close.
    pub work: u64,
    /// Sequence number of the earlier report of the same incarnation that this report replaces, if any. The
    /// replaced report must not be a correction itself. Of two corrections of the same report, the one with
    /// the higher sequence number applies.
    pub corrects: Option<u64>,
}

/// Outcome of a report that was not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ReportOutcome {
    /// The report was recorded and starts in an open window.
    Counted,
    /// The report was recorded and starts in a closed window: its work in closed windows is an adjustment of
    /// the next window that closes.
    Late,
    /// The same report was recorded before; nothing changed.
    Duplicate,
    /// The report replaces another one with the same sequence number, which arrived before. Whatever the
    /// order of arrival, the report with less work is kept; at equal work the one with the earlier start,
    /// then with the shorter interval, then with the lesser tenant name, then with the lesser `corrects`.
    Replaced,
}

/// Reason why a report was rejected. A rejection changes nothing but its count.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
#[non_exhaustive]
pub enum ReportRejection {
    /// The reporter is not enrolled.
    #[error("reporter: not enrolled")]
    UnknownReporter,
    /// The tenant is not enrolled.
    #[error("tenant: not enrolled")]
    UnknownTenant,
    /// The tenant belongs to a federation on which this reporter may not report.
    #[error("tenant: of a federation that the reporter does not speak for")]
    #[serde(rename = "NotItsTenant")]
    ForeignTenant,
    /// The end of the report's interval is not after the start of the interval.
    #[error("end: not after the start")]
    #[serde(rename = "Backwards")]
    EmptyInterval,
    /// The report's interval is longer than the settings allow.
    #[error("end: too far from the start")]
    #[serde(rename = "TooLong")]
    IntervalTooLong,
    /// The end of the report's interval is in the future by more than the maximum clock skew.
    #[error("end: in the future")]
    #[serde(rename = "Future")]
    InFuture,
    /// The report's interval starts before the horizon, in an accounting window that the ledger has
    /// discarded.
    #[error("start: before the horizon")]
    #[serde(rename = "TooOld")]
    BeforeHorizon,
    /// The reported work exceeds the capacity of the reporter's pool in the report's interval.
    #[error("work: more than the pool can do in the interval")]
    #[serde(rename = "Absurd")]
    ExceedsCapacity,
    /// The incarnation is older than those that are kept for the reporter.
    #[error("generation: older than those that are kept")]
    #[serde(rename = "OldGeneration")]
    OldIncarnation,
    /// The sequence number is 0, or so old that the ledger no longer knows whether it was recorded.
    #[error("sequence: before those that are kept")]
    #[serde(rename = "FarBack")]
    SequenceTooOld,
    /// The sequence number is too high: further above the highest number received before the last advance of
    /// the ledger than the settings allow, or too high for the ledger to track.
    #[error("sequence: too far ahead of what had come")]
    #[serde(rename = "FarAhead")]
    SequenceTooFarAhead,
    /// Another report with the same sequence number was recorded that takes precedence (see
    /// [`ReportOutcome::Replaced`]).
    #[error("sequence: came before with less work")]
    #[serde(rename = "Contradicts")]
    ConflictingDuplicate,
    /// The corrected sequence number is 0, is not lower than the report's own, or was discarded.
    #[error("corrects: not an earlier sequence that is kept")]
    #[serde(rename = "Corrects")]
    InvalidCorrection,
}

impl ReportRejection {
    /// Serialized name of the field of [`UsageReport`] that caused the rejection.
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
