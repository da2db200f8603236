//! Parts that all charts share: size, colours, legend, time axis and the SVG document.
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

/// The colours of the charts, which are the palette of Okabe and Ito. Readers with a colour vision deficiency
/// can tell these colours apart. Lines also differ by their dashes, for print without colours.
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
/// Font of all text in charts: the font family, and the size in pixels.
pub(super) const FONT: (&str, i32) = ("sans-serif", 13);

/// The points of a line in a chart, as pairs of x and y.
pub(super) type Points = Vec<(f64, f64)>;

/// The drawing area of an SVG document of the plotters library.
pub(super) type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A chart with two linear axes.
pub(super) type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The dash pattern of a line.
#[derive(Clone, Copy)]
pub(super) struct Dashes {
    /// Length of a dash, in pixels.
    pub length: u32,
    /// Length of the gap between two dashes, in pixels.
    pub gap: u32,
}

/// An entry in the legend of a chart.
pub(super) struct LegendEntry {
    pub name: String,
    pub style: ShapeStyle,
    /// The dash pattern of the line that the entry explains. `None` if the entry explains a filled area.
    pub dashes: Option<Dashes>,
}

impl LegendEntry {
    /// Creates the legend entry of a filled area.
    pub(super) fn area(name: &str, colour: RGBColor) -> LegendEntry {
        LegendEntry { name: name.to_owned(), style: colour.filled(), dashes: None }
    }
}

/// Renders an SVG document with a white background, on which `draw` draws. `size` is the width and height of
/// the document, in pixels.
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

/// Draws a chart's legend in the right margin of the chart. The legend of the plotters library is not used,
/// because it lies inside the chart and would cover lines.
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

/// Renders a chart whose x axis is the time of a scenario. Each fault of the scenario is a grey band, and
/// `draw` draws over these bands. `low` and `high` are the bounds of the y axis.
pub(super) fn chart_over_time(
    scenario: &Scenario,
    low: f64,
    high: f64,
    draw: impl FnOnce(&mut Chart<'_, '_>) -> Result<Vec<LegendEntry>, ReportError>,
) -> Result<String, ReportError> {
    render_svg(SIZE, |area| {
        // The right margin is kept free for the legend. Inside the chart, the legend would cover lines.
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
