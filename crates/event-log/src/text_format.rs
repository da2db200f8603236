//! Formats counts and times for the texts of the summaries.
//!
//! The wording of the summaries does not follow the names in the code, because other programs may parse the
//! summaries: `taken` counts accepted requests, `schedulings` attempts, `refused` rejections and `lists`
//! endpoint updates.
use std::collections::BTreeMap;

use hdrhistogram::Histogram;

/// Upper bound of the histograms of elapsed times, in microseconds: a day. Longer times count as a day.
const MAX_ELAPSED_US: u64 = 86_400_000_000;

/// Numbers of occurrences, such as of outcomes or rejection reasons, by name.
pub(crate) type Counts = BTreeMap<String, u64>;

/// Adds one to the count of a name.
pub(crate) fn increment(counts: &mut Counts, name: &str) {
    *counts.entry(name.to_owned()).or_default() += 1;
}

/// The counts as `name count, name count`, sorted by name.
pub(crate) fn format_counts(counts: &Counts) -> String {
    counts.iter().map(|(name, count)| format!("{name} {count}")).collect::<Vec<_>>().join(", ")
}

/// An empty histogram of elapsed times in microseconds.
pub(crate) fn elapsed_histogram(significant_digits: u8) -> Histogram<u64> {
    Histogram::new_with_max(MAX_ELAPSED_US, significant_digits)
        .unwrap_or_else(|_| unreachable!("the histogram's bounds are valid"))
}

/// A quantile of the elapsed times in a histogram, in milliseconds; `quantile` is from 0 to 1.
pub(crate) fn quantile_ms(elapsed_us: &Histogram<u64>, quantile: f64) -> f64 {
    elapsed_us.value_at_quantile(quantile) as f64 / 1e3
}
