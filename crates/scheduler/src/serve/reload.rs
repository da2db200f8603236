//! Reloads the configuration on SIGHUP.
//!
//! A reload changes the log levels. It also changes the address of the hosting platform's discovery service
//! or the static endpoint list. Changes to other settings need a restart and are logged as a warning. A
//! configuration that is not valid changes nothing.
//!
//! At SIGHUP, another program may still be writing the configuration file. A partly written TOML file can be
//! a valid configuration, so a successful reload does not prove that the file is complete. The configuration
//! is therefore reloaded from a TOML file only once the file's content has not changed for
//! `FILE_SETTLE_TIME`; the file has then settled. From a JSON file, the configuration is reloaded at once,
//! because a partly written JSON file is never valid.
//!
//! The program that writes the file may pause for longer than `FILE_SETTLE_TIME`. After a reload from a TOML
//! file, the file is therefore checked again for `RECHECK_DURATION`. A JSON file that was not valid is
//! checked again in the same way. If the content has changed, the configuration is reloaded without another
//! SIGHUP.
use std::time::Duration;

use tokio::time::Instant;
use tracing::{info, warn};

use super::discovery_handle::DiscoveryHandle;
use super::error::ReloadError;
use crate::configuration::{ConfigSource, LoadedConfig};
use crate::logging::Log;

/// Time for which the content of the configuration file must not change before the file is taken to be
/// completely written.
const FILE_SETTLE_TIME: Duration = Duration::from_millis(50);
/// How long the configuration file is checked again after a reload at which the file may have been
/// incomplete. If the content has changed, the configuration is reloaded again and this time starts anew.
const RECHECK_DURATION: Duration = Duration::from_secs(2);
/// Interval between the checks of the configuration file after a reload. The checks are made because the
/// program that writes the file may not have finished before the reload. See [`Reloader::check_pending`] for
/// what a check does.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Reloads the configuration when a SIGHUP requests a reload.
///
/// The file may be read before it is completely written. The first part of a TOML file can be a valid
/// configuration, so a TOML file is not loaded before its content has stayed unchanged for
/// [`FILE_SETTLE_TIME`]. The program that writes the file may pause for longer than that. A TOML file is
/// therefore checked again for [`RECHECK_DURATION`] after the reload.
///
/// An incomplete JSON file is never valid. A JSON file is therefore loaded at once, and is checked again for
/// [`RECHECK_DURATION`] only if the configuration was not valid.
pub(super) struct Reloader<'a> {
    source: &'a ConfigSource,
    initial: &'a LoadedConfig,
    discovery: &'a DiscoveryHandle,
    log: &'a Log,
    pending: Option<FileWatch>,
    /// Error message of the last reload. A reload that fails again with the same message is not logged.
    /// `None` if the last reload succeeded. Each SIGHUP removes the message, so that the first failure after
    /// a SIGHUP is always logged.
    last_error: Option<String>,
}

/// The repeated checks of a configuration file whose content may still change.
struct FileWatch {
    /// Content of the configuration file at the last check.
    last_content: Vec<u8>,
    check_at: Instant,
    /// State of the checks after the first reload that follows a SIGHUP. `None` before that reload, while the
    /// reloader waits until the file's content has not changed for [`FILE_SETTLE_TIME`].
    recheck: Option<Recheck>,
}

/// State of the checks of a configuration file that are repeated after a reload, because the file may have
/// been incomplete at the reload.
struct Recheck {
    /// Content of the configuration file at the last reload.
    read_content: Vec<u8>,
    /// Whether the configuration was valid at the last reload.
    was_valid: bool,
    /// The instant from which on the repeated checks end as soon as a check finds the file's content
    /// unchanged since the previous check and since the last reload. Until then, checks go on because the
    /// program that writes the file may only have paused. A reload of changed content sets a later instant.
    ends_at: Instant,
}

impl FileWatch {
    fn settling(last_content: Vec<u8>) -> FileWatch {
        FileWatch { last_content, check_at: Instant::now() + FILE_SETTLE_TIME, recheck: None }
    }

    fn rechecking(last_content: Vec<u8>, recheck: Recheck) -> FileWatch {
        let check_at = Instant::now() + RECHECK_INTERVAL;
        FileWatch { last_content, check_at, recheck: Some(recheck) }
    }
}

impl<'a> Reloader<'a> {
    /// Creates a reloader for the scheduler that was started with the configuration `initial`.
    pub(super) fn new(
        source: &'a ConfigSource,
        initial: &'a LoadedConfig,
        discovery: &'a DiscoveryHandle,
        log: &'a Log,
    ) -> Reloader<'a> {
        Reloader { source, initial, discovery, log, pending: None, last_error: None }
    }

    /// Handles a SIGHUP. If the source has a TOML file, the configuration is reloaded once the file's content
    /// has not changed for [`FILE_SETTLE_TIME`], otherwise at once. If the configuration file was to be
    /// checked again because of an earlier SIGHUP, that check is dropped.
    pub(super) fn request_reload(&mut self) {
        (self.pending, self.last_error) = (None, None);
        if self.source.may_be_valid_when_truncated() {
            self.pending = Some(FileWatch::settling(self.source.content()));
        } else {
            self.reload_and_recheck(None);
        }
    }

    /// Returns the instant at which [`Reloader::check_pending`] must be called to check the configuration
    /// file again. Returns `None` if no check is pending.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.pending.as_ref().map(|pending| pending.check_at)
    }

    /// Performs the pending check: compares the content of the configuration file with the content at the
    /// previous check.
    ///
    /// If the content has changed since the previous check, only another check is scheduled. If the content
    /// has not changed, the configuration is reloaded in these cases:
    ///
    /// - The configuration has not been reloaded since the SIGHUP.
    /// - The content differs from the content at the last reload.
    /// - The configuration was not valid at the last reload. The reload is tried again even if the content is
    ///   unchanged, because another file that the configuration names, such as the key file, may have been
    ///   incomplete.
    ///
    /// If none of these cases holds, another check is scheduled, unless the instant [`Recheck::ends_at`] has
    /// passed.
    pub(super) fn check_pending(&mut self) {
        let Some(FileWatch { last_content, recheck, .. }) = self.pending.take() else { return };
        let content = self.source.content();
        let has_settled = content == last_content;
        match recheck {
            None if has_settled => self.reload_and_recheck(None),
            None => self.pending = Some(FileWatch::settling(content)),
            Some(last) if has_settled && (content != last.read_content || !last.was_valid) => {
                self.reload_and_recheck(Some(last));
            }
            Some(last) if !has_settled || Instant::now() < last.ends_at => {
                self.pending = Some(FileWatch::rechecking(content, last));
            }
            Some(_) => {}
        }
    }

    /// Reloads the configuration. If the configuration file may have been incomplete, also schedules a check
    /// of the file.
    ///
    /// `last` is the state of the repeated checks before this reload, or `None` at the first reload after a
    /// SIGHUP.
    fn reload_and_recheck(&mut self, last: Option<Recheck>) {
        // The file is read twice: first here, for comparison at the next check, and then by the reload. The
        // next check thus notices a change between the two reads. In the reverse order, such a change would
        // go unnoticed.
        let content = self.source.content();
        let was_valid = self.reload();
        if was_valid && !self.source.may_be_valid_when_truncated() {
            return;
        }
        let now = Instant::now();
        let is_unchanged = last.as_ref().is_some_and(|last| last.read_content == content);
        let ends_at = last.filter(|_| is_unchanged).map_or(now + RECHECK_DURATION, |last| last.ends_at);
        if now < ends_at {
            let recheck = Recheck { read_content: content.clone(), was_valid, ends_at };
            self.pending = Some(FileWatch::rechecking(content, recheck));
        }
    }

    /// Reads and applies the configuration. Returns whether the configuration was valid.
    fn reload(&mut self) -> bool {
        let config = match self.load_and_apply_log_levels() {
            Ok(config) => config,
            Err(error) => {
                self.log_failure(join_lines(&error.to_string()));
                return false;
            }
        };
        self.last_error = None;
        let parts = self.initial.restart_only_changes(&config);
        if !parts.is_empty() {
            warn!(parts = parts.join(", "), "some changes take effect only with a restart");
        }
        let discovery_changed = self.discovery.update(config.startup.discovery);
        info!(discovery_changed, "configuration reloaded");
        true
    }

    fn log_failure(&mut self, error: String) {
        if self.last_error.as_ref() != Some(&error) {
            warn!(error, "reload failed, the old configuration stays in force");
        }
        self.last_error = Some(error);
    }

    /// Reads the configuration, and only then applies its log levels. A configuration that is not valid
    /// therefore changes nothing.
    fn load_and_apply_log_levels(&self) -> Result<LoadedConfig, ReloadError> {
        let config = self.source.load()?;
        self.log.reload(&config.log)?;
        Ok(config)
    }
}

/// Replaces the line breaks in an error message, so that the message fits on one log line.
fn join_lines(text: &str) -> String {
    text.replace('\n', "; ")
}
