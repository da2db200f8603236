//! The entry for one usage report in the log of an incarnation, which is one run of a reporter.
use std::num::NonZeroU64;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::usage_report::UsageReport;

/// A usage report as the log of an incarnation stores it, without its reporter, incarnation and sequence
/// number. Of two entries with the same sequence number, the log keeps the lesser one. Entries are compared
/// field by field, in the order in which the fields are declared here.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct UsageEntry {
    work: u64,
    start_ms: i64,
    /// The length of the reported interval in milliseconds, greater than 0.
    length_ms: u32,
    tenant: Name,
    corrects: Option<NonZeroU64>,
}

impl UsageEntry {
    /// Creates the entry for a usage report whose interval was found to be valid.
    pub(crate) fn new(report: UsageReport) -> UsageEntry {
        UsageEntry {
            work: report.work,
            start_ms: report.start_ms,
            length_ms: (report.end_ms - report.start_ms) as u32,
            tenant: report.tenant,
            corrects: report.corrects.and_then(NonZeroU64::new),
        }
    }

    pub(crate) fn tenant(&self) -> &Name {
        &self.tenant
    }

    pub(crate) fn start_ms(&self) -> i64 {
        self.start_ms
    }

    /// The sequence number of the report that this entry corrects; `None` if the entry is not a correction.
    pub(crate) fn corrects(&self) -> Option<u64> {
        self.corrects.map(NonZeroU64::get)
    }

    pub(crate) fn is_correction(&self) -> bool {
        self.corrects.is_some()
    }

    /// Splits the entry's work evenly over its interval. Returns (window index, work) for each accounting
    /// window that the interval overlaps. The cumulative work at each window boundary is rounded down, so
    /// that the parts add up to the whole.
    pub(crate) fn split_by_window(&self, window_ms: i64) -> impl Iterator<Item = (i64, u64)> {
        let (start_ms, length_ms, work) = (self.start_ms, i64::from(self.length_ms), u128::from(self.work));
        let first = start_ms.div_euclid(window_ms);
        let last = (start_ms + length_ms - 1).div_euclid(window_ms);
        let work_done_by = move |instant_ms: i64| {
            let elapsed_ms = (instant_ms - start_ms).clamp(0, length_ms);
            (work * elapsed_ms as u128 / length_ms as u128) as u64
        };
        (first..=last).map(move |index| {
            let work_in_window = work_done_by((index + 1) * window_ms) - work_done_by(index * window_ms);
            (index, work_in_window)
        })
    }
}
