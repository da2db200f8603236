//! Reads an experiment file, and executes the runs of the experiment that are not stored yet.
use std::collections::HashMap;
use std::path::{Path, PathBuf};

use rayon::prelude::{IntoParallelRefIterator, ParallelIterator};

use super::planned_run::{PlannedRun, plan_runs};
use super::run_store::{RunStore, StoredRun};
use super::{
    ExecutionMode, Experiment, ExperimentError, ExperimentProgress, ProgressObserver, Variant, VariantPair,
};
use crate::compare::{ScenarioResults, variant_results};
use crate::emulation::scheduler_process::SchedulerProgram;
use crate::emulation::{SchedulerInstances, emulate};
use crate::outcome::RunOutcome;
use crate::scenario::Scenario;
use crate::simulation::simulate;

/// Number of parallel runs per core if all variants run in real time. The number is more than 1, because such
/// runs mostly wait.
const EMULATED_RUNS_PER_CORE: usize = 4;

/// An experiment with all its runs, ready to be executed.
pub struct Plan {
    /// The contents of the experiment file.
    pub experiment: Experiment,
    /// Each scenario with the changes of each variant. The first index is that of the scenario, the second
    /// index that of the variant.
    scenarios: Vec<Vec<Scenario>>,
    /// The scheduler program of each variant; `None` for a variant that is simulated in virtual time.
    programs: Vec<Option<SchedulerProgram>>,
    runs: Vec<PlannedRun>,
}

impl Plan {
    /// Reads an experiment file. `find_shipped` returns the TOML text of a scenario that is built into the
    /// program.
    ///
    /// # Errors
    /// Fails if a file cannot be read or is invalid, or if the scheduler program of a policy is not found.
    /// The error names the file and, if possible, the key.
    pub fn read_file(
        file: &Path,
        find_shipped: impl Fn(&str) -> Option<String>,
    ) -> Result<Plan, ExperimentError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| ExperimentError::Io { file: file.to_owned(), source })?;
        let experiment: Experiment = toml::from_str(&text).map_err(|source| {
            ExperimentError::InvalidToml { file: file.to_owned(), source: Box::new(source) }
        })?;
        check_experiment(file, &experiment)?;
        let scenarios = experiment
            .scenarios
            .iter()
            .map(|name| read_scenario(file, name, &experiment, &find_shipped))
            .collect::<Result<Vec<_>, _>>()?;
        let directory = parent_directory(file);
        let programs = experiment
            .variants
            .iter()
            .map(|variant| variant_program(directory, variant))
            .collect::<Result<Vec<_>, _>>()?;
        let runs = plan_runs(&experiment, &scenarios, &programs)?;
        Ok(Plan { experiment, scenarios, programs, runs })
    }

    /// Returns the number of the experiment's runs, including those that are already stored.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Executes the runs that are not stored yet in `file`. Each run is appended to `file` when it ends.
    /// Returns the results of each scenario, which include the stored runs.
    ///
    /// A stored run is used only if it has the same scenario, execution mode, policy, program arguments, seed
    /// and programs as a run of the plan. The programs are the running executable and the scheduler program.
    ///
    /// # Errors
    /// Fails if `file` cannot be written or is locked by another process. Also fails if a run fails or cannot
    /// be serialized, or if the thread pool cannot be created. Successful runs are stored even if other runs
    /// fail. The next call then executes only the missing runs.
    pub fn execute(
        &self,
        file: &Path,
        observer: &impl ProgressObserver,
    ) -> Result<Vec<ScenarioResults>, ExperimentError> {
        let (store, mut stored) = RunStore::open(file)?;
        let missing: Vec<&PlannedRun> =
            self.runs.iter().filter(|run| !stored.by_key.contains_key(&run.key)).collect();
        observer.experiment_started(ExperimentProgress {
            stored_runs: self.runs.len() - missing.len(),
            total_runs: self.runs.len(),
            unreadable_lines: stored.unreadable_lines,
        });
        // The threads of the pool end when the pool is dropped, at the end of this function.
        let pool = rayon::ThreadPoolBuilder::new().num_threads(self.parallel_runs()).build()?;
        let executed: Vec<Result<StoredRun, ExperimentError>> = pool.install(|| {
            missing.par_iter().map(|run| self.execute_and_store(run, &store, observer)).collect()
        });
        let mut failures = Vec::new();
        for result in executed {
            match result {
                Ok(run) => {
                    stored.by_key.insert(run.key, run.outcome);
                }
                Err(error) => failures.push(error.to_string()),
            }
        }
        if !failures.is_empty() {
            return Err(runs_failed(failures));
        }
        Ok(self.results(&stored.by_key))
    }

    fn execute_and_store(
        &self,
        run: &PlannedRun,
        store: &RunStore,
        observer: &impl ProgressObserver,
    ) -> Result<StoredRun, ExperimentError> {
        let outcome = self.execute_run(run)?;
        let stored = StoredRun {
            key: run.key.clone(),
            scenario: outcome.scenario.clone(),
            variant: self.experiment.variants[run.variant].name.clone(),
            seed: run.seed,
            outcome,
        };
        store.append(&stored)?;
        observer.run_finished();
        Ok(stored)
    }

    fn execute_run(&self, run: &PlannedRun) -> Result<RunOutcome, ExperimentError> {
        let scenario = &self.scenarios[run.scenario][run.variant];
        let variant = &self.experiment.variants[run.variant];
        let outcome = match &self.programs[run.variant] {
            None => simulate(scenario, variant.policy, run.seed).map_err(|error| error.to_string()),
            Some(program) => {
                let schedulers = SchedulerInstances::Spawned(program.clone());
                emulate(scenario, &schedulers, &variant.name, run.seed).map_err(|error| error.to_string())
            }
        };
        outcome.map_err(|reason| ExperimentError::RunFailed {
            scenario: scenario.name.clone(),
            variant: variant.name.clone(),
            seed: run.seed,
            reason,
        })
    }

    fn parallel_runs(&self) -> usize {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let all_emulated =
            self.experiment.variants.iter().all(|variant| variant.mode == ExecutionMode::Emulate);
        let default = if all_emulated { EMULATED_RUNS_PER_CORE * cores } else { cores };
        self.experiment.max_parallel_runs.unwrap_or(default).max(1)
    }

    fn results(&self, outcomes: &HashMap<String, RunOutcome>) -> Vec<ScenarioResults> {
        let scenario_results = |(index, scenarios): (usize, &Vec<Scenario>)| {
            let variants = self.experiment.variants.iter().enumerate();
            let with_runs = variants.map(|(variant_index, variant)| {
                (variant.name.clone(), self.outcomes_of(index, variant_index, outcomes))
            });
            ScenarioResults { scenario: scenarios[0].clone(), variants: variant_results(with_runs.collect()) }
        };
        self.scenarios.iter().enumerate().map(scenario_results).collect()
    }

    /// The outcomes of the runs of one scenario and variant, in the order of the seeds.
    fn outcomes_of(
        &self,
        scenario: usize,
        variant: usize,
        outcomes: &HashMap<String, RunOutcome>,
    ) -> Vec<RunOutcome> {
        let runs = self.runs.iter().filter(|run| run.scenario == scenario && run.variant == variant);
        runs.filter_map(|run| outcomes.get(&run.key).cloned()).collect()
    }

    /// Returns the pairs of variants that differ only in their execution mode: one is simulated, the other
    /// emulated.
    pub fn mode_pairs(&self) -> Vec<VariantPair> {
        let variants = &self.experiment.variants;
        let pair = |(simulated, variant): (usize, &Variant)| {
            let emulated = variants.iter().position(|other| is_emulated_counterpart(variant, other))?;
            Some(VariantPair { simulated, emulated })
        };
        let simulated = variants.iter().enumerate();
        simulated.filter(|(_, variant)| variant.mode == ExecutionMode::Sim).filter_map(pair).collect()
    }
}

fn is_emulated_counterpart(simulated: &Variant, other: &Variant) -> bool {
    other.mode == ExecutionMode::Emulate
        && other.policy == simulated.policy
        && other.scenario_overrides == simulated.scenario_overrides
        && other.program.is_none()
}

fn runs_failed(mut reasons: Vec<String>) -> ExperimentError {
    let count = reasons.len();
    reasons.sort();
    reasons.dedup();
    ExperimentError::RunsFailed { count, reasons }
}

fn parent_directory(file: &Path) -> &Path {
    file.parent().unwrap_or(Path::new("."))
}

fn check_experiment(file: &Path, experiment: &Experiment) -> Result<(), ExperimentError> {
    let file = || file.to_owned();
    let variants = &experiment.variants;
    if experiment.scenarios.is_empty() || variants.is_empty() || experiment.seeds[1] == 0 {
        return Err(ExperimentError::NoRuns { file: file() });
    }
    for (index, variant) in variants.iter().enumerate() {
        if variants[..index].iter().any(|earlier| earlier.name == variant.name) {
            let name = variant.name.clone();
            return Err(ExperimentError::DuplicateVariant { file: file(), index, name });
        }
        if variant.mode == ExecutionMode::Sim && variant.program.is_some() {
            return Err(ExperimentError::ProgramInVirtualTime { file: file(), index });
        }
    }
    Ok(())
}

/// Reads a scenario. Returns one copy of the scenario for each variant, with the changes of that variant.
fn read_scenario(
    file: &Path,
    name: &str,
    experiment: &Experiment,
    find_shipped: &impl Fn(&str) -> Option<String>,
) -> Result<Vec<Scenario>, ExperimentError> {
    let text = match find_shipped(name) {
        Some(text) => text,
        None => read_scenario_file(file, parent_directory(file).join(name))?,
    };
    let base: toml::Table = toml::from_str(&text).map_err(|source| ExperimentError::InvalidScenarioToml {
        file: file.to_owned(),
        scenario: name.to_owned(),
        source: Box::new(source),
    })?;
    let of_variant = |variant: &Variant| {
        let mut table = base.clone();
        apply_overrides(&mut table, &experiment.scenario_overrides);
        apply_overrides(&mut table, &variant.scenario_overrides);
        let text = toml::to_string(&table)?;
        Scenario::parse(&text).map_err(|source| ExperimentError::InvalidScenario {
            file: file.to_owned(),
            scenario: name.to_owned(),
            variant: variant.name.clone(),
            source: Box::new(source),
        })
    };
    experiment.variants.iter().map(of_variant).collect()
}

fn read_scenario_file(file: &Path, scenario_file: PathBuf) -> Result<String, ExperimentError> {
    std::fs::read_to_string(&scenario_file).map_err(|source| ExperimentError::UnreadableScenario {
        file: file.to_owned(),
        scenario_file,
        source,
    })
}

/// Merges `overrides` into `base`. Nested tables are merged recursively; all other values are replaced.
fn apply_overrides(base: &mut toml::Table, overrides: &toml::Table) {
    for (key, value) in overrides {
        match (base.get_mut(key), value) {
            (Some(toml::Value::Table(base)), toml::Value::Table(overrides)) => {
                apply_overrides(base, overrides);
            }
            _ => {
                base.insert(key.clone(), value.clone());
            }
        }
    }
}

/// Returns the scheduler program of a variant; `None` if the variant is simulated in virtual time.
fn variant_program(directory: &Path, variant: &Variant) -> Result<Option<SchedulerProgram>, ExperimentError> {
    match (variant.mode, &variant.program) {
        (ExecutionMode::Sim, _) => Ok(None),
        (ExecutionMode::Emulate, None) => SchedulerProgram::for_policy(variant.policy)
            .map(Some)
            .map_err(|error| ExperimentError::ProgramNotFound(error.to_string())),
        (ExecutionMode::Emulate, Some(path)) => {
            Ok(Some(SchedulerProgram { file: directory.join(path), arguments: variant.arguments.clone() }))
        }
    }
}
