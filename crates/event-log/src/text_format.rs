//! What the texts of the summaries have in common.
use std::collections::BTreeMap;

use hdrhistogram::Histogram;

/// Longest elapsed time that is told apart: a day, in microseconds.
const MAX_ELAPSED_US: u64 = 86_400_000_000;

/// Counts by name.
pub(crate) type Counts = BTreeMap<String, u64>;

/// Counts one more of a name.
pub(crate) fn increment(counts: &mut Counts, name: &str) {
    *counts.entry(name.to_owned()).or_default() += 1;
}

/// The counts as `name count, name count`, by name.
pub(crate) fn format_counts(counts: &Counts) -> String {
    counts.iter().map(|(name, count)| format!("{name} {count}")).collect::<Vec<_>>().join(", ")
}

/// An empty histogram of elapsed times in microseconds.
pub(crate) fn elapsed_histogram(significant_digits: u8) -> Histogram<u64> {
    Histogram::new_with_max(MAX_ELAPSED_US, significant_digits)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

/// A quantile of elapsed times, in milliseconds.
pub(crate) fn quantile_ms(elapsed_us: &Histogram<u64>, quantile: f64) -> f64 {
    elapsed_us.value_at_quantile(quantile) as f64 / 1e3
}
