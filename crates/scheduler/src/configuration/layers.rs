//! The configuration of a standalone installation, which is merged from several layers.
//!
//! The layers, from the lowest to the highest, are the built-in default, a TOML file, environment variables
//! and the command line. A value in a higher layer overrides the same value in all lower layers.
use std::path::Path;

use copperspread_config::{CheckContext, EffectiveConfig, LogFormat};
use copperspread_event_log::writer;
use copperspread_settings::StartupConfig;
use rustix::process::{Resource, getrlimit};

use super::{ConfigError, LoadedConfig};
use crate::logging::{self, LogConfig};
use crate::membership::{self, MemberConfig};

/// Reads and checks the configuration of a standalone installation. Environment variables override the TOML
/// file `file`. The `key=value` pairs in `overrides` override both.
///
/// # Errors
/// Fails if the file cannot be read, a value is not valid or no scheduler can be started with the combination
/// of values.
///
/// Several invalid values are listed in one message, one per line. Some errors hide others: a syntax error,
/// an unknown key or a value of the wrong type in the file is reported alone. An invalid log level is
/// reported only if all other values are valid.
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

/// Merges and checks all layers of the configuration: the built-in default, the TOML file `file`, environment
/// variables and the `key=value` pairs in `overrides`. The result also tells in which layer each value was
/// set.
///
/// # Errors
/// Fails if the file cannot be read or a value is not valid.
///
/// Several invalid values are listed in one message, one per line. Some errors hide others: a syntax error,
/// an unknown key or a value of the wrong type in the file is reported alone. An invalid log level is
/// reported only if all other values are valid.
pub(crate) fn read_effective(
    file: Option<&Path>,
    overrides: &[String],
) -> Result<EffectiveConfig, ConfigError> {
    let effective = copperspread_config::read(file, overrides, &check_context())?;
    logging::parse_levels(&effective.config.log.level)
        .map_err(|source| ConfigError::InvalidLogLevel { origin: effective.origin("log.level"), source })?;
    Ok(effective)
}

/// Extracts the settings with which the scheduler is started. If the configuration sets no random seed for
/// the dispatch policy, `default_seed` is used.
///
/// # Errors
/// Fails if each value is valid, but no scheduler can be started with their combination.
pub(crate) fn startup_config(
    effective: &EffectiveConfig,
    default_seed: u64,
) -> Result<StartupConfig, ConfigError> {
    effective.config.startup_config(default_seed).map_err(|error| ConfigError::Unusable(error.into()))
}

/// Returns what the configuration check needs besides the configuration itself. This is the process's limit
/// of open file descriptors, and a function that checks the key file, which contains the cluster's shared
/// key.
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
