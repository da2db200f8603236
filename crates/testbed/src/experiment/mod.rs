//! Plays experiments: scenarios, variants and seeds in a TOML file, in parallel. docs/testbed.md describes
//! the format.
//!
//! Each run is stored when it ends, so that an interrupted experiment resumes where it stopped.
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

/// An experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is to show, in a sentence.
    #[serde(rename = "about")]
    pub description: String,
    /// Scenarios, by the name of one that comes with the program or by a file's path from the experiment's
    /// file.
    pub scenarios: Vec<String>,
    /// The first seed, and the number of seeds.
    pub seeds: [u64; 2],
    /// Changes to all scenarios.
    #[serde(rename = "set", default)]
    pub scenario_overrides: toml::Table,
    /// What is compared: the first variant with each other one.
    pub variants: Vec<Variant>,
    /// Parallel runs. Without it, as many as there are cores in virtual time, and four for each core in real
    /// time, where runs mostly wait.
    #[serde(rename = "at_once", default)]
    pub max_parallel_runs: Option<usize>,
}

/// How a variant is played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename = "Drive", rename_all = "snake_case")]
pub enum ExecutionMode {
    /// In virtual time.
    #[default]
    Sim,
    /// In real time, with processes.
    Emulate,
}

/// What is compared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// How it is played.
    #[serde(rename = "drive", default)]
    pub mode: ExecutionMode,
    /// The dispatch policy.
    #[serde(default = "default_policy")]
    pub policy: PolicyKind,
    /// In real time: the program in place of the policy's own one, by its path from the experiment's file.
    #[serde(default)]
    pub program: Option<PathBuf>,
    /// The program's arguments.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// Changes to the scenario, applied after the experiment's own.
    #[serde(rename = "set", default)]
    pub scenario_overrides: toml::Table,
}

fn default_policy() -> PolicyKind {
    PolicyKind::Copperspread
}

/// How far an experiment is at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExperimentProgress {
    /// Runs that were stored before.
    pub stored_runs: usize,
    /// All runs.
    pub total_runs: usize,
    /// Lines of the file of runs that cannot be read.
    pub unreadable_lines: usize,
}

/// Is notified while an experiment goes on.
pub trait ProgressObserver: Sync {
    /// The file of runs was read.
    fn experiment_started(&self, _progress: ExperimentProgress) {}
    /// A run has ended and is stored.
    fn run_finished(&self) {}
}

impl ProgressObserver for () {}
