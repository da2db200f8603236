//! Usage reports, and what becomes of them.
use serde::{Deserialize, Serialize};

use crate::Name;

/// What a scheduler, or a federation's partner, reports that a tenant used.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UsageReport {
    /// Who reports it.
    pub reporter: Name,
    /// The incarnation of the reporter; greater with each of its starts.
    #[serde(rename = "generation")]
    pub incarnation: u64,
    /// The number of the report within its incarnation, from 1 without a gap; corrections are numbered too.
    pub sequence: u64,
    /// Who used it.
    pub tenant: Name,
    /// When the work began, in milliseconds of Unix time. Within an incarnation it never decreases from one sequence
    /// number to the next, except in corrections.
    #[serde(rename = "start")]
    pub start_ms: i64,
    /// The end of the interval, exclusive, in milliseconds of Unix time.
    #[serde(rename = "end")]
    pub end_ms: i64,
    /// Work done in the interval, in slot-milliseconds; 0 states that there was none, so that no window waits for it.
    pub work: u64,
    /// The earlier sequence number of the same incarnation that this report replaces. That must be no correction
    /// itself; of two corrections the one with the higher sequence number counts.
    pub corrects: Option<u64>,
}

/// What became of a report that was not rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum ReportOutcome {
    /// It counts in windows that are open.
    Counted,
    /// It counts, and some of it in closed windows: that is an adjustment of the next window that closes.
    Late,
    /// It was recorded before; nothing changed.
    Duplicate,
    /// It replaces another report with the same sequence number, which compares greater.
    Replaced,
}

/// Why a report was rejected. Nothing but the count of rejections changed.
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
    /// The tenant is of a federation on which this reporter may not report.
    #[error("tenant: of a federation that the reporter does not speak for")]
    #[serde(rename = "NotItsTenant")]
    ForeignTenant,
    /// The end is not after the start.
    #[error("end: not after the start")]
    #[serde(rename = "Backwards")]
    EmptyInterval,
    /// The interval is longer than the settings allow.
    #[error("end: too far from the start")]
    #[serde(rename = "TooLong")]
    IntervalTooLong,
    /// The end is in the future, by more than clocks may differ.
    #[error("end: in the future")]
    #[serde(rename = "Future")]
    InFuture,
    /// The start is before the horizon: its window is no longer kept.
    #[error("start: before the horizon")]
    #[serde(rename = "TooOld")]
    BeforeHorizon,
    /// The work is more than the reporter's pool can do in the interval.
    #[error("work: more than the pool can do in the interval")]
    #[serde(rename = "Absurd")]
    ExceedsCapacity,
    /// The incarnation is older than those that are kept.
    #[error("generation: older than those that are kept")]
    #[serde(rename = "OldGeneration")]
    OldIncarnation,
    /// The sequence number is 0, or so old that it is no longer known whether it was recorded.
    #[error("sequence: before those that are kept")]
    #[serde(rename = "FarBack")]
    SequenceTooOld,
    /// The sequence number is further ahead than a reporter may go between two advances.
    #[error("sequence: too far ahead of what had come")]
    #[serde(rename = "FarAhead")]
    SequenceTooFarAhead,
    /// Another report, which compares less, has the same sequence number.
    #[error("sequence: came before with less work")]
    #[serde(rename = "Contradicts")]
    ConflictingDuplicate,
    /// The sequence number that it corrects is not an earlier one, or is no longer kept.
    #[error("corrects: not an earlier sequence that is kept")]
    #[serde(rename = "Corrects")]
    InvalidCorrection,
}

impl ReportRejection {
    /// The serialized name of the field that was rejected.
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
