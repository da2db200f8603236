//! The chart of the differences in score between the first variant and each other variant. A variant is a
//! policy, or an alternative of an experiment. The score of a run is the share of the jobs' weight that was
//! served in time, minus the cost of load queries. The weight of a job is its priority weight times its work.
use plotters::chart::ChartBuilder;
use plotters::element::{Circle, Text};
use plotters::series::LineSeries;
use plotters::style::{BLACK, Color, WHITE};

use super::ReportError;
use super::chart::{Area, COLOURS, Chart, FONT, SIZE, render_svg};
use crate::compare::{PairedDifference, VariantResult};

/// Height of the chart's row for one variant, in pixels.
const ROW_HEIGHT: u32 = 26;
/// Height that the axis and the margins of the chart take together, in pixels.
const AXIS_AND_MARGINS_HEIGHT: u32 = 52;
/// Width of the chart's column with the names of the variants, in pixels.
const NAME_COLUMN_WIDTH: u32 = 200;

/// Draws an SVG chart of the mean score of the first variant minus that of each other variant. The score of a
/// run is the share of the jobs' weight that was served in time, minus the cost of load queries. The weight
/// of a job is its priority weight times its work. A variant is one of the compared alternatives, such as a
/// dispatch policy.
///
/// The chart also shows the 95% confidence interval of each difference. The result is empty if no variant has
/// enough pairs of runs with the same seed for an interval.
pub(super) fn differences_chart(variants: &[VariantResult]) -> Result<String, ReportError> {
    let differences: Vec<(&str, PairedDifference)> = variants
        .iter()
        .filter_map(|variant| {
            let difference = variant.deficit.filter(PairedDifference::has_interval)?;
            Some((variant.policy.as_str(), difference))
        })
        .collect();
    if differences.is_empty() {
        return Ok(String::new());
    }
    let bounds = differences.iter().flat_map(|(_, difference)| difference.interval);
    let (low, high) = bounds.fold((0.0_f64, 0.0_f64), |(low, high), bound| (low.min(bound), high.max(bound)));
    let margin = ((high - low) * 0.06).max(0.002);
    let size = (SIZE.0, ROW_HEIGHT * differences.len() as u32 + AXIS_AND_MARGINS_HEIGHT);
    render_svg(size, |area| {
        let mut builder = ChartBuilder::on(area);
        builder.margin(8).margin_right(30).x_label_area_size(34).y_label_area_size(NAME_COLUMN_WIDTH);
        let rows = differences.len() as f64;
        let mut chart = builder.build_cartesian_2d(low - margin..high + margin, 0.0..rows)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_y_mesh().disable_y_axis().label_style(FONT);
        mesh.x_desc("first minus this one").light_line_style(WHITE.mix(0.0)).draw()?;
        let zero = [(0.0, 0.0), (0.0, rows)];
        chart.draw_series(LineSeries::new(zero, BLACK.stroke_width(1)))?;
        for (index, (name, difference)) in differences.iter().enumerate() {
            let y = rows - index as f64 - 0.5;
            draw_difference(&mut chart, difference, y)?;
            draw_name(area, &chart, name, (low, y))?;
        }
        Ok(())
    })
}

fn draw_difference(
    chart: &mut Chart<'_, '_>,
    difference: &PairedDifference,
    y: f64,
) -> Result<(), ReportError> {
    let colour = COLOURS[2];
    let [low, high] = difference.interval;
    chart.draw_series(LineSeries::new([(low, y), (high, y)], colour.stroke_width(3)))?;
    // The circle is hollow if the interval includes zero. Hollow and filled circles also differ in print
    // without colours.
    let fill = if difference.excludes_zero() { colour.filled() } else { WHITE.filled() };
    chart.draw_series([Circle::new((difference.mean, y), 5, fill)])?;
    chart.draw_series([Circle::new((difference.mean, y), 5, colour.stroke_width(2))])?;
    Ok(())
}

fn draw_name(
    area: &Area<'_>,
    chart: &Chart<'_, '_>,
    name: &str,
    position: (f64, f64),
) -> Result<(), ReportError> {
    let (_, y) = chart.backend_coord(&position);
    area.draw(&Text::new(name.to_owned(), (12, y - 7), FONT))?;
    Ok(())
}
