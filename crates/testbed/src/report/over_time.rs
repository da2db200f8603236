//! The charts that have time as x axis. One shows the share of the jobs' weight that was served in time, the
//! other the weight of the jobs by outcome. The weight of a job is its priority weight times its work.
use plotters::series::{AreaSeries, DashedLineSeries};
use plotters::style::{Color, RGBColor};

use super::ReportError;
use super::chart::{COLOURS, Dashes, LegendEntry, Points, chart_over_time};
use crate::compare::VariantResult;
use crate::outcome::WeightTotals;
use crate::scenario::Scenario;

/// Length of the window over which the values of the charts are averaged, in seconds.
const SMOOTHING_WINDOW_S: usize = 3;
/// The dash patterns of the lines in a chart that compares alternatives, such as dispatch policies. The line
/// of the first alternative has the first pattern, and so on. After the last pattern, the first pattern is
/// used again.
const LINE_DASHES: [Dashes; 6] = [
    Dashes { length: 1_000, gap: 0 },
    Dashes { length: 8, gap: 3 },
    Dashes { length: 3, gap: 3 },
    Dashes { length: 12, gap: 5 },
    Dashes { length: 5, gap: 2 },
    Dashes { length: 2, gap: 5 },
];

/// Draws an SVG chart with a line for each variant. A variant is one of the compared alternatives, such as a
/// dispatch policy. The line shows the share of the jobs' weight that belongs to jobs served within their
/// latency objective. The weight of a job is its priority weight times its work.
pub(super) fn in_time_chart(scenario: &Scenario, variants: &[VariantResult]) -> Result<String, ReportError> {
    let lines: Vec<(&str, Points)> = variants
        .iter()
        .map(|variant| {
            let seconds = mean_seconds(variant, scenario);
            (variant.policy.as_str(), smoothed(&seconds, WeightTotals::in_time_share))
        })
        .collect();
    let lowest = lines.iter().flat_map(|(_, points)| points).map(|point| point.1).fold(1.0, f64::min);
    // The y axis starts at the lowest share, rounded down to a tenth, but at most at 0.9. It does not start
    // at 0, so that small differences are visible.
    let floor = ((lowest * 10.0).floor() / 10.0).clamp(0.0, 0.9);
    chart_over_time(scenario, floor, 1.0, |chart| {
        let mut entries = Vec::new();
        for (index, (name, points)) in lines.iter().enumerate() {
            let width = if index == 0 { 3 } else { 2 };
            let style = COLOURS[index % COLOURS.len()].stroke_width(width);
            let dashes = LINE_DASHES[index % LINE_DASHES.len()];
            let line = DashedLineSeries::new(points.iter().copied(), dashes.length, dashes.gap, style);
            chart.draw_series(line)?;
            entries.push(LegendEntry { name: (*name).to_owned(), style, dashes: Some(dashes) });
        }
        Ok(entries)
    })
}

/// A coloured band of a stacked chart. The band is drawn as an area from zero to `top`, and the bands drawn
/// after it cover its lower part.
struct Band {
    name: &'static str,
    top: fn(&WeightTotals) -> f64,
    colour: RGBColor,
}

/// The bands of the chart by outcome, in the order in which they are drawn. Each band is an area from zero up
/// to its own top. A band that is drawn later covers the lower part of the earlier ones. The highest band is
/// therefore drawn first.
const BANDS: [Band; 5] = [
    Band {
        name: "lost",
        top: |weight| weight.in_time + weight.late + weight.rejected + weight.failed + weight.unanswered,
        colour: COLOURS[0],
    },
    Band {
        name: "failed",
        top: |weight| weight.in_time + weight.late + weight.rejected + weight.failed,
        colour: COLOURS[4],
    },
    Band {
        name: "refused",
        top: |weight| weight.in_time + weight.late + weight.rejected,
        colour: COLOURS[5],
    },
    Band { name: "late", top: |weight| weight.in_time + weight.late, colour: COLOURS[1] },
    Band { name: "in time", top: |weight| weight.in_time, colour: RGBColor(150, 200, 235) },
];

/// Draws an SVG chart of the summed weight of all jobs over time, with a band for each outcome of the jobs.
/// The weight of a job is its priority weight times its work. `variant` has the results of one of the
/// compared alternatives, such as a dispatch policy.
pub(super) fn outcomes_chart(scenario: &Scenario, variant: &VariantResult) -> Result<String, ReportError> {
    let seconds = mean_seconds(variant, scenario);
    let requested = smoothed(&seconds, |weight| weight.requested);
    let highest = requested.iter().map(|point| point.1).fold(1e-9, f64::max);
    chart_over_time(scenario, 0.0, highest * 1.05, |chart| {
        let mut entries = Vec::new();
        for Band { name, top, colour } in BANDS {
            chart.draw_series(AreaSeries::new(smoothed(&seconds, top), 0.0, colour.filled()))?;
            entries.push(LegendEntry::area(name, colour));
        }
        Ok(entries)
    })
}

/// Returns the summed weight of the jobs that arrived in each second of the scenario, by outcome. The weight
/// of a job is its priority weight times its work. Each value is the mean over all runs in `variant`.
fn mean_seconds(variant: &VariantResult, scenario: &Scenario) -> Vec<WeightTotals> {
    let runs = variant.runs.len().max(1) as f64;
    let mut sums = vec![WeightTotals::default(); scenario.duration_s.ceil() as usize];
    for run in &variant.runs {
        for (sum, weight) in sums.iter_mut().zip(&run.seconds) {
            sum.requested += weight.requested / runs;
            sum.in_time += weight.in_time / runs;
            sum.late += weight.late / runs;
            sum.rejected += weight.rejected / runs;
            sum.failed += weight.failed / runs;
            sum.unanswered += weight.unanswered / runs;
        }
    }
    sums
}

/// Returns a point for each second of the scenario. `seconds` has the summed weight of the jobs that arrived
/// in each second, by outcome. These weights are averaged over a window of [`SMOOTHING_WINDOW_S`] seconds
/// around the second. `value` computes the point's y value from the averages. At the start and the end of the
/// scenario, the window is shorter.
fn smoothed(seconds: &[WeightTotals], value: impl Fn(&WeightTotals) -> f64) -> Points {
    let half_window = SMOOTHING_WINDOW_S / 2;
    let window = |second: usize| {
        &seconds[second.saturating_sub(half_window)..(second + half_window + 1).min(seconds.len())]
    };
    (0..seconds.len()).map(|second| (second as f64 + 0.5, value(&mean_weight(window(second))))).collect()
}

fn mean_weight(window: &[WeightTotals]) -> WeightTotals {
    let mean = |part: fn(&WeightTotals) -> f64| window.iter().map(part).sum::<f64>() / window.len() as f64;
    WeightTotals {
        requested: mean(|weight| weight.requested),
        in_time: mean(|weight| weight.in_time),
        late: mean(|weight| weight.late),
        rejected: mean(|weight| weight.rejected),
        failed: mean(|weight| weight.failed),
        unanswered: mean(|weight| weight.unanswered),
    }
}
