//! Formats cost measurements as a text table.
use super::{CostSample, ProgramCosts};

/// Selects one metric of a sample.
type Metric = fn(&CostSample) -> f64;

/// The metrics by which each program is compared with the last program, with their printed labels.
const COMPARED_METRICS: [(&str, Metric); 2] =
    [("requests/s", |sample| sample.rate), ("CPU a request", |sample| sample.cpu_us)];
/// Lower bound of a ratio's divisor, which keeps the ratio finite if the last program measured 0.
const MIN_DIVISOR: f64 = 1e-9;

/// Formats the medians of each program as a table, followed by the ratios of each program to the last one
/// with their range over the rounds.
pub fn format_table(programs: &ProgramCosts) -> String {
    let mut text = format!(
        "{:<18} {:>12} {:>14} {:>12} {:>11}\n",
        "program", "requests/s", "CPU us/request", "resident MB", "not served"
    );
    for (name, samples) in programs {
        text += &program_row(name, samples);
    }
    let Some(((last, baseline), others)) = programs.split_last() else { return text };
    for (name, samples) in others {
        for (label, metric) in COMPARED_METRICS {
            text += &comparison(name, last, label, &sorted_ratios(samples, baseline, metric));
        }
    }
    text
}

fn program_row(name: &str, samples: &[CostSample]) -> String {
    let median_of = |metric: Metric| median(samples.iter().map(metric).collect());
    format!(
        "{name:<18} {:>12.0} {:>14.1} {:>12.1} {:>11}\n",
        median_of(|sample| sample.rate),
        median_of(|sample| sample.cpu_us),
        median_of(|sample| sample.resident_mb),
        samples.iter().map(|sample| sample.not_served).sum::<u64>()
    )
}

/// The per-round ratios of one program's metric to the baseline program's, in ascending order.
fn sorted_ratios(samples: &[CostSample], baseline: &[CostSample], metric: Metric) -> Vec<f64> {
    let pairs = samples.iter().zip(baseline);
    let mut ratios: Vec<f64> =
        pairs.map(|(own, other)| metric(own) / metric(other).max(MIN_DIVISOR)).collect();
    ratios.sort_by(f64::total_cmp);
    ratios
}

/// The line that compares one metric of two programs; empty with fewer than two rounds.
fn comparison(name: &str, other: &str, label: &str, ratios: &[f64]) -> String {
    let [lowest, .., highest] = ratios[..] else { return String::new() };
    format!(
        "{name} against {other}: {label} {:.2} times ({lowest:.2} to {highest:.2} over {} rounds)\n",
        median(ratios.to_vec()),
        ratios.len()
    )
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
