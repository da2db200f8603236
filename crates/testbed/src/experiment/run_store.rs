//! The file in which the runs of an experiment are stored, with one line of JSON for each run that has ended.
//!
//! Each run is appended when it ends. A lock on the file ensures that only one process at a time writes the
//! file.
use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use super::ExperimentError;
use crate::outcome::RunOutcome;

/// A run that has ended, as it is stored in one line of the file.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredRun {
    /// The key of the run in the file of stored runs: a hash of the run's scenario, execution mode, policy,
    /// program arguments, seed and programs.
    pub key: String,
    /// The name of the run's scenario.
    pub scenario: String,
    /// The name of the run's variant.
    pub variant: String,
    /// The seed from which all random numbers of the run were derived.
    pub seed: u64,
    /// The outcome of the run, from which comparisons and reports are made.
    pub outcome: RunOutcome,
}

/// The contents of a file of stored runs.
pub(super) struct StoredOutcomes {
    /// The outcome of each stored run, by the run's key.
    pub by_key: HashMap<String, RunOutcome>,
    /// Number of lines in the file of stored runs that cannot be parsed.
    pub unreadable_lines: usize,
}

impl StoredOutcomes {
    fn parse(text: &str) -> StoredOutcomes {
        let mut stored = StoredOutcomes { by_key: HashMap::new(), unreadable_lines: 0 };
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match serde_json::from_str::<StoredRun>(line) {
                Ok(run) => {
                    stored.by_key.insert(run.key, run.outcome);
                }
                Err(_) => stored.unreadable_lines += 1,
            }
        }
        stored
    }
}

/// An open file of stored runs. The file stays locked by this process until this value is dropped.
pub(super) struct RunStore {
    path: PathBuf,
    file: Mutex<File>,
}

impl RunStore {
    /// Opens or creates the file of stored runs, locks it and reads its runs.
    ///
    /// # Errors
    /// Fails if the file cannot be read or written, or if another process has locked it.
    pub(super) fn open(path: &Path) -> Result<(RunStore, StoredOutcomes), ExperimentError> {
        let io_error = |source| ExperimentError::Io { file: path.to_owned(), source };
        let mut file = File::options().create(true).append(true).open(path).map_err(io_error)?;
        file.try_lock().map_err(|_| ExperimentError::RunStoreLocked { file: path.to_owned() })?;
        let text = std::fs::read_to_string(path).map_err(io_error)?;
        // An earlier write that was interrupted can have left an incomplete last line. The line break
        // separates that line from the next run.
        if !text.is_empty() && !text.ends_with('\n') {
            file.write_all(b"\n").map_err(io_error)?;
        }
        let store = RunStore { path: path.to_owned(), file: Mutex::new(file) };
        Ok((store, StoredOutcomes::parse(&text)))
    }

    /// Appends a run to the file of stored runs.
    ///
    /// # Errors
    /// Fails if the file cannot be written, or if another thread panicked while it appended a run.
    pub(super) fn append(&self, run: &StoredRun) -> Result<(), ExperimentError> {
        let line = serde_json::to_string(run)? + "\n";
        let mut file = self.file.lock().map_err(|_| ExperimentError::RunStorePoisoned)?;
        let written = file.write_all(line.as_bytes());
        written.map_err(|source| ExperimentError::Io { file: self.path.clone(), source })
    }
}
