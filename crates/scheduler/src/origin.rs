//! Where a configuration comes from, and what all forms of it come to.
use std::path::{Path, PathBuf};

use copperspread_event_log::writer;
use copperspread_settings::{StartupConfig, platform};

use crate::logging::LogSpec;

/// Where a configuration is read, at the start and again on SIGHUP.
#[derive(Clone, Debug)]
pub enum Origin {
    /// The platform's JSON file.
    Platform(PathBuf),
    /// Layers over the built-in default.
    #[cfg(feature = "standalone")]
    Standalone {
        /// The file among them.
        file: Option<PathBuf>,
        /// `key=value`, over all else.
        flags: Vec<String>,
        /// Stands in where no seed is set.
        seed: u64,
    },
}

/// What a configuration tells.
#[derive(Clone, Debug)]
pub struct Told {
    /// The scheduler's start.
    pub start: StartupConfig,
    /// The log.
    pub log: LogSpec,
    /// The records, if any are kept. The platform has no disk that lasts: none there.
    pub records: Option<writer::EventLogConfig>,
    /// Membership among schedulers, if it is on. The platform names no peers: none there.
    #[cfg(feature = "standalone")]
    pub membership: Option<crate::peers::Membership>,
}

impl Told {
    /// The parts in which another reading differs and which only a new start can change.
    pub fn fixed_unlike(&self, other: &Told) -> Vec<&'static str> {
        let mut parts = self.start.restart_only_changes(&other.start);
        if self.log.json != other.log.json {
            parts.push("log.format");
        }
        if self.records != other.records {
            parts.push("records");
        }
        #[cfg(feature = "standalone")]
        if self.membership != other.membership {
            parts.push("cluster");
        }
        parts
    }
}

impl Origin {
    /// The file that the platform names.
    pub fn of_platform() -> Option<Origin> {
        std::env::var_os("EDGE_CONFIG").map(|path| Origin::Platform(path.into()))
    }

    /// The text of a file that may be replaced piece by piece; nothing where it is put down whole, as
    /// the platform does.
    pub fn unsettled(&self) -> Option<Vec<u8>> {
        match self {
            Origin::Platform(_) => None,
            #[cfg(feature = "standalone")]
            Origin::Standalone { file, .. } => {
                file.as_ref().map(|path| std::fs::read(path).unwrap_or_default())
            }
        }
    }

    /// Reads it now.
    ///
    /// # Errors
    /// What is wrong, with its place; perhaps several lines.
    pub fn read(&self) -> Result<Told, String> {
        match self {
            Origin::Platform(path) => Ok(Told {
                start: of_platform_file(path)?,
                log: LogSpec::default(),
                records: None,
                #[cfg(feature = "standalone")]
                membership: None,
            }),
            #[cfg(feature = "standalone")]
            Origin::Standalone { file, flags, seed } => {
                crate::standalone::read(file.as_deref(), flags, *seed)
            }
        }
    }
}

/// Reads the platform's JSON.
///
/// # Errors
/// What is wrong, after the file's name.
pub fn of_platform_file(path: &Path) -> Result<StartupConfig, String> {
    let content = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    platform::read_startup_config(&content).map_err(|e| format!("{}: {e}", path.display()))
}
