//! Experiments: scenarios, variants and seeds in a TOML file, played in parallel, kept run by run so
//! that a cut-off one goes on where it stood. docs/testbed.md describes the format.
use std::collections::HashMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, OnceLock};

use rayon::prelude::*;
use serde::{Deserialize, Serialize};

use crate::compare::{Row, rows};
use crate::emulate::program::Program;
use crate::emulate::{Schedulers, emulate};
use crate::outcome::Outcome;
use crate::policy::PolicyKind;
use crate::scenario::Scenario;
use crate::simulation::simulate;

/// An experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// What it is to show, in a sentence.
    pub about: String,
    /// Scenarios, by the name of one that comes along or by a file's path from the experiment's file.
    pub scenarios: Vec<String>,
    /// The first seed and how many.
    pub seeds: [u64; 2],
    /// Changes to all scenarios.
    #[serde(default)]
    pub set: toml::Table,
    /// What is compared; the first with each other one.
    pub variants: Vec<Variant>,
    /// Runs at once; absent, as many as there are cores in virtual time, and four for each in real time,
    /// where runs mostly wait.
    #[serde(default)]
    pub at_once: Option<usize>,
}

/// How a variant is played.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Drive {
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
    #[serde(default)]
    pub drive: Drive,
    /// What decides.
    #[serde(default = "module")]
    pub policy: PolicyKind,
    /// In real time: the program in place of the one that the policy means, by its path from the
    /// experiment's file.
    #[serde(default)]
    pub program: Option<PathBuf>,
    /// Its arguments.
    #[serde(default)]
    pub arguments: Vec<String>,
    /// Changes to the scenario, over the experiment's own.
    #[serde(default)]
    pub set: toml::Table,
}

fn module() -> PolicyKind {
    PolicyKind::Copperspread
}

/// Changes one table by another: tables within tables, all else as a whole.
fn overlay(base: &mut toml::Table, over: &toml::Table) {
    for (key, value) in over {
        match (base.get_mut(key), value) {
            (Some(toml::Value::Table(base)), toml::Value::Table(over)) => overlay(base, over),
            _ => {
                base.insert(key.clone(), value.clone());
            }
        }
    }
}

/// A run that is to be played.
#[derive(Clone, Debug)]
struct Run {
    key: String,
    scenario: usize,
    variant: usize,
    seed: u64,
}

/// A run that was played, a line of the file of runs.
#[derive(Serialize, Deserialize)]
struct Kept {
    key: String,
    scenario: String,
    variant: String,
    seed: u64,
    outcome: Outcome,
}

/// A scenario with the rows of its variants.
pub type Played = (Scenario, Vec<Row>);

/// An experiment that was read, with its scenarios as each variant plays them.
pub struct Plan {
    /// The experiment.
    pub experiment: Experiment,
    /// By scenario and variant.
    scenarios: Vec<Vec<Scenario>>,
    programs: Vec<Option<Program>>,
    runs: Vec<Run>,
}

/// What is told while an experiment goes on.
pub trait Watcher: Sync {
    /// So many runs were there from before, of so many; so many lines could not be read.
    fn begins(&self, _kept: usize, _all: usize, _unreadable: usize) {}
    /// A run has ended.
    fn ended(&self) {}
}

impl Watcher for () {}

impl Plan {
    /// Reads an experiment. `named` finds a scenario's text by the name of one that comes along.
    ///
    /// # Errors
    /// A file that cannot be read, or what in it is wrong, by file and key.
    pub fn read(file: &Path, named: impl Fn(&str) -> Option<String>) -> Result<Plan, String> {
        let said =
            |why: &dyn std::fmt::Display| format!("{}: {}", file.display(), why.to_string().trim_end());
        let text = std::fs::read_to_string(file).map_err(|e| said(&e))?;
        let experiment: Experiment = toml::from_str(&text).map_err(|e| said(&e))?;
        if experiment.scenarios.is_empty() || experiment.variants.is_empty() || experiment.seeds[1] == 0 {
            return Err(said(&"scenarios, variants and seeds: at least one of each"));
        }
        for (at, variant) in experiment.variants.iter().enumerate() {
            if experiment.variants[..at].iter().any(|other| other.name == variant.name) {
                return Err(said(&format!("variants[{at}].name: {:?} comes twice", variant.name)));
            }
            if variant.drive == Drive::Sim && variant.program.is_some() {
                return Err(said(&format!("variants[{at}].program: only in real time, drive = \"emulate\"")));
            }
        }
        let folder = file.parent().unwrap_or(Path::new("."));
        let mut scenarios = Vec::new();
        for name in &experiment.scenarios {
            let path = folder.join(name);
            let text = match named(name) {
                Some(text) => text,
                None => {
                    std::fs::read_to_string(&path).map_err(|e| said(&format!("{}: {e}", path.display())))?
                }
            };
            let base: toml::Table = toml::from_str(&text).map_err(|e| said(&format!("{name}: {e}")))?;
            let of_variant = |variant: &Variant| {
                let mut table = base.clone();
                overlay(&mut table, &experiment.set);
                overlay(&mut table, &variant.set);
                let text = toml::to_string(&table).map_err(|e| e.to_string())?;
                let wrong = |why| said(&format!("{name} as variant {:?} has it: {why}", variant.name));
                Scenario::read(&text).map_err(wrong)
            };
            scenarios.push(experiment.variants.iter().map(of_variant).collect::<Result<Vec<_>, _>>()?);
        }
        let program = |variant: &Variant| match (variant.drive, &variant.program) {
            (Drive::Sim, _) => Ok(None),
            (Drive::Emulate, None) => Program::of(variant.policy).map(Some),
            (Drive::Emulate, Some(path)) => {
                Ok(Some(Program { file: folder.join(path), arguments: variant.arguments.clone() }))
            }
        };
        let programs = experiment.variants.iter().map(program).collect::<Result<Vec<_>, _>>()?;
        let runs = plan_runs(&experiment, &scenarios, &programs)?;
        Ok(Plan { experiment, scenarios, programs, runs })
    }

    /// How many runs it has.
    pub fn runs(&self) -> usize {
        self.runs.len()
    }

    /// Plays what a file of runs does not hold yet, and adds it there; returns the rows of each
    /// scenario. A run counts as held only if scenario, variant, seed and programs are the same.
    ///
    /// # Errors
    /// A file that cannot be written or that another process writes, or runs that failed: all others are
    /// kept, and the next call plays only what is missing.
    pub fn play(&self, file: &Path, watcher: &impl Watcher) -> Result<Vec<Played>, String> {
        let said = |why: &dyn std::fmt::Display| format!("{}: {why}", file.display());
        let open = std::fs::File::options().create(true).append(true).open(file);
        let mut open = open.map_err(|e| said(&e))?;
        open.try_lock().map_err(|_| said(&"another process writes it"))?;
        let text = std::fs::read_to_string(file).map_err(|e| said(&e))?;
        let (mut held, unreadable) = held(&text);
        // A line that was cut off stands alone, and the next one begins on its own.
        if !text.is_empty() && !text.ends_with('\n') {
            open.write_all(b"\n").map_err(|e| said(&e))?;
        }
        let missing: Vec<&Run> = self.runs.iter().filter(|run| !held.contains_key(&run.key)).collect();
        watcher.begins(self.runs.len() - missing.len(), self.runs.len(), unreadable);
        let out = Mutex::new(open);
        let pool = rayon::ThreadPoolBuilder::new().num_threads(self.at_once()).build();
        let pool = pool.map_err(|e| e.to_string())?;
        let played: Vec<Result<(String, Outcome), String>> = pool.install(|| {
            let one = |run: &&Run| {
                let outcome = self.play_one(run)?;
                let kept = Kept {
                    key: run.key.clone(),
                    scenario: outcome.scenario.clone(),
                    variant: self.experiment.variants[run.variant].name.clone(),
                    seed: run.seed,
                    outcome,
                };
                let line = serde_json::to_string(&kept).map_err(|e| e.to_string())? + "\n";
                let mut out = out.lock().map_err(|_| "a run that panicked".to_owned())?;
                out.write_all(line.as_bytes()).map_err(|e| said(&e))?;
                drop(out);
                watcher.ended();
                Ok((kept.key, kept.outcome))
            };
            missing.par_iter().map(one).collect()
        });
        let mut failed = Vec::new();
        for one in played {
            match one {
                Ok((key, outcome)) => {
                    held.insert(key, outcome);
                }
                Err(why) => failed.push(why),
            }
        }
        if !failed.is_empty() {
            let all = failed.len();
            failed.sort();
            failed.dedup();
            return Err(format!("{all} runs failed, the others are kept:\n{}", failed.join("\n")));
        }
        Ok(self.rows(&held))
    }

    fn at_once(&self) -> usize {
        let cores = std::thread::available_parallelism().map_or(1, usize::from);
        let waits = self.experiment.variants.iter().all(|variant| variant.drive == Drive::Emulate);
        self.experiment.at_once.unwrap_or(if waits { 4 * cores } else { cores }).max(1)
    }

    fn play_one(&self, run: &Run) -> Result<Outcome, String> {
        let scenario = &self.scenarios[run.scenario][run.variant];
        let variant = &self.experiment.variants[run.variant];
        let outcome = match &self.programs[run.variant] {
            None => simulate(scenario, variant.policy, run.seed),
            Some(program) => {
                emulate(scenario, &Schedulers::Started(program.clone()), &variant.name, run.seed)
            }
        };
        outcome.map_err(|why| format!("{}, {}, seed {}: {why}", scenario.name, variant.name, run.seed))
    }

    fn rows(&self, held: &HashMap<String, Outcome>) -> Vec<Played> {
        let mut played = Vec::new();
        for (at, scenarios) in self.scenarios.iter().enumerate() {
            let variant = |(number, variant): (usize, &Variant)| {
                let own = self.runs.iter().filter(|run| run.scenario == at && run.variant == number);
                let runs = own.filter_map(|run| held.get(&run.key).cloned()).collect();
                (variant.name.clone(), runs)
            };
            let variants = self.experiment.variants.iter().enumerate().map(variant).collect();
            played.push((scenarios[0].clone(), rows(variants)));
        }
        played
    }

    /// Pairs of variants that differ in their drive only, by their places: first in virtual time.
    pub fn pairs(&self) -> Vec<(usize, usize)> {
        let variants = &self.experiment.variants;
        let mut pairs = Vec::new();
        for (at, sim) in variants.iter().enumerate().filter(|(_, of)| of.drive == Drive::Sim) {
            let same = |of: &&(usize, &Variant)| {
                of.1.drive == Drive::Emulate
                    && of.1.policy == sim.policy
                    && of.1.set == sim.set
                    && of.1.program.is_none()
            };
            pairs.extend(variants.iter().enumerate().find(|of| same(&of)).map(|(other, _)| (at, other)));
        }
        pairs
    }
}

/// What both drives say of the same: shares, their difference, and whether they rank alike.
pub fn agreement(pairs: &[(usize, usize)], played: &[Played]) -> String {
    let mut text = format!(
        "{:<16} {:<18} {:>7} {:>9} {:>11} {:>14}\n",
        "scenario", "policy", "sim", "emulate", "difference", "rank, each"
    );
    let (mut worst, mut swapped, mut compared) = (0.0_f64, 0, 0);
    for (scenario, rows) in played {
        let shares: Vec<(f64, f64)> = pairs.iter().map(|&(a, b)| (rows[a].share, rows[b].share)).collect();
        let rank = |of: fn(&(f64, f64)) -> f64, own: f64| 1 + shares.iter().filter(|s| of(s) > own).count();
        for (&(at, _), &(sim, emulated)) in pairs.iter().zip(&shares) {
            let ranks = (rank(|s| s.0, sim), rank(|s| s.1, emulated));
            let difference = emulated - sim;
            worst = worst.max(difference.abs());
            text += &format!(
                "{:<16} {:<18} {sim:>7.3} {emulated:>9.3} {difference:>+11.3} {:>14}\n",
                scenario.name,
                rows[at].runs.first().map_or(&*rows[at].policy, |run| &*run.policy),
                format!("{} and {}", ranks.0, ranks.1)
            );
        }
        for (number, one) in shares.iter().enumerate() {
            for other in &shares[number + 1..] {
                compared += 1;
                // Closer than this in either drive, nothing says which is better.
                let apart = |a: f64, b: f64| (a - b).abs() > APART;
                let differ = (one.0 > other.0) != (one.1 > other.1);
                swapped += usize::from(differ && apart(one.0, other.0) && apart(one.1, other.1));
            }
        }
    }
    text + &format!(
        "largest difference {worst:.3}; of {compared} pairs of policies {swapped} are ranked otherwise where both \
         drives show more than {APART} between them\n"
    )
}

/// Shares that are closer than this rank alike.
const APART: f64 = 0.01;

/// The runs that a file holds, and how many of its lines could not be read.
fn held(text: &str) -> (HashMap<String, Outcome>, usize) {
    let mut runs = HashMap::new();
    let mut unreadable = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match serde_json::from_str::<Kept>(line) {
            Ok(kept) => {
                runs.insert(kept.key, kept.outcome);
            }
            Err(_) => unreadable += 1,
        }
    }
    (runs, unreadable)
}

fn plan_runs(
    experiment: &Experiment,
    scenarios: &[Vec<Scenario>],
    programs: &[Option<Program>],
) -> Result<Vec<Run>, String> {
    let hash = |path: &Path| {
        let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok::<_, String>(blake3::hash(&bytes).to_hex().to_string())
    };
    // The module is a part of this program: what another build played is not what this one plays.
    static OWN: OnceLock<Result<String, String>> = OnceLock::new();
    let own = OWN.get_or_init(|| hash(&std::env::current_exe().map_err(|e| e.to_string())?)).clone()?;
    let mut files = HashMap::new();
    for program in programs.iter().flatten() {
        if !files.contains_key(&program.file) {
            files.insert(program.file.clone(), hash(&program.file)?);
        }
    }
    let mut runs = Vec::new();
    for (scenario, variants) in scenarios.iter().enumerate() {
        for (variant, as_played) in variants.iter().enumerate() {
            let text = toml::to_string(as_played).map_err(|e| e.to_string())?;
            let of = &experiment.variants[variant];
            let program = programs[variant].as_ref();
            let file = program.and_then(|program| files.get(&program.file)).map_or("", String::as_str);
            let arguments = program.map_or(&[][..], |program| &program.arguments);
            let first = experiment.seeds[0];
            for seed in first..first.saturating_add(experiment.seeds[1]) {
                let parts =
                    [&own, file, &text, &format!("{:?} {} {arguments:?} {seed}", of.drive, of.policy.name())];
                let key = blake3::hash(parts.join("\n").as_bytes()).to_hex()[..32].to_owned();
                runs.push(Run { key, scenario, variant, seed });
            }
        }
    }
    Ok(runs)
}
