//! The `run` command: executes the runs of an experiment file.
use std::path::PathBuf;

use clap::Args;
use copperspread_testbed::compare::comparison_table;
use copperspread_testbed::experiment::{ExperimentProgress, Plan, ProgressObserver, mode_comparison_table};
use indicatif::{ProgressBar, ProgressStyle};

use super::output::{json_line, print, print_note, write_report};
use super::shipped_scenarios::find_shipped;
use super::{CommandResult, CommandStatus};

#[derive(Debug, Args)]
pub(crate) struct RunArguments {
    /// TOML file that defines the experiment
    experiment: PathBuf,
    /// File that stores the runs; if omitted, the experiment file's path with the extension `.runs.jsonl`
    #[arg(long, value_name = "FILE")]
    runs: Option<PathBuf>,
    /// Print all outcomes as JSON
    #[arg(long)]
    json: bool,
    /// Also write a self-contained HTML report to this file
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
}

/// Executes an experiment, and prints its results when all runs have ended.
pub(super) fn run(arguments: RunArguments) -> CommandResult {
    let RunArguments { experiment, runs, json, report } = arguments;
    let plan = Plan::read_file(&experiment, |name| find_shipped(name).map(str::to_owned))?;
    let runs = runs.unwrap_or_else(|| experiment.with_extension("runs.jsonl"));
    let results = plan.execute(&runs, &TerminalProgress::new())?;
    for result in &results {
        print(&if json {
            json_line(&result.variants)?
        } else {
            comparison_table(&result.scenario, &result.variants) + "\n"
        })?;
    }
    let pairs = plan.mode_pairs();
    if !pairs.is_empty() && !json {
        print(&mode_comparison_table(&pairs, &results))?;
    }
    write_report(report.as_deref(), &results)?;
    let mut variants = results.iter().flat_map(|result| &result.variants);
    Ok(CommandStatus::from_violations(variants.any(|variant| variant.violations > 0)))
}

/// The progress bar for the runs of an experiment. The bar is drawn on standard error, and only if standard
/// error is a terminal.
struct TerminalProgress {
    bar: ProgressBar,
}

impl TerminalProgress {
    fn new() -> TerminalProgress {
        let style =
            ProgressStyle::with_template("{bar:40} {pos} of {len} runs, {elapsed} elapsed, {eta} left");
        let style = style.unwrap_or_else(|_| ProgressStyle::default_bar());
        TerminalProgress { bar: ProgressBar::new(0).with_style(style) }
    }
}

impl ProgressObserver for TerminalProgress {
    fn experiment_started(&self, progress: ExperimentProgress) {
        let ExperimentProgress { stored_runs, total_runs, unreadable_lines } = progress;
        if stored_runs > 0 || unreadable_lines > 0 {
            print_note(&format!(
                "{stored_runs} of {total_runs} runs are already stored; stored lines that cannot be read: \
                 {unreadable_lines}"
            ));
        }
        self.bar.set_length(total_runs as u64);
        self.bar.set_position(stored_runs as u64);
        // The remaining time is estimated only from the runs of this process, not from runs that were stored
        // earlier.
        self.bar.reset_eta();
    }

    fn run_finished(&self) {
        self.bar.inc(1);
    }
}
