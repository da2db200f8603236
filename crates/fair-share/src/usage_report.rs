//! Usage reports, and the outcome or the rejection of a report.
use serde::{Deserialize, Serialize};

use crate::Name;

/// A report on the usage of one tenant in an interval. It is sent by a scheduler or by a partner of a
/// federation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageReport {
    /// The enrolled name of the reporter that sends the report.
    pub reporter: Name,
    /// The incarnation of the reporter, which increases each time that the reporter starts.
    #[serde(rename = "generation")]
    pub incarnation: u64,
    /// The sequence number of the report in the reporter's incarnation, counted from 1 without gaps.
    /// Corrections are counted too.
    pub sequence: u64,
    /// The name of the tenant that used the slots.
    pub tenant: Name,
    /// The start of the interval, inclusive, in milliseconds of Unix time. The start must not decrease from
    /// one sequence number of an incarnation to the next. The ledger relies on this and does not check it.
    /// Only corrections, which are reports with a value in `corrects`, may have an earlier start.
    #[serde(rename = "start")]
    pub start_ms: i64,
    /// The end of the interval, exclusive, in milliseconds of Unix time.
    #[serde(rename = "end")]
    pub end_ms: i64,
    /// The work that was done for the tenant in the interval, in slot-milliseconds. A report of work 0 states
    /// that there was none. Such a report moves the reporter's watermark, which is the instant before which
    /// the reporter has reported all its usage, so that accounting windows can close.
    pub work: u64,
    /// The sequence number of the earlier report that this report corrects; `None` if this report is not a
    /// correction. The earlier report must be from the same incarnation of the reporter, and must not be a
    /// correction itself. Of two corrections of the same report, the one with the higher sequence number
    /// applies.
    pub corrects: Option<u64>,
}

/// The outcome of a usage report that was not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ReportOutcome {
    /// The report was recorded. Its interval starts in an open accounting window.
    Counted,
    /// The report was recorded. Its interval starts in a closed accounting window. The work in closed windows
    /// becomes an adjustment of the next window that closes.
    Late,
    /// The same report had already been recorded, and nothing changed.
    Duplicate,
    /// The report replaces another report with the same sequence number that arrived before. Of two such
    /// reports, the one with less work is kept, whatever the order of arrival. At equal work, the report with
    /// the earlier start is kept, then the one with the shorter interval, then the one with the lesser tenant
    /// name. If these are equal too, the report with the lesser value in [`UsageReport::corrects`] is kept.
    Replaced,
}

/// The reason why a usage report was rejected. A rejected report changes nothing but the count of rejections.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, thiserror::Error,
)]
#[non_exhaustive]
pub enum ReportRejection {
    /// The reporter that the report names is not enrolled.
    #[error("reporter: not enrolled")]
    UnknownReporter,
    /// The tenant that the report names is not enrolled.
    #[error("tenant: not enrolled")]
    UnknownTenant,
    /// The report's tenant belongs to a federation on which this reporter may not report.
    #[error("tenant: of a federation that the reporter does not speak for")]
    #[serde(rename = "NotItsTenant")]
    ForeignTenant,
    /// The end of the report's interval is not after the start of the interval.
    #[error("end: not after the start")]
    #[serde(rename = "Backwards")]
    EmptyInterval,
    /// The report's interval is longer than the ledger's settings allow.
    #[error("end: too far from the start")]
    #[serde(rename = "TooLong")]
    IntervalTooLong,
    /// The report's interval ends in the future, by more than the maximum clock skew.
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
    /// The report is of an incarnation of the reporter that is older than those that the ledger keeps.
    #[error("generation: older than those that are kept")]
    #[serde(rename = "OldGeneration")]
    OldIncarnation,
    /// The report's sequence number is 0, or so old that the ledger no longer knows whether it was recorded.
    #[error("sequence: before those that are kept")]
    #[serde(rename = "FarBack")]
    SequenceTooOld,
    /// The report's sequence number is too high. It exceeds the highest number received before the last call
    /// of [`crate::UsageLedger::advance`] by more than the settings allow, or it is too high for the ledger
    /// to track.
    #[error("sequence: too far ahead of what had come")]
    #[serde(rename = "FarAhead")]
    SequenceTooFarAhead,
    /// Another report with the same sequence number was recorded before and is kept.
    /// [`ReportOutcome::Replaced`] explains which of two such reports is kept.
    #[error("sequence: came before with less work")]
    #[serde(rename = "Contradicts")]
    ConflictingDuplicate,
    /// The sequence number that the report corrects is 0, is not lower than the report's own, or was
    /// discarded.
    #[error("corrects: not an earlier sequence that is kept")]
    #[serde(rename = "Corrects")]
    InvalidCorrection,
}

impl ReportRejection {
    /// The serialized name of the field of [`UsageReport`] that caused the rejection.
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
