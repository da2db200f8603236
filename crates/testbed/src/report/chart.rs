//! Draws what all charts have in common: size, colours, legend and the SVG around them.
use plotters::chart::{ChartBuilder, ChartContext};
use plotters::coord::Shift;
use plotters::coord::cartesian::Cartesian2d;
use plotters::coord::types::RangedCoordf64;
use plotters::drawing::{DrawingArea, IntoDrawingArea};
use plotters::element::{DashedPathElement, Rectangle, Text};
use plotters::prelude::SVGBackend;
use plotters::style::{Color, RGBColor, ShapeStyle, WHITE};

use super::ReportError;
use crate::scenario::Scenario;

/// The colours of Okabe and Ito, which most eyes can tell apart; in grey print lines differ by dashes.
pub(super) const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 0, 0),
    RGBColor(213, 94, 0),
    RGBColor(0, 114, 178),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
];
const FAULT_COLOUR: RGBColor = RGBColor(225, 225, 225);
/// Width and height of a chart, in pixels.
pub(super) const SIZE: (u32, u32) = (940, 300);
/// Width of a chart's legend, in pixels.
pub(super) const LEGEND_WIDTH: u32 = 168;
/// The font of all texts: family and size.
pub(super) const FONT: (&str, i32) = ("sans-serif", 13);

/// Points of a line: x and y.
pub(super) type Points = Vec<(f64, f64)>;

/// A drawing area of an SVG.
pub(super) type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A chart with two linear axes.
pub(super) type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// Dashes of a line, in pixels.
#[derive(Clone, Copy)]
pub(super) struct Dashes {
    pub length: u32,
    pub gap: u32,
}

/// An entry of a legend.
pub(super) struct LegendEntry {
    pub name: String,
    pub style: ShapeStyle,
    /// The dashes of a line; `None` for an area.
    pub dashes: Option<Dashes>,
}

impl LegendEntry {
    /// The entry of an area.
    pub(super) fn area(name: &str, colour: RGBColor) -> LegendEntry {
        LegendEntry { name: name.to_owned(), style: colour.filled(), dashes: None }
    }
}

/// An SVG of this size with what `draw` draws on white.
pub(super) fn render_svg(
    size: (u32, u32),
    draw: impl FnOnce(&Area<'_>) -> Result<(), ReportError>,
) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(svg)
}

/// Draws the legend in the margin on the right. The library keeps its own inside the chart, where it would
/// cover lines.
pub(super) fn draw_legend(
    area: &Area<'_>,
    entries: impl IntoIterator<Item = LegendEntry>,
) -> Result<(), ReportError> {
    for (index, entry) in entries.into_iter().enumerate() {
        let (x, y) = ((SIZE.0 - LEGEND_WIDTH) as i32 + 14, 18 + 20 * index as i32);
        match entry.dashes {
            None => area.draw(&Rectangle::new([(x, y - 5), (x + 24, y + 5)], entry.style))?,
            Some(Dashes { length, gap }) => {
                area.draw(&DashedPathElement::new([(x, y), (x + 24, y)], length, gap, entry.style))?;
            }
        }
        area.draw(&Text::new(entry.name, (x + 32, y - 6), FONT))?;
    }
    Ok(())
}

/// A chart over the scenario's seconds with its faults as bands, and what `draw` draws over them.
pub(super) fn chart_over_time(
    scenario: &Scenario,
    low: f64,
    high: f64,
    draw: impl FnOnce(&mut Chart<'_, '_>) -> Result<Vec<LegendEntry>, ReportError>,
) -> Result<String, ReportError> {
    render_svg(SIZE, |area| {
        // The legend has the margin on the right to itself, so that it covers no line.
        let mut builder = ChartBuilder::on(area);
        builder.margin(8).margin_right(LEGEND_WIDTH).x_label_area_size(34).y_label_area_size(48);
        let mut chart = builder.build_cartesian_2d(0.0..scenario.duration_s, low..high)?;
        for fault in &scenario.faults {
            let end = (fault.starts_at_s + fault.stagger_s + fault.duration_s).min(scenario.duration_s);
            let band = Rectangle::new([(fault.starts_at_s, low), (end, high)], FAULT_COLOUR.filled());
            chart.draw_series([band])?;
        }
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().x_desc("seconds").label_style(FONT);
        mesh.light_line_style(WHITE.mix(0.0)).draw()?;
        let entries = draw(&mut chart)?;
        draw_legend(area, entries)
    })
}
