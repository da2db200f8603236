//! The errors of reading and executing an experiment.
use std::path::PathBuf;

use crate::scenario::ScenarioError;

/// An error because of which an experiment cannot be read or executed. The message names the file and, if
/// possible, the key.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ExperimentError {
    /// The experiment file, the file of stored runs or the executable file of a program cannot be read or
    /// written.
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
        /// The TOML parser's error, which gives the line and the reason.
        source: Box<toml::de::Error>,
    },
    /// The experiment has no runs, because it has no scenarios, no variants or no seeds.
    #[error("{}: scenarios, variants and seeds: at least one of each is required", file.display())]
    NoRuns {
        /// The path of the experiment file.
        file: PathBuf,
    },
    /// Two variants of the experiment have the same name.
    #[error("{}: variants[{index}].name: {name:?} is used twice", file.display())]
    DuplicateVariant {
        /// The path of the experiment file.
        file: PathBuf,
        /// The position of the second variant with this name in the experiment file's list of variants.
        index: usize,
        /// The name that both variants have.
        name: String,
    },
    /// A variant sets `program` but is simulated in virtual time. A program can only be started in real time.
    #[error(
        "{}: variants[{index}].program: a program can only run in real time, with drive = \"emulate\"",
        file.display()
    )]
    ProgramInVirtualTime {
        /// The path of the experiment file.
        file: PathBuf,
        /// The position of the variant in the experiment file's list of variants.
        index: usize,
    },
    /// A scenario file that the experiment file names cannot be read.
    #[error("{}: {}: {source}", file.display(), scenario_file.display())]
    UnreadableScenario {
        /// The path of the experiment file.
        file: PathBuf,
        /// The path of the scenario file.
        scenario_file: PathBuf,
        /// The I/O error of the failed read.
        source: std::io::Error,
    },
    /// The text of a scenario is not valid TOML.
    #[error("{}: {scenario}: {}", file.display(), source.to_string().trim_end())]
    InvalidScenarioToml {
        /// The path of the experiment file.
        file: PathBuf,
        /// The scenario as the experiment file names it: the name of a built-in scenario or a file path.
        scenario: String,
        /// The TOML parser's error, which gives the line and the reason.
        source: Box<toml::de::Error>,
    },
    /// A scenario is invalid after the changes that the experiment and one of its variants make to it.
    #[error("{}: {scenario}, as changed by variant {variant:?}: {source}", file.display())]
    InvalidScenario {
        /// The path of the experiment file.
        file: PathBuf,
        /// The scenario as the experiment file names it: the name of a built-in scenario or a file path.
        scenario: String,
        /// The name of the variant whose settings were applied to the scenario. A variant is one of the
        /// alternatives that the experiment compares.
        variant: String,
        /// The error of the scenario's validation, which names the invalid key.
        source: Box<ScenarioError>,
    },
    /// A scenario cannot be serialized as TOML after the settings of a variant were applied to it.
    #[error(transparent)]
    SerializeToml(#[from] toml::ser::Error),
    /// A run that has ended cannot be serialized as JSON for the file of stored runs.
    #[error(transparent)]
    SerializeJson(#[from] serde_json::Error),
    /// The scheduler program for the dispatch policy of a variant cannot be found.
    #[error("{0}")]
    ProgramNotFound(String),
    /// The path of the running testbed program cannot be determined.
    #[error(transparent)]
    CurrentExecutable(std::io::Error),
    /// Another process has locked the file of stored runs.
    #[error("{}: another process is writing this file", file.display())]
    RunStoreLocked {
        /// The path of the file of stored runs.
        file: PathBuf,
    },
    /// A thread panicked while it appended a run to the file of stored runs.
    #[error("a thread panicked while it stored a run")]
    RunStorePoisoned,
    /// The thread pool that executes the runs cannot be created.
    #[error(transparent)]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// One run of the experiment failed.
    #[error("{scenario}, {variant}, seed {seed}: {reason}")]
    RunFailed {
        /// The name of the failed run's scenario.
        scenario: String,
        /// The name of the failed run's variant.
        variant: String,
        /// The seed of the failed run.
        seed: u64,
        /// The message of the error with which the run failed.
        reason: String,
    },
    /// One or more runs of the experiment failed. The successful runs are stored.
    #[error("{count} runs failed; the outcomes of the others are stored:\n{}", reasons.join("\n"))]
    RunsFailed {
        /// Number of failed runs.
        count: usize,
        /// The distinct error messages of the failed runs, in alphabetical order.
        reasons: Vec<String>,
    },
}
