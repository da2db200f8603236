//! Renders the results of a comparison as a self-contained HTML page, with tables and SVG charts.
mod capacity;
mod chart;
mod differences;
mod over_time;

use minijinja::{Environment, Value, context};
use plotters::drawing::DrawingAreaErrorKind;

use crate::compare::{ScenarioResults, VariantResult};
use crate::outcome::ClassOutcome;
use crate::scenario::{Fault, Scenario};

const TEMPLATE_NAME: &str = "report.html";

/// An error that occurs while a report is rendered. It indicates a bug in this program, not invalid input.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReportError {
    /// A chart of the report could not be drawn.
    #[error(transparent)]
    Chart(#[from] DrawingAreaErrorKind<std::io::Error>),
    /// The template of the report could not be rendered.
    #[error(transparent)]
    Template(#[from] minijinja::Error),
}

/// Renders an HTML page with the results of a comparison. The page has a section for each scenario. The
/// section shows the first of the compared variants in detail. A variant is a policy, or an alternative of an
/// experiment.
///
/// # Errors
/// Fails if a chart or the template cannot be rendered.
pub fn render_html(results: &[ScenarioResults]) -> Result<String, ReportError> {
    let mut sections = Vec::new();
    for ScenarioResults { scenario, variants } in results {
        if let Some(first) = variants.first() {
            sections.push(scenario_section(scenario, first, variants)?);
        }
    }
    let mut environment = Environment::new();
    environment.add_template(TEMPLATE_NAME, include_str!("report.html"))?;
    Ok(environment.get_template(TEMPLATE_NAME)?.render(context! { sections })?)
}

fn scenario_section(
    scenario: &Scenario,
    first: &VariantResult,
    variants: &[VariantResult],
) -> Result<Value, ReportError> {
    let mean_jobs = first.runs.iter().map(|run| run.jobs).sum::<u64>() / first.runs.len().max(1) as u64;
    let rows: Vec<Value> = variants.iter().map(variant_row).collect();
    // The table of classes shows only the run with the first seed, because the latency quantiles of several
    // runs cannot be combined.
    let classes: Vec<Value> =
        first.runs.first().map_or_else(Vec::new, |run| run.classes.iter().map(class_row).collect());
    let faults: Vec<String> = scenario.faults.iter().map(describe_fault).collect();
    Ok(context! {
        name => scenario.name,
        description => scenario.description,
        first => first.policy,
        seeds => first.runs.len(),
        jobs => mean_jobs,
        rows,
        in_time_chart => over_time::in_time_chart(scenario, variants)?,
        outcomes_chart => over_time::outcomes_chart(scenario, first)?,
        classes,
        zones => zone_rows(scenario, first),
        capacity_chart => capacity::capacity_chart(first)?,
        differences_chart => differences::differences_chart(variants)?,
        faults,
    })
}

fn variant_row(variant: &VariantResult) -> Value {
    let deficit = variant.deficit.map(|deficit| deficit.to_string()).unwrap_or_default();
    let unserved_shares = <[f64; 4]>::from(variant.unserved_shares).map(format_share);
    context! {
        policy => variant.policy,
        in_time_share => format_share(variant.in_time_share),
        unserved_shares,
        violations => variant.violations,
        deficit,
    }
}

fn class_row(class: &ClassOutcome) -> Value {
    context! {
        name => class.name,
        jobs => class.jobs,
        in_time_share => format_share(class.weight.in_time_share()),
        median_ms => format!("{:.0}", class.latency.median_ms),
        p99_ms => format!("{:.0}", class.latency.p99_ms),
        max_ms => format!("{:.0}", class.latency.max_ms),
    }
}

/// Returns a table row for each zone of the clients. The row contains, for each class, the share of the jobs'
/// priority weight that the variant served in time.
fn zone_rows(scenario: &Scenario, variant: &VariantResult) -> Vec<Value> {
    let row = |zone: usize| {
        let shares: Vec<String> = (0..scenario.classes.len())
            .map(|class| zone_share(variant, zone, class).map_or_else(|| "-".to_owned(), format_share))
            .collect();
        context! { zone, shares }
    };
    (0..scenario.zones as usize).map(row).collect()
}

/// Returns the share of the jobs' priority weight that was served in time, for one zone and one class. The
/// share covers all runs of the variant. Returns `None` if the zone had no jobs of the class.
fn zone_share(variant: &VariantResult, zone: usize, class: usize) -> Option<f64> {
    let weights = variant.runs.iter().filter_map(|run| run.zones.get(zone)?.get(class));
    let (requested, in_time) = weights.fold((0.0, 0.0), |(requested, in_time), weight| {
        (requested + weight.requested, in_time + weight.in_time)
    });
    (requested > 0.0).then(|| in_time / requested)
}

fn describe_fault(fault: &Fault) -> String {
    format!("{} from {} s for {} s", fault.kind, fault.starts_at_s, fault.duration_s)
}

fn format_share(share: f64) -> String {
    format!("{share:.3}")
}
