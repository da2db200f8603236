//! Formats the counts and times in the printed summaries of event logs.
//!
//! Some printed words differ from the names in the code. The printed words must stay, because other programs
//! may parse the summaries. `taken` counts accepted requests, which are those passed to the dispatch policy.
//! `schedulings` counts attempts, `refused` counts rejections, and `lists` counts endpoint updates.
use std::collections::BTreeMap;

use hdrhistogram::Histogram;

/// The longest elapsed time that the histograms can hold, in microseconds: one day. Longer times count as one
/// day.
const MAX_ELAPSED_US: u64 = 86_400_000_000;

/// Counts by name, such as the number of attempts for each outcome or of rejections for each reason.
pub(crate) type Counts = BTreeMap<String, u64>;

/// Adds 1 to the count that has the name `name`.
pub(crate) fn increment(counts: &mut Counts, name: &str) {
    *counts.entry(name.to_owned()).or_default() += 1;
}

/// Returns the counts as the text `name count, name count, ...`, sorted by name.
pub(crate) fn format_counts(counts: &Counts) -> String {
    counts.iter().map(|(name, count)| format!("{name} {count}")).collect::<Vec<_>>().join(", ")
}

/// Creates an empty histogram of elapsed times in microseconds. Each time is kept with `significant_digits`
/// significant decimal digits.
pub(crate) fn elapsed_histogram(significant_digits: u8) -> Histogram<u64> {
    Histogram::new_with_max(MAX_ELAPSED_US, significant_digits)
        .unwrap_or_else(|_| unreachable!("the histogram's bounds are valid"))
}

/// Returns a quantile of the elapsed times in a histogram, in milliseconds. `quantile` is from 0 to 1, such
/// as 0.5 for the median.
pub(crate) fn quantile_ms(elapsed_us: &Histogram<u64>, quantile: f64) -> f64 {
    elapsed_us.value_at_quantile(quantile) as f64 / 1e3
}
