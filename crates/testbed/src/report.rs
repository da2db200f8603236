//! A comparison as one HTML file that needs nothing else: tables, and plots as SVG.
use minijinja::{Environment, context};
use plotters::element::DashedPathElement;
use plotters::prelude::*;

use crate::compare::{PairedDifference, VariantResult};
use crate::outcome::{WeightTotals, WorkerOutcome};
use crate::scenario::Scenario;

/// Okabe and Ito's colours, told apart by most eyes; in grey print the lines differ by their dashes.
const COLOURS: [RGBColor; 6] = [
    RGBColor(0, 0, 0),
    RGBColor(213, 94, 0),
    RGBColor(0, 114, 178),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
];
const SIZE: (u32, u32) = (940, 300);
/// Width of a plot's legend.
const LEGEND: u32 = 168;
/// Seconds over which a plot's figures are averaged.
const SMOOTH: usize = 3;

type Points = Vec<(f64, f64)>;

/// The page for scenarios with their rows; the first row of each is the one that is looked at closely.
///
/// # Errors
/// A plot or a template that fails, which would be a fault of this program.
pub fn render_html(played: &[(Scenario, Vec<VariantResult>)]) -> Result<String, String> {
    let mut parts = Vec::new();
    for (scenario, rows) in played {
        let Some(first) = rows.first() else { continue };
        let seconds = scenario.duration_s.ceil() as usize;
        let lines: Vec<(String, Points)> = rows
            .iter()
            .map(|row| (row.policy.clone(), smooth(&sums(row, seconds), WeightTotals::in_time_share)))
            .collect();
        let table: Vec<_> = rows
            .iter()
            .map(|row| {
                let behind = row.deficit.map(|of| of.to_string()).unwrap_or_default();
                let went = row.unserved_shares.map(|share| format!("{share:.3}"));
                let share = format!("{:.3}", row.in_time_share);
                context! { policy => row.policy, share, went, breaches => row.violations, behind }
            })
            .collect();
        let runs = first.runs.len().max(1) as u64;
        // Classes of the first seed: quantiles of several runs do not add up.
        let classes: Vec<_> = first.runs.first().map_or_else(Vec::new, |run| {
            let one = |class: &crate::outcome::ClassOutcome| {
                let [median, most99, most] = class.latency_ms.map(|ms| format!("{ms:.0}"));
                let share = format!("{:.3}", class.weight.in_time_share());
                context! { name => class.name, jobs => class.jobs, share, median, most99, most }
            };
            run.classes.iter().map(one).collect()
        });
        let faults: Vec<String> = scenario
            .faults
            .iter()
            .map(|of| format!("{} from {} s for {} s", of.kind, of.starts_at_s, of.duration_s))
            .collect();
        parts.push(context! {
            name => scenario.name,
            about => scenario.description,
            first => first.policy,
            seeds => first.runs.len(),
            jobs => first.runs.iter().map(|run| run.jobs).sum::<u64>() / runs,
            rows => table,
            shares => shares(scenario, &lines)?,
            went => went(scenario, &sums(first, seconds))?,
            classes,
            zones => zones(scenario, first),
            load => against_capacity(first)?,
            differences => differences(rows)?,
            faults,
        });
    }
    let mut environment = Environment::new();
    environment.add_template("report.html", include_str!("report.html")).map_err(|e| e.to_string())?;
    let page = environment.get_template("report.html").and_then(|page| page.render(context! { parts }));
    page.map_err(|e| e.to_string())
}

/// Worth by second, the mean over all runs of a row.
fn sums(row: &VariantResult, seconds: usize) -> Vec<WeightTotals> {
    let runs = row.runs.len().max(1) as f64;
    let mut sums = vec![WeightTotals::default(); seconds];
    for run in &row.runs {
        for (sum, worth) in sums.iter_mut().zip(&run.seconds) {
            sum.requested += worth.requested / runs;
            sum.in_time += worth.in_time / runs;
            sum.late += worth.late / runs;
            sum.rejected += worth.rejected / runs;
            sum.failed += worth.failed / runs;
            sum.unanswered += worth.unanswered / runs;
        }
    }
    sums
}

/// A figure of each second, over the seconds round it.
fn smooth(sums: &[WeightTotals], of: impl Fn(&WeightTotals) -> f64) -> Points {
    let window = |at: usize| {
        let part = &sums[at.saturating_sub(SMOOTH / 2)..(at + SMOOTH / 2 + 1).min(sums.len())];
        let add = |figure: fn(&WeightTotals) -> f64| part.iter().map(figure).sum::<f64>() / part.len() as f64;
        WeightTotals {
            requested: add(|w| w.requested),
            in_time: add(|w| w.in_time),
            late: add(|w| w.late),
            rejected: add(|w| w.rejected),
            failed: add(|w| w.failed),
            unanswered: add(|w| w.unanswered),
        }
    };
    (0..sums.len()).map(|at| (at as f64 + 0.5, of(&window(at)))).collect()
}

fn shares(scenario: &Scenario, lines: &[(String, Points)]) -> Result<String, String> {
    let lowest = lines.iter().flat_map(|(_, points)| points).map(|point| point.1).fold(1.0, f64::min);
    // Down to the next tenth below the lowest, so that small differences can be seen.
    let floor = ((lowest * 10.0).floor() / 10.0).clamp(0.0, 0.9);
    plot(scenario, floor, 1.0, |chart| {
        let mut marks = Vec::new();
        for (number, (name, points)) in lines.iter().enumerate() {
            let style = COLOURS[number % COLOURS.len()].stroke_width(if number == 0 { 3 } else { 2 });
            let (size, gap) = [(1_000, 0), (8, 3), (3, 3), (12, 5), (5, 2), (2, 5)][number % 6];
            let dashed = DashedLineSeries::new(points.iter().copied(), size, gap, style);
            chart.draw_series(dashed).map_err(|e| e.to_string())?;
            marks.push(Mark { name: name.clone(), style, dash: Some((size, gap)) });
        }
        Ok(marks)
    })
}

fn went(scenario: &Scenario, sums: &[WeightTotals]) -> Result<String, String> {
    type Figure = fn(&WeightTotals) -> f64;
    // Each band reaches from the one before up to its own sum; drawn from the highest down.
    let bands: [(&str, Figure, RGBColor); 5] = [
        ("lost", |w| w.in_time + w.late + w.rejected + w.failed + w.unanswered, COLOURS[0]),
        ("failed", |w| w.in_time + w.late + w.rejected + w.failed, COLOURS[4]),
        ("refused", |w| w.in_time + w.late + w.rejected, COLOURS[5]),
        ("late", |w| w.in_time + w.late, COLOURS[1]),
        ("in time", |w| w.in_time, RGBColor(150, 200, 235)),
    ];
    let highest = smooth(sums, |w| w.requested).iter().map(|point| point.1).fold(1e-9, f64::max);
    plot(scenario, 0.0, highest * 1.05, |chart| {
        let mut marks = Vec::new();
        for (name, figure, colour) in bands {
            let area = AreaSeries::new(smooth(sums, figure), 0.0, colour.filled());
            chart.draw_series(area).map_err(|e| e.to_string())?;
            marks.push(Mark { name: name.to_owned(), style: colour.filled(), dash: None });
        }
        Ok(marks)
    })
}

/// The first row's worth by the clients' zone and class: names, shares in time and what was asked for.
fn zones(scenario: &Scenario, first: &VariantResult) -> Vec<minijinja::Value> {
    let mut rows = Vec::new();
    for zone in 0..scenario.zones as usize {
        let share = |class: usize| {
            let of = first.runs.iter().filter_map(|run| run.zones.get(zone)?.get(class));
            let (asked, in_time) = of.fold((0.0, 0.0), |sum, w| (sum.0 + w.requested, sum.1 + w.in_time));
            if asked > 0.0 { format!("{:.3}", in_time / asked) } else { "-".to_owned() }
        };
        let shares: Vec<String> = (0..scenario.classes.len()).map(share).collect();
        rows.push(context! { zone, shares });
    }
    rows
}

/// What each worker did against what it could have done, in the mean over runs: by zone, and in it by
/// kind.
fn against_capacity(first: &VariantResult) -> Result<String, String> {
    let Some(run) = first.runs.first().filter(|run| !run.workers.is_empty()) else {
        return Ok(String::new());
    };
    let mut order: Vec<usize> = (0..run.workers.len()).collect();
    order.sort_by_key(|&at| (run.workers[at].zone, run.workers[at].group, at));
    let runs = first.runs.len() as f64;
    let mean = |at: usize, of: fn(&WorkerOutcome) -> f64| {
        first.runs.iter().filter_map(|run| run.workers.get(at)).map(of).sum::<f64>() / runs
    };
    let bars: Vec<(f64, f64)> =
        order.iter().map(|&at| (mean(at, |w| w.capacity_core_s), mean(at, |w| w.done_core_s))).collect();
    let highest = bars.iter().map(|bar| bar.0.max(bar.1)).fold(1e-9, f64::max) * 1.15;
    let all = bars.len() as f64;
    let said = |error: &dyn std::fmt::Display| error.to_string();
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| said(&e))?;
        let mut builder = ChartBuilder::on(&area);
        builder.margin(8).margin_right(LEGEND).x_label_area_size(34).y_label_area_size(60);
        let mut chart = builder.build_cartesian_2d(0.0..all, 0.0..highest).map_err(|e| said(&e))?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh().disable_x_axis().y_desc("core-seconds").label_style(("sans-serif", 13));
        mesh.light_line_style(WHITE.mix(0.0)).draw().map_err(|e| said(&e))?;
        // Bars stand apart while there is room for it.
        let gap = if bars.len() > 150 { 0.0 } else { 0.12 };
        for (number, (capacity, done)) in bars.iter().enumerate() {
            let (left, right) = (number as f64 + gap, number as f64 + 1.0 - gap);
            let bar = |to, colour: RGBColor| Rectangle::new([(left, 0.0), (right, to)], colour.filled());
            let both = [bar(*capacity, RGBColor(205, 205, 205)), bar(*done, COLOURS[2])];
            chart.draw_series(both).map_err(|e| said(&e))?;
        }
        // A line where a zone ends, and its name under its bars.
        let mut from = 0;
        while let Some(&first) = order.get(from) {
            let zone = run.workers[first].zone;
            let to = order[from..].iter().position(|&at| run.workers[at].zone != zone);
            let to = to.map_or(order.len(), |step| from + step);
            if to < order.len() {
                let line = [(to as f64, 0.0), (to as f64, highest)];
                chart.draw_series(LineSeries::new(line, BLACK.stroke_width(1))).map_err(|e| said(&e))?;
            }
            let (middle, _) = chart.backend_coord(&((from + to) as f64 / 2.0, 0.0));
            let name =
                Text::new(format!("zone {zone}"), (middle - 20, SIZE.1 as i32 - 34), ("sans-serif", 13));
            area.draw(&name).map_err(|e| said(&e))?;
            from = to;
        }
        let marks = [("could have done", RGBColor(205, 205, 205)), ("did", COLOURS[2])];
        let mark = |(name, colour): (&str, RGBColor)| Mark {
            name: name.to_owned(),
            style: colour.filled(),
            dash: None,
        };
        legend(&area, marks.map(mark))?;
        area.present().map_err(|e| said(&e))?;
    }
    Ok(svg)
}

/// Height of a variant's line in the plot of differences, and of what surrounds the lines.
const LINE: u32 = 26;
const ROUND: u32 = 52;
/// Width of the variants' names.
const NAMES: u32 = 200;

/// The first variant less each other one, with its interval. Nothing where there are too few pairs.
fn differences(rows: &[VariantResult]) -> Result<String, String> {
    let others: Vec<(&str, PairedDifference)> = rows
        .iter()
        .filter_map(|row| Some((&*row.policy, row.deficit.filter(PairedDifference::has_interval)?)))
        .collect();
    if others.is_empty() {
        return Ok(String::new());
    }
    let ends = others.iter().flat_map(|(_, of)| [of.interval[0], of.interval[1], 0.0]);
    let (low, high) = ends.fold((0.0_f64, 0.0_f64), |(low, high), end| (low.min(end), high.max(end)));
    let room = ((high - low) * 0.06).max(0.002);
    let said = |error: &dyn std::fmt::Display| error.to_string();
    let mut svg = String::new();
    {
        let size = (SIZE.0, LINE * others.len() as u32 + ROUND);
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE).map_err(|e| said(&e))?;
        let mut builder = ChartBuilder::on(&area);
        builder.margin(8).margin_right(30).x_label_area_size(34).y_label_area_size(NAMES);
        let lines = others.len() as f64;
        let chart = builder.build_cartesian_2d(low - room..high + room, 0.0..lines);
        let mut chart = chart.map_err(|e| said(&e))?;
        let mut mesh = chart.configure_mesh();
        mesh.disable_y_mesh().disable_y_axis().label_style(("sans-serif", 13));
        mesh.x_desc("first less this one").light_line_style(WHITE.mix(0.0)).draw().map_err(|e| said(&e))?;
        let zero = [(0.0, 0.0), (0.0, lines)];
        chart.draw_series(LineSeries::new(zero, BLACK.stroke_width(1))).map_err(|e| said(&e))?;
        for (number, (name, of)) in others.iter().enumerate() {
            let y = lines - number as f64 - 0.5;
            let line = [(of.interval[0], y), (of.interval[1], y)];
            chart.draw_series(LineSeries::new(line, COLOURS[2].stroke_width(3))).map_err(|e| said(&e))?;
            // Hollow where no difference is shown, for those who print without colours.
            let fill = if of.excludes_zero() { COLOURS[2].filled() } else { WHITE.filled() };
            chart.draw_series([Circle::new((of.mean, y), 5, fill)]).map_err(|e| said(&e))?;
            let edge = COLOURS[2].stroke_width(2);
            chart.draw_series([Circle::new((of.mean, y), 5, edge)]).map_err(|e| said(&e))?;
            let (_, at) = chart.backend_coord(&(low, y));
            area.draw(&Text::new((*name).to_owned(), (12, at - 7), ("sans-serif", 13)))
                .map_err(|e| said(&e))?;
        }
        area.present().map_err(|e| said(&e))?;
    }
    Ok(svg)
}

/// A line of a plot's legend.
struct Mark {
    name: String,
    style: ShapeStyle,
    /// For a line, its dashes; for an area, none.
    dash: Option<(u32, u32)>,
}

/// The legend, in the margin on the right. Drawn by hand: the library keeps its own inside the plot, where
/// it would cover lines.
fn legend(area: &Area<'_>, marks: impl IntoIterator<Item = Mark>) -> Result<(), String> {
    for (number, mark) in marks.into_iter().enumerate() {
        let (x, y) = ((SIZE.0 - LEGEND) as i32 + 14, 18 + 20 * number as i32);
        match mark.dash {
            None => area.draw(&Rectangle::new([(x, y - 5), (x + 24, y + 5)], mark.style)),
            Some((size, gap)) => {
                area.draw(&DashedPathElement::new([(x, y), (x + 24, y)], size, gap, mark.style))
            }
        }
        .map_err(|e| e.to_string())?;
        area.draw(&Text::new(mark.name, (x + 32, y - 6), ("sans-serif", 13))).map_err(|e| e.to_string())?;
    }
    Ok(())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

type Chart<'a, 'b> = ChartContext<
    'a,
    SVGBackend<'b>,
    Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>,
>;

/// A plot over the scenario's seconds with its faults as bands, and what `draw` puts over them.
fn plot(
    scenario: &Scenario,
    low: f64,
    high: f64,
    draw: impl FnOnce(&mut Chart<'_, '_>) -> Result<Vec<Mark>, String>,
) -> Result<String, String> {
    let said = |error: &dyn std::fmt::Display| error.to_string();
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(|e| said(&e))?;
        // The legend has the margin on the right to itself, so that it covers no line.
        let mut builder = ChartBuilder::on(&area);
        builder.margin(8).margin_right(LEGEND).x_label_area_size(34).y_label_area_size(48);
        let mut chart =
            builder.build_cartesian_2d(0.0..scenario.duration_s, low..high).map_err(|e| said(&e))?;
        for fault in &scenario.faults {
            let end = (fault.starts_at_s + fault.stagger_s + fault.duration_s).min(scenario.duration_s);
            let band =
                Rectangle::new([(fault.starts_at_s, low), (end, high)], RGBColor(225, 225, 225).filled());
            chart.draw_series([band]).map_err(|e| said(&e))?;
        }
        let mut mesh = chart.configure_mesh();
        mesh.disable_x_mesh()
            .x_desc("seconds")
            .label_style(("sans-serif", 13))
            .light_line_style(WHITE.mix(0.0));
        mesh.draw().map_err(|e| said(&e))?;
        let marks = draw(&mut chart)?;
        legend(&area, marks)?;
        area.present().map_err(|e| said(&e))?;
    }
    Ok(svg)
}
