//! Draws the chart of differences between the first variant and each other one.
use plotters::chart::ChartBuilder;
use plotters::element::{Circle, Text};
use plotters::series::LineSeries;
use plotters::style::{BLACK, Color, WHITE};

use super::ReportError;
use super::chart::{Area, COLOURS, Chart, FONT, SIZE, render_svg};
use crate::compare::{PairedDifference, VariantResult};

/// Height of a variant's line, in pixels.
const LINE_HEIGHT: u32 = 26;
/// Height of what surrounds the lines, in pixels.
const SURROUNDING_HEIGHT: u32 = 52;
/// Width of the variants' names, in pixels.
const NAMES_WIDTH: u32 = 200;

/// The first variant less each other one, with its interval. Nothing where there are too few pairs.
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
    let ends = differences.iter().flat_map(|(_, difference)| difference.interval);
    let (low, high) = ends.fold((0.0_f64, 0.0_f64), |(low, high), end| (low.min(end), high.max(end)));
    let margin = ((high - low) * 0.06).max(0.002);
    let size = (SIZE.0, LINE_HEIGHT * differences.len() as u32 + SURROUNDING_HEIGHT);
    render_svg(size, |area| {
        let mut builder = ChartBuilder::on(area);
        builder.margin(8).margin_right(30).x_label_area_size(34).y_label_area_size(NAMES_WIDTH);
        let lines = differences.len() as f64;
        let mut chart = builder.build_cartesian_2d(low - margin..high + margin, 0.0..lines)?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_y_mesh().disable_y_axis().label_style(FONT);
        mesh.x_desc("first less this one").light_line_style(WHITE.mix(0.0)).draw()?;
        let zero = [(0.0, 0.0), (0.0, lines)];
        chart.draw_series(LineSeries::new(zero, BLACK.stroke_width(1)))?;
        for (index, (name, difference)) in differences.iter().enumerate() {
            let y = lines - index as f64 - 0.5;
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
    // Hollow where no difference is shown, for print without colours.
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
