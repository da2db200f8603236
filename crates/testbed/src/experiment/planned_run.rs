//! Names the runs of an experiment by the keys under which they are stored.
use std::collections::HashMap;
use std::path::Path;
use std::sync::OnceLock;

use super::{Experiment, ExperimentError, Variant};
use crate::emulation::scheduler_process::SchedulerProgram;
use crate::scenario::Scenario;

/// Length of a run's key, in hexadecimal digits.
const KEY_DIGITS: usize = 32;

/// A run of the experiment.
#[derive(Clone, Debug)]
pub(super) struct PlannedRun {
    /// Identifies scenario, variant, seed and programs.
    pub key: String,
    /// The scenario's index.
    pub scenario: usize,
    /// The variant's index.
    pub variant: usize,
    /// The seed.
    pub seed: u64,
}

/// All runs of an experiment, by scenario, variant and seed.
///
/// # Errors
/// A program whose file cannot be read.
pub(super) fn plan_runs(
    experiment: &Experiment,
    scenarios: &[Vec<Scenario>],
    programs: &[Option<SchedulerProgram>],
) -> Result<Vec<PlannedRun>, ExperimentError> {
    let own_hash = own_program_hash()?;
    let mut program_hashes = HashMap::new();
    for program in programs.iter().flatten() {
        if !program_hashes.contains_key(&program.file) {
            program_hashes.insert(program.file.clone(), hash_file(&program.file)?);
        }
    }
    let [first_seed, seed_count] = experiment.seeds;
    let mut runs = Vec::new();
    for (scenario, as_variants_play_it) in scenarios.iter().enumerate() {
        for (variant, as_played) in as_variants_play_it.iter().enumerate() {
            let scenario_text = toml::to_string(as_played)?;
            let program = programs[variant].as_ref();
            let program_hash =
                program.and_then(|program| program_hashes.get(&program.file)).map_or("", String::as_str);
            let arguments = program.map_or(&[][..], |program| &program.arguments);
            let Variant { mode, policy, .. } = &experiment.variants[variant];
            for seed in first_seed..first_seed.saturating_add(seed_count) {
                let rest = format!("{mode:?} {} {arguments:?} {seed}", policy.name());
                let key = run_key(&[own_hash, program_hash, &scenario_text, &rest]);
                runs.push(PlannedRun { key, scenario, variant, seed });
            }
        }
    }
    Ok(runs)
}

fn run_key(parts: &[&str]) -> String {
    blake3::hash(parts.join("\n").as_bytes()).to_hex()[..KEY_DIGITS].to_owned()
}

/// The hash of this program's file. The dispatch policy is a part of it: what another build played is not
/// what this one plays.
fn own_program_hash() -> Result<&'static str, ExperimentError> {
    static OWN_HASH: OnceLock<String> = OnceLock::new();
    if let Some(hash) = OWN_HASH.get() {
        return Ok(hash);
    }
    let own_file = std::env::current_exe().map_err(ExperimentError::OwnProgramUnknown)?;
    let hash = hash_file(&own_file)?;
    Ok(OWN_HASH.get_or_init(|| hash))
}

fn hash_file(path: &Path) -> Result<String, ExperimentError> {
    let bytes =
        std::fs::read(path).map_err(|source| ExperimentError::Io { file: path.to_owned(), source })?;
    Ok(blake3::hash(&bytes).to_hex().to_string())
}
