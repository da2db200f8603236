//! Formats cost measurements as a text table.
use super::{CostSample, ProgramCosts};

/// A function that returns one metric, such as the CPU time per request, of a program in one round.
type Metric = fn(&CostSample) -> f64;

/// The metrics in which each program is compared with the reference program, each with its printed label. The
/// reference program is the last in the list of measured programs.
const COMPARED_METRICS: [(&str, Metric); 2] =
    [("requests/s", |sample| sample.rate), ("CPU a request", |sample| sample.cpu_us)];
/// Smallest value by which a program's metric is divided. The divisor is the metric of the reference program,
/// with which each other program is compared. Without this minimum, a reference metric of 0 would give an
/// infinite ratio.
const MIN_DIVISOR: f64 = 1e-9;

/// Formats cost measurements as a table with the medians of each program over the rounds. The number of
/// requests that were not served is the sum over the rounds.
///
/// The last program in the list is the reference. Lines below the table compare each other program with the
/// reference: the median ratio of each metric in `COMPARED_METRICS`, with its range over the rounds.
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

/// Divides one program's metric by that of the reference program in each round. Returns the ratios in
/// ascending order.
fn sorted_ratios(samples: &[CostSample], baseline: &[CostSample], metric: Metric) -> Vec<f64> {
    let pairs = samples.iter().zip(baseline);
    let mut ratios: Vec<f64> =
        pairs.map(|(own, other)| metric(own) / metric(other).max(MIN_DIVISOR)).collect();
    ratios.sort_by(f64::total_cmp);
    ratios
}

/// Formats the line that compares two programs in one metric. Returns an empty text if there were fewer than
/// two rounds.
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
