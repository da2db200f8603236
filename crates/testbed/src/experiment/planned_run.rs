//! Lists the runs of an experiment, with the keys under which they are stored.
use std::collections::HashMap;
use std::path::Path;
use std::sync::OnceLock;

use super::{Experiment, ExperimentError, Variant};
use crate::emulation::scheduler_process::SchedulerProgram;
use crate::scenario::Scenario;

/// Length of the key of a run, in hexadecimal digits.
const KEY_DIGITS: usize = 32;

/// A run of an experiment, which has one scenario, one variant and one seed.
#[derive(Clone, Debug)]
pub(super) struct PlannedRun {
    /// The key of the run in the file of stored runs: a hash of the run's scenario, execution mode, policy,
    /// program arguments, seed and programs.
    pub key: String,
    /// The position of the run's scenario in the experiment's list of scenarios.
    pub scenario: usize,
    /// The position of the run's variant in the experiment's list of variants.
    pub variant: usize,
    /// The seed from which all random numbers of the run are derived.
    pub seed: u64,
}

/// Returns all runs of an experiment, ordered by scenario, variant and seed.
///
/// # Errors
/// Fails if an executable cannot be found or read, or if a scenario cannot be serialized.
pub(super) fn plan_runs(
    experiment: &Experiment,
    scenarios: &[Vec<Scenario>],
    programs: &[Option<SchedulerProgram>],
) -> Result<Vec<PlannedRun>, ExperimentError> {
    let executable_hash = current_executable_hash()?;
    let mut program_hashes = HashMap::new();
    for program in programs.iter().flatten() {
        if !program_hashes.contains_key(&program.file) {
            program_hashes.insert(program.file.clone(), hash_file(&program.file)?);
        }
    }
    let [first_seed, seed_count] = experiment.seeds;
    let mut runs = Vec::new();
    for (scenario, variant_scenarios) in scenarios.iter().enumerate() {
        for (variant, variant_scenario) in variant_scenarios.iter().enumerate() {
            let scenario_text = toml::to_string(variant_scenario)?;
            let program = programs[variant].as_ref();
            let program_hash =
                program.and_then(|program| program_hashes.get(&program.file)).map_or("", String::as_str);
            let arguments = program.map_or(&[][..], |program| &program.arguments);
            let Variant { mode, policy, .. } = &experiment.variants[variant];
            for seed in first_seed..first_seed.saturating_add(seed_count) {
                let run_parameters = format!("{mode:?} {} {arguments:?} {seed}", policy.name());
                let key = run_key(&[executable_hash, program_hash, &scenario_text, &run_parameters]);
                runs.push(PlannedRun { key, scenario, variant, seed });
            }
        }
    }
    Ok(runs)
}

fn run_key(parts: &[&str]) -> String {
    blake3::hash(parts.join("\n").as_bytes()).to_hex()[..KEY_DIGITS].to_owned()
}

/// Returns the hash of the running executable, which contains the simulated dispatch policies. The hash is
/// part of each run's key. Another build can give another outcome, so its runs must have other keys.
fn current_executable_hash() -> Result<&'static str, ExperimentError> {
    static EXECUTABLE_HASH: OnceLock<String> = OnceLock::new();
    if let Some(hash) = EXECUTABLE_HASH.get() {
        return Ok(hash);
    }
    let executable = std::env::current_exe().map_err(ExperimentError::CurrentExecutable)?;
    let hash = hash_file(&executable)?;
    Ok(EXECUTABLE_HASH.get_or_init(|| hash))
}

fn hash_file(path: &Path) -> Result<String, ExperimentError> {
    let bytes =
        std::fs::read(path).map_err(|source| ExperimentError::Io { file: path.to_owned(), source })?;
    Ok(blake3::hash(&bytes).to_hex().to_string())
}
