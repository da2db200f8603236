//! Executes experiments, which run each scenario with each variant and each seed.
//!
//! An experiment is a TOML file, whose format docs/testbed.md describes. Runs are executed in parallel, and
//! each run is stored when it ends, so that an interrupted experiment resumes where it stopped.
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
    /// The scenarios. Each is the name of a scenario in the program, or a file path relative to the directory
    /// of the experiment file.
    pub scenarios: Vec<String>,
    /// The first seed and the number of consecutive seeds with which each scenario and variant is run.
    pub seeds: [u64; 2],
    /// Changes to all scenarios, in the format of a scenario file.
    #[serde(rename = "set", default)]
    pub scenario_overrides: toml::Table,
    /// The variants to run. The first variant is compared with each of the others.
    pub variants: Vec<Variant>,
    /// Maximum number of parallel runs. The default is one for each core, or four for each core if all
    /// variants run in real time, where runs mostly wait.
    #[serde(rename = "at_once", default)]
    pub max_parallel_runs: Option<usize>,
}

/// How the runs of a variant are executed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Drive", rename_all = "snake_case")]
pub enum ExecutionMode {
    /// The runs are simulated, in virtual time.
    #[default]
    Sim,
    /// The runs are emulated, in real time and with scheduler processes.
    Emulate,
}

/// One of the alternatives that an experiment compares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// The name of the variant, which is unique in the experiment.
    pub name: String,
    /// Whether the variant's runs are simulated or emulated.
    #[serde(rename = "drive", default)]
    pub mode: ExecutionMode,
    /// The dispatch policy that decides in the variant's schedulers.
    #[serde(default = "default_policy")]
    pub policy: PolicyKind,
    /// The program to start as the scheduler instead of the policy's own program, as a path relative to the
    /// directory of the experiment file. Only valid in real time.
    #[serde(default)]
    pub program: Option<PathBuf>,
    /// The command-line arguments with which `program` is started.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// Changes to the scenarios in the variant's runs, applied after the experiment's own changes.
    #[serde(rename = "set", default)]
    pub scenario_overrides: toml::Table,
}

fn default_policy() -> PolicyKind {
    PolicyKind::Copperspread
}

/// The progress of an experiment when its execution starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExperimentProgress {
    /// Number of runs that are already stored.
    pub stored_runs: usize,
    /// Number of runs in the experiment.
    pub total_runs: usize,
    /// Number of lines in the file of stored runs that cannot be parsed.
    pub unreadable_lines: usize,
}

/// An observer of the progress of an experiment. The methods may be called from several threads.
pub trait ProgressObserver: Sync {
    /// Called once, after the file of stored runs was read.
    fn experiment_started(&self, _progress: ExperimentProgress) {}
    /// Called after each successful run, when it is stored.
    fn run_finished(&self) {}
}

impl ProgressObserver for () {}
