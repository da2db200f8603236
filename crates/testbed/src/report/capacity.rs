//! The chart that compares the work of each worker with the worker's capacity.
use std::ops::Range;

use plotters::chart::ChartBuilder;
use plotters::element::{Rectangle, Text};
use plotters::series::LineSeries;
use plotters::style::{BLACK, Color, RGBColor, WHITE};

use super::ReportError;
use super::chart::{Area, COLOURS, Chart, FONT, LEGEND_WIDTH, LegendEntry, SIZE, draw_legend, render_svg};
use crate::compare::VariantResult;
use crate::outcome::{RunOutcome, WorkerOutcome};

const CAPACITY_COLOUR: RGBColor = RGBColor(205, 205, 205);
const DONE_COLOUR: RGBColor = COLOURS[2];
/// Largest number of bars that a chart shows with gaps between them. With more bars, the chart has no gaps.
const MAX_BARS_WITH_GAP: usize = 150;

/// The bar of one worker in the chart. `capacity` and `done` are means over the runs, in core-seconds.
struct Bar {
    zone: u32,
    capacity: f64,
    done: f64,
}

/// Draws an SVG chart of the completed work and the capacity of each worker, ordered by zone and group. Both
/// values are means over the runs of `variant`. The capacity is the work that the worker could complete if it
/// were up and past its slow start during the whole run. The result is empty if the first run has no workers.
pub(super) fn capacity_chart(variant: &VariantResult) -> Result<String, ReportError> {
    let Some(run) = variant.runs.first().filter(|run| !run.workers.is_empty()) else {
        return Ok(String::new());
    };
    let bars = sorted_bars(run, &variant.runs);
    let highest = bars.iter().map(|bar| bar.capacity.max(bar.done)).fold(1e-9, f64::max) * 1.15;
    render_svg(SIZE, |area| {
        let mut builder = ChartBuilder::on(area);
        builder.margin(8).margin_right(LEGEND_WIDTH).x_label_area_size(34).y_label_area_size(60);
        let mut chart = builder.build_cartesian_2d(0.0..bars.len() as f64, 0.0..highest)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().disable_x_axis().y_desc("core-seconds").label_style(FONT);
        mesh.light_line_style(WHITE.mix(0.0)).draw()?;
        draw_bars(&mut chart, &bars)?;
        for zone in zone_ranges(&bars) {
            draw_zone(area, &mut chart, &bars, zone, highest)?;
        }
        let entries = [("could have done", CAPACITY_COLOUR), ("did", DONE_COLOUR)];
        draw_legend(area, entries.map(|(name, colour)| LegendEntry::area(name, colour)))
    })
}

fn sorted_bars(first_run: &RunOutcome, runs: &[RunOutcome]) -> Vec<Bar> {
    let workers = &first_run.workers;
    let mut order: Vec<usize> = (0..workers.len()).collect();
    order.sort_by_key(|&index| (workers[index].zone, workers[index].group, index));
    let mean = |index: usize, value: fn(&WorkerOutcome) -> f64| {
        runs.iter().filter_map(|run| run.workers.get(index)).map(value).sum::<f64>() / runs.len() as f64
    };
    let bar = |index: usize| Bar {
        zone: workers[index].zone,
        capacity: mean(index, |worker| worker.capacity_core_s),
        done: mean(index, |worker| worker.done_core_s),
    };
    order.into_iter().map(bar).collect()
}

fn draw_bars(chart: &mut Chart<'_, '_>, bars: &[Bar]) -> Result<(), ReportError> {
    let gap = if bars.len() > MAX_BARS_WITH_GAP { 0.0 } else { 0.12 };
    for (index, bar) in bars.iter().enumerate() {
        let (left, right) = (index as f64 + gap, index as f64 + 1.0 - gap);
        let rectangle = |top, colour: RGBColor| Rectangle::new([(left, 0.0), (right, top)], colour.filled());
        let both = [rectangle(bar.capacity, CAPACITY_COLOUR), rectangle(bar.done, DONE_COLOUR)];
        chart.draw_series(both)?;
    }
    Ok(())
}

/// Returns a range for each zone, with the indexes of the zone's bars. `bars` must be sorted by zone.
fn zone_ranges(bars: &[Bar]) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let mut start = 0;
    for zone in bars.chunk_by(|bar, next| bar.zone == next.zone) {
        ranges.push(start..start + zone.len());
        start += zone.len();
    }
    ranges
}

/// Writes the name of a zone below the zone's bars, and draws a line between this zone and the next zone.
fn draw_zone(
    area: &Area<'_>,
    chart: &mut Chart<'_, '_>,
    bars: &[Bar],
    zone: Range<usize>,
    highest: f64,
) -> Result<(), ReportError> {
    if zone.end < bars.len() {
        let line = [(zone.end as f64, 0.0), (zone.end as f64, highest)];
        chart.draw_series(LineSeries::new(line, BLACK.stroke_width(1)))?;
    }
    let (middle, _) = chart.backend_coord(&((zone.start + zone.end) as f64 / 2.0, 0.0));
    let name = format!("zone {}", bars[zone.start].zone);
    area.draw(&Text::new(name, (middle - 20, SIZE.1 as i32 - 34), FONT))?;
    Ok(())
}
