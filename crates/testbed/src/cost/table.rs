//! Formats the measured costs as text.
use super::{CostSample, ProgramCosts};

/// Something that a sample shows.
type Figure = fn(&CostSample) -> f64;

/// The figures of which each program is compared with the last one.
const COMPARED: [(&str, Figure); 2] =
    [("requests/s", |sample| sample.rate), ("CPU a request", |sample| sample.cpu_us)];
/// Keeps a ratio finite where the last program shows nothing.
const MIN_DIVISOR: f64 = 1e-9;

/// The programs as a table, and each one against the last as a ratio with its spread over the rounds.
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
        for (label, figure) in COMPARED {
            text += &comparison(name, last, label, &sorted_ratios(samples, baseline, figure));
        }
    }
    text
}

fn program_row(name: &str, samples: &[CostSample]) -> String {
    let median_of = |figure: Figure| median(samples.iter().map(figure).collect());
    format!(
        "{name:<18} {:>12.0} {:>14.1} {:>12.1} {:>11}\n",
        median_of(|sample| sample.rate),
        median_of(|sample| sample.cpu_us),
        median_of(|sample| sample.resident_mb),
        samples.iter().map(|sample| sample.not_served).sum::<u64>()
    )
}

/// One program's figure over the other's, round by round, in ascending order.
fn sorted_ratios(samples: &[CostSample], baseline: &[CostSample], figure: Figure) -> Vec<f64> {
    let pairs = samples.iter().zip(baseline);
    let mut ratios: Vec<f64> =
        pairs.map(|(own, other)| figure(own) / figure(other).max(MIN_DIVISOR)).collect();
    ratios.sort_by(f64::total_cmp);
    ratios
}

/// The line that compares a figure; empty with fewer than two rounds.
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
