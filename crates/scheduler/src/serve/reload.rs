//! Reloading of the configuration on SIGHUP.
//!
//! A reload changes the log levels and either the address of the hosting platform's discovery service or the
//! static endpoint list. Changes to other settings need a restart and are logged as a warning. A
//! configuration that is not valid changes nothing.
//!
//! At SIGHUP, another program may still be writing the configuration file. A partly written TOML file can be
//! a valid configuration, so a successful read does not prove that the file is complete. A TOML file is
//! therefore read only after the file has settled, that is, after its content has not changed for
//! `FILE_SETTLE_TIME`. A JSON file is read at once, because a partly written JSON file is never valid.
//!
//! The program that writes the file may pause for longer than `FILE_SETTLE_TIME`. After a TOML file has
//! been read, the file is therefore rechecked for `RECHECK_DURATION`, and so is a JSON file that was not
//! valid. If the content has changed, the configuration is reloaded without another SIGHUP.
use std::time::Duration;

use tokio::time::Instant;
use tracing::{info, warn};

use super::discovery_handle::DiscoveryHandle;
use super::error::ReloadError;
use crate::configuration::{ConfigSource, LoadedConfig};
use crate::logging::Log;

/// Time after which a file counts as settled if its content has not changed in that time.
const FILE_SETTLE_TIME: Duration = Duration::from_millis(50);
/// How long a file that may be incomplete is rechecked after it was read. When the content has changed, the
/// file is read again and the duration starts anew.
const RECHECK_DURATION: Duration = Duration::from_secs(2);
/// Interval between rechecks of a file.
///
/// A recheck reloads the configuration if the file has not changed since the previous check, unless the same
/// content was already read and was valid.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Reloads the configuration on request. A reload may wait until the configuration file has settled, and the
/// file may be rechecked for a limited time after the reload.
pub(super) struct Reloader<'a> {
    source: &'a ConfigSource,
    initial: &'a LoadedConfig,
    discovery: &'a DiscoveryHandle,
    log: &'a Log,
    pending: Option<FileWatch>,
    /// Error message of the last reload; `None` if the last reload succeeded or if no reload has taken place
    /// since the last SIGHUP. A reload that fails again with the same message is not logged.
    last_error: Option<String>,
}

/// Repeated check of a configuration file whose content may still change.
struct FileWatch {
    /// Content of the file at the last check.
    last_content: Vec<u8>,
    check_at: Instant,
    /// State of the rechecks that follow the first read of the file; `None` while the reloader still waits
    /// for the file to settle.
    recheck: Option<Recheck>,
}

/// State of the rechecks of a file that may have been incomplete when the configuration was last read.
struct Recheck {
    /// Content of the file when the configuration was last read.
    read_content: Vec<u8>,
    /// Whether `read_content` was a valid configuration.
    was_valid: bool,
    /// Instant after which an unchanged file is not rechecked any more.
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

    /// Handles a SIGHUP: if the source has a TOML file, reloads the configuration once the file has settled,
    /// otherwise at once. A reload or recheck that is pending from an earlier SIGHUP is dropped.
    pub(super) fn request_reload(&mut self) {
        (self.pending, self.last_error) = (None, None);
        if self.source.may_be_valid_when_truncated() {
            self.pending = Some(FileWatch::settling(self.source.content()));
        } else {
            self.reload_and_recheck(None);
        }
    }

    /// Returns the instant at which [`Reloader::check_pending`] must be called to check the configuration
    /// file again; `None` if no check is pending.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.pending.as_ref().map(|pending| pending.check_at)
    }

    /// Performs the pending check of the configuration file.
    ///
    /// If the content has not changed since the previous check, the configuration is reloaded in three cases:
    /// the file has not been read since the SIGHUP, its content differs from the content last read, or that
    /// content was not valid. Content that was not valid is read again even if unchanged, because another
    /// file that the configuration names, such as the key file, may have been incomplete.
    ///
    /// Otherwise, the next check is scheduled, unless the content has not changed and the time for rechecks
    /// is over.
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

    /// Reloads the configuration, and schedules a recheck if the configuration file may have been incomplete.
    ///
    /// `last` is the state of the rechecks before this reload, or `None` at the first reload after a SIGHUP.
    fn reload_and_recheck(&mut self, last: Option<Recheck>) {
        // The file is read twice: here, for comparison at the next recheck, and then by the reload. In this
        // order, the next recheck detects a change that is written between the two reads.
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

    /// Reads and applies the configuration; returns whether the configuration was valid.
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

    /// Reads the configuration and then applies its log levels, so that an invalid configuration changes
    /// nothing.
    fn load_and_apply_log_levels(&self) -> Result<LoadedConfig, ReloadError> {
        let config = self.source.load()?;
        self.log.reload(&config.log)?;
        Ok(config)
    }
}

/// Replaces line breaks, so that an error with several lines fits on one log line.
fn join_lines(text: &str) -> String {
    text.replace('\n', "; ")
}
