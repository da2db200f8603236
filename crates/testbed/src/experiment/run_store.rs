//! Reads and appends to the file of runs: one JSON line for each run that has ended.
//!
//! One process at a time writes it; each run is appended when it ends.
use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::Mutex;

use serde::{Deserialize, Serialize};

use super::ExperimentError;
use crate::outcome::RunOutcome;

/// A run that has ended: a line of the file.
#[derive(Serialize, Deserialize)]
pub(super) struct StoredRun {
    /// Identifies scenario, variant, seed and programs.
    pub key: String,
    /// The scenario's name.
    pub scenario: String,
    /// The variant's name.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// What the run resulted in.
    pub outcome: RunOutcome,
}

/// The outcomes that a file holds, by key.
pub(super) struct StoredOutcomes {
    pub by_key: HashMap<String, RunOutcome>,
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

/// A file of runs that is locked for this process until the store is dropped.
pub(super) struct RunStore {
    path: PathBuf,
    file: Mutex<File>,
}

impl RunStore {
    /// Opens or creates the file, and reads what it holds.
    ///
    /// # Errors
    /// A file that cannot be read or written, or that another process has locked.
    pub(super) fn open(path: &Path) -> Result<(RunStore, StoredOutcomes), ExperimentError> {
        let io_error = |source| ExperimentError::Io { file: path.to_owned(), source };
        let mut file = File::options().create(true).append(true).open(path).map_err(io_error)?;
        file.try_lock().map_err(|_| ExperimentError::RunStoreLocked { file: path.to_owned() })?;
        let text = std::fs::read_to_string(path).map_err(io_error)?;
        // A line that was cut off stays alone: the next one begins on its own.
        if !text.is_empty() && !text.ends_with('\n') {
            file.write_all(b"\n").map_err(io_error)?;
        }
        let store = RunStore { path: path.to_owned(), file: Mutex::new(file) };
        Ok((store, StoredOutcomes::parse(&text)))
    }

    /// Appends a run.
    ///
    /// # Errors
    /// A file that cannot be written, or another run that panicked while it was written.
    pub(super) fn append(&self, run: &StoredRun) -> Result<(), ExperimentError> {
        let line = serde_json::to_string(run)? + "\n";
        let mut file = self.file.lock().map_err(|_| ExperimentError::RunPanicked)?;
        let written = file.write_all(line.as_bytes());
        written.map_err(|source| ExperimentError::Io { file: self.path.clone(), source })
    }
}
