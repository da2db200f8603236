//! The errors of experiments: why one cannot be read or played.
use std::path::PathBuf;

use crate::scenario::ScenarioError;

/// Why an experiment cannot be read or played. The texts name the file and the key.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ExperimentError {
    /// The experiment's file, the file of runs or a program's file cannot be read or written.
    #[error("{}: {source}", file.display())]
    Io {
        /// The file.
        file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is no TOML, or not an experiment's.
    #[error("{}: {}", file.display(), source.to_string().trim_end())]
    InvalidToml {
        /// The experiment's file.
        file: PathBuf,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// Without scenarios, variants or seeds there is no run.
    #[error("{}: scenarios, variants and seeds: at least one of each", file.display())]
    NoRuns {
        /// The experiment's file.
        file: PathBuf,
    },
    /// Two variants have one name.
    #[error("{}: variants[{index}].name: {name:?} comes twice", file.display())]
    DuplicateVariant {
        /// The experiment's file.
        file: PathBuf,
        /// The index of the later variant.
        index: usize,
        /// The name.
        name: String,
    },
    /// A variant in virtual time names a program.
    #[error("{}: variants[{index}].program: only in real time, drive = \"emulate\"", file.display())]
    ProgramInVirtualTime {
        /// The experiment's file.
        file: PathBuf,
        /// The variant's index.
        index: usize,
    },
    /// A scenario's file cannot be read.
    #[error("{}: {}: {source}", file.display(), scenario_file.display())]
    UnreadableScenario {
        /// The experiment's file.
        file: PathBuf,
        /// The scenario's file.
        scenario_file: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A scenario's file is no TOML.
    #[error("{}: {scenario}: {}", file.display(), source.to_string().trim_end())]
    InvalidScenarioToml {
        /// The experiment's file.
        file: PathBuf,
        /// The scenario.
        scenario: String,
        /// The cause.
        source: Box<toml::de::Error>,
    },
    /// A scenario with a variant's changes is wrong.
    #[error("{}: {scenario} as variant {variant:?} has it: {source}", file.display())]
    InvalidScenario {
        /// The experiment's file.
        file: PathBuf,
        /// The scenario.
        scenario: String,
        /// The variant's name.
        variant: String,
        /// The cause.
        source: Box<ScenarioError>,
    },
    /// A scenario cannot be written as TOML.
    #[error(transparent)]
    TomlNotWritten(#[from] toml::ser::Error),
    /// A run cannot be written as JSON.
    #[error(transparent)]
    JsonNotWritten(#[from] serde_json::Error),
    /// The program of a policy cannot be found.
    #[error("{0}")]
    UnknownProgram(String),
    /// This program's own file cannot be found.
    #[error(transparent)]
    OwnProgramUnknown(std::io::Error),
    /// Another process writes the file of runs.
    #[error("{}: another process writes it", file.display())]
    RunStoreLocked {
        /// The file of runs.
        file: PathBuf,
    },
    /// Another run panicked while it was stored.
    #[error("a run that panicked")]
    RunPanicked,
    /// The threads cannot be started.
    #[error(transparent)]
    ThreadPool(#[from] rayon::ThreadPoolBuildError),
    /// One run failed.
    #[error("{scenario}, {variant}, seed {seed}: {reason}")]
    RunFailed {
        /// The scenario's name.
        scenario: String,
        /// The variant's name.
        variant: String,
        /// The seed.
        seed: u64,
        /// The cause.
        reason: String,
    },
    /// Some runs failed.
    #[error("{count} runs failed, the others are kept:\n{}", reasons.join("\n"))]
    RunsFailed {
        /// How many runs failed.
        count: usize,
        /// The causes, each once.
        reasons: Vec<String>,
    },
}
