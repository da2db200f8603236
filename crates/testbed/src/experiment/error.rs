//! The errors of reading and executing an experiment.
use std::path::PathBuf;

use crate::scenario::ScenarioError;

/// An error that prevents reading or executing an experiment. The message names the file and, if possible,
/// the key.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ExperimentError {
    /// The experiment file, the file of stored runs or the executable of a program cannot be read or written.
    #[error("{}: {source}", file.display())]
    Io {
        /// The path of the file that cannot be read or written.
        file: PathBuf,
        /// The I/O error of the failed read or write.
        source: std::io::Error,
    },
    /// The experiment file is not valid TOML, or its fields are not those of an experiment.
    #[error("{}: {}", file.display(), source.to_string().trim_end())]
    InvalidToml {
        /// The path of the experiment file.
        file: PathBuf,
        /// The parser's error, which gives the line and the reason.
        source: Box<toml::de::Error>,
    },
    /// The experiment has no runs, because it has no scenarios, no variants or no seeds.
    #[error("{}: scenarios, variants and seeds: at least one of each is required", file.display())]
    NoRuns {
        /// The path of the experiment file.
        file: PathBuf,
    },
    /// Two variants have the same name.
    #[error("{}: variants[{index}].name: {name:?} is used twice", file.display())]
    DuplicateVariant {
        /// The path of the experiment file.
        file: PathBuf,
        /// The index of the second variant with this name in the experiment file's list of variants.
        index: usize,
        /// The name that both variants have.
        name: String,
    },
    /// A variant that is simulated in virtual time names a program.
    #[error(
        "{}: variants[{index}].program: a program can only run in real time, with drive = \"emulate\"",
        file.display()
    )]
    ProgramInVirtualTime {
        /// The path of the experiment file.
        file: PathBuf,
        /// The index of the variant in the experiment file's list of variants.
        index: usize,
    },
    /// A scenario file cannot be read.
    #[error("{}: {}: {source}", file.display(), scenario_file.display())]
    UnreadableScenario {
        /// The path of the experiment file.
        file: PathBuf,
        /// The path of the scenario file.
        scenario_file: PathBuf,
        /// The I/O error of the failed read.
        source: std::io::Error,
    },
    /// A scenario is not valid TOML.
    #[error("{}: {scenario}: {}", file.display(), source.to_string().trim_end())]
    InvalidScenarioToml {
        /// The path of the experiment file.
        file: PathBuf,
        /// The scenario as the experiment file gives it: a name or a file path.
        scenario: String,
        /// The parser's error, which gives the line and the reason.
        source: Box<toml::de::Error>,
    },
    /// A scenario is invalid after the changes of a variant.
    #[error("{}: {scenario}, as changed by variant {variant:?}: {source}", file.display())]
    InvalidScenario {
        /// The path of the experiment file.
        file: PathBuf,
        /// The scenario as the experiment file gives it: a name or a file path.
        scenario: String,
        /// The name of the variant whose changes were applied.
        variant: String,
        /// The error of the scenario's validation, which names the invalid key.
        source: Box<ScenarioError>,
    },
    /// A scenario cannot be serialized as TOML.
    #[error(transparent)]
    SerializeToml(#[from] toml::ser::Error),
    /// A run cannot be serialized as JSON.
    #[error(transparent)]
    SerializeJson(#[from] serde_json::Error),
    /// The scheduler program of a policy cannot be found.
    #[error("{0}")]
    ProgramNotFound(String),
    /// The path of the running executable cannot be determined.
    #[error(transparent)]
    CurrentExecutable(std::io::Error),
    /// Another process has locked the file of stored runs.
    #[error("{}: another process is writing this file", file.display())]
    RunStoreLocked {
        /// The path of the file of stored runs.
        file: PathBuf,
    },
    /// A thread panicked while it appended to the file of stored runs.
    #[error("a thread panicked while it stored a run")]
    RunStorePoisoned,
    /// The thread pool that executes the runs cannot be created.
    #[error(transparent)]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// A single run failed.
    #[error("{scenario}, {variant}, seed {seed}: {reason}")]
    RunFailed {
        /// The name of the scenario that the failed run played.
        scenario: String,
        /// The name of the variant that the failed run played.
        variant: String,
        /// The seed of the failed run.
        seed: u64,
        /// The message of the error with which the run failed.
        reason: String,
    },
    /// One or more runs failed. The successful runs are stored.
    #[error("{count} runs failed; the outcomes of the others are stored:\n{}", reasons.join("\n"))]
    RunsFailed {
        /// Number of failed runs.
        count: usize,
        /// The distinct error messages of the failed runs, in alphabetical order.
        reasons: Vec<String>,
    },
}
