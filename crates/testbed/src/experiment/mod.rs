//! Executes experiments, which run each of their scenarios with each variant and each seed. A variant is one
//! of the alternatives that the experiment compares, such as a dispatch policy.
//!
//! An experiment is a TOML file. The file docs/testbed.md describes its format. Runs are executed in
//! parallel. Each run is stored when it ends, so that an interrupted experiment can be resumed.
mod error;
mod mode_comparison;
mod plan;
mod planned_run;
mod run_store;

use std::path::PathBuf;

use serde::{Deserialize, Serialize};

pub use error::ExperimentError;
pub use mode_comparison::{VariantPair, mode_comparison_table};
pub use plan::Plan;

use crate::policy::PolicyKind;

/// The contents of an experiment file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment, which serves only the readers of the experiment file.
    pub name: String,
    /// One sentence that says what the experiment shows.
    #[serde(rename = "about")]
    pub description: String,
    /// The scenarios of the experiment. Each is the name of a built-in scenario, or the path of a scenario
    /// file relative to the directory of the experiment file.
    pub scenarios: Vec<String>,
    /// The first seed and the number of consecutive seeds. Each scenario is run with each variant and each
    /// seed.
    pub seeds: [u64; 2],
    /// Settings that replace those of all scenarios, in the format of a scenario file.
    #[serde(rename = "set", default)]
    pub scenario_overrides: toml::Table,
    /// The variants to run. The first variant is compared with each of the others.
    pub variants: Vec<Variant>,
    /// Maximum number of runs that are executed at the same time. The default is one run per core. If all
    /// variants run in real time, the default is four runs per core, because such runs mostly wait.
    #[serde(rename = "at_once", default)]
    pub max_parallel_runs: Option<usize>,
}

/// Whether the runs of a variant are simulated in virtual time or emulated in real time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Drive", rename_all = "snake_case")]
pub enum ExecutionMode {
    /// The variant's runs are simulated in virtual time.
    #[default]
    Sim,
    /// The variant's runs are emulated in real time, with scheduler processes.
    Emulate,
}

/// A variant, which is one of the alternatives that an experiment compares, such as a dispatch policy.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The name of the variant, which is unique in the experiment.
    pub name: String,
    /// Whether the variant's runs are simulated or emulated.
    #[serde(rename = "drive", default)]
    pub mode: ExecutionMode,
    /// The dispatch policy of the schedulers in the variant's runs.
    #[serde(default = "default_policy")]
    pub policy: PolicyKind,
    /// The program to start for each scheduler, instead of the program that belongs to `policy`. The path is
    /// relative to the directory of the experiment file. Only valid in real time.
    #[serde(default)]
    pub program: Option<PathBuf>,
    /// The command-line arguments with which `program` is started.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// Settings that replace those of the scenarios in the variant's runs. They are applied after the
    /// experiment's own changes to all scenarios.
    #[serde(rename = "set", default)]
    pub scenario_overrides: toml::Table,
}

fn default_policy() -> PolicyKind {
    PolicyKind::Copperspread
}

/// How much of an experiment is already done when its execution starts. Runs that an earlier execution stored
/// are not repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExperimentProgress {
    /// Number of the experiment's runs that are already stored.
    pub stored_runs: usize,
    /// Number of all runs of the experiment, including those that are already stored.
    pub total_runs: usize,
    /// Number of lines in the file of stored runs that cannot be parsed.
    pub unreadable_lines: usize,
}

/// An observer of the progress of an experiment. The methods may be called from several threads.
pub trait ProgressObserver: Sync {
    /// Called once, after the file of stored runs was read.
    fn experiment_started(&self, _progress: ExperimentProgress) {}
    /// Called after each successful run, when the run has been stored.
    fn run_finished(&self) {}
}

impl ProgressObserver for () {}
