//! Layered configuration of standalone installations.
//!
//! The layers are a TOML file, environment variables and the command line, over the built-in default.
use std::path::Path;

use copperspread_config::{CheckContext, EffectiveConfig, LogFormat};
use copperspread_event_log::writer;
use copperspread_settings::StartupConfig;
use rustix::process::{Resource, getrlimit};

use super::{ConfigError, LoadedConfig};
use crate::logging::{self, LogConfig};
use crate::membership::{self, MemberConfig};

/// Reads and checks the layers.
///
/// # Errors
/// Fails if the file cannot be read or a layer contains faults. Several invalid values are listed one per
/// line; a syntax error in the file and an invalid log level are reported alone.
pub(super) fn load(
    file: Option<&Path>,
    overrides: &[String],
    default_seed: u64,
) -> Result<LoadedConfig, ConfigError> {
    let effective = read_effective(file, overrides)?;
    Ok(LoadedConfig {
        log: log_config(&effective),
        event_log: event_log_config(&effective),
        membership: MemberConfig::from_config(&effective.config),
        startup: startup_config(&effective, default_seed)?,
    })
}

/// Merges and checks the layers, and keeps each value's origin.
///
/// # Errors
/// Fails if the file cannot be read or a layer contains faults. Several invalid values are listed one per
/// line; a syntax error in the file and an invalid log level are reported alone.
pub(crate) fn read_effective(
    file: Option<&Path>,
    overrides: &[String],
) -> Result<EffectiveConfig, ConfigError> {
    let effective = copperspread_config::read(file, overrides, &check_context())?;
    logging::parse_levels(&effective.config.log.level)
        .map_err(|source| ConfigError::InvalidLogLevel { origin: effective.origin("log.level"), source })?;
    Ok(effective)
}

/// Extracts the settings that the scheduler is started with. `default_seed` applies if no layer sets a seed.
///
/// # Errors
/// Fails if the values are each valid, but no scheduler can be started with their combination.
pub(crate) fn startup_config(
    effective: &EffectiveConfig,
    default_seed: u64,
) -> Result<StartupConfig, ConfigError> {
    effective.config.startup_config(default_seed).map_err(|error| ConfigError::Unusable(error.into()))
}

/// Returns the facts about the process and its files that the configuration is checked against: the
/// descriptor limit of this process and the content of the key file.
fn check_context() -> CheckContext {
    CheckContext {
        descriptor_limit: getrlimit(Resource::Nofile).current,
        check_key_file: Some(|path| Ok(membership::check_key_file(path)?)),
    }
}

fn log_config(effective: &EffectiveConfig) -> LogConfig {
    let log = &effective.config.log;
    LogConfig {
        level: log.level.clone(),
        json: match log.format {
            LogFormat::Auto => None,
            LogFormat::Text => Some(false),
            LogFormat::Json => Some(true),
        },
    }
}

fn event_log_config(effective: &EffectiveConfig) -> Option<writer::EventLogConfig> {
    let records = &effective.config.records;
    records.file.clone().map(|file| writer::EventLogConfig {
        path: file,
        max_file_bytes: records.rotate_at.0,
        max_rotated_files: records.keep,
        queue_capacity: records.queue as usize,
    })
}
