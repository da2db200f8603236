//! Reloading of the configuration on SIGHUP.
//!
//! A reload changes the address of the platform's discovery or the static list, and the log levels. Other
//! changes need a restart and are logged as a warning. A configuration that is not valid changes nothing.
//!
//! The file may still be incomplete at SIGHUP, because it is being written. A file that may be valid even
//! when truncated is therefore read only once it has settled, that is, once its content has stopped changing.
//! The program that writes the file may pause for longer than the settle time. A file that may have been
//! incomplete when it was read is therefore rechecked for some seconds, and a change is applied without
//! another SIGHUP.
use std::time::Duration;

use tokio::time::Instant;
use tracing::{info, warn};

use super::discovery_handle::DiscoveryHandle;
use super::error::ReloadError;
use crate::configuration::{ConfigSource, LoadedConfig};
use crate::logging::Log;

/// Time without a change after which a file counts as settled.
const FILE_SETTLE_TIME: Duration = Duration::from_millis(50);
/// How long after its last change a file that may have been incomplete is rechecked.
const RECHECK_DURATION: Duration = Duration::from_secs(2);
/// Interval between rechecks of a file. The configuration is reloaded once two checks in a row find the same
/// content and that content is new or was not valid.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Reloads the configuration, and watches a file that has not settled or may have been incomplete when it was
/// read.
pub(super) struct Reloader<'a> {
    source: &'a ConfigSource,
    initial: &'a LoadedConfig,
    discovery: &'a DiscoveryHandle,
    log: &'a Log,
    pending: Option<FileWatch>,
    /// Error of the last reload since the last SIGHUP, if it failed. A recheck does not log the same error
    /// again.
    last_error: Option<String>,
}

/// A file whose content may still change.
struct FileWatch {
    /// Content of the file at the last check.
    last_content: Vec<u8>,
    check_at: Instant,
    /// State of the rechecks; `None` until the file has settled and been read.
    recheck: Option<Recheck>,
}

/// Rechecking of a file that may have been incomplete when it was last read.
struct Recheck {
    /// Content of the file when the configuration was last read.
    read_content: Vec<u8>,
    /// Whether `read_content` was a valid configuration.
    was_valid: bool,
    /// When rechecking ends.
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

    /// Reloads at once or, if a truncated file may be valid, once the file has settled. A pending reload is
    /// replaced.
    pub(super) fn request_reload(&mut self) {
        (self.pending, self.last_error) = (None, None);
        if self.source.may_be_valid_when_truncated() {
            self.pending = Some(FileWatch::settling(self.source.content()));
        } else {
            self.reload_and_recheck(None);
        }
    }

    /// Returns when [`Reloader::check_pending`] is due; `None` if no file is being watched.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.pending.as_ref().map(|pending| pending.check_at)
    }

    /// Reloads if the file has settled and has not been read yet, has changed since or was not valid.
    /// Otherwise schedules the next check, unless the time for rechecks is over. An unchanged file that was
    /// not valid is read again because a file that it names, such as the key file, may have been incomplete.
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

    /// Reloads, and schedules a recheck if the file may have been incomplete.
    fn reload_and_recheck(&mut self, last: Option<Recheck>) {
        // The content is read before the reload, so that anything written between the two reads counts as a
        // change.
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

    /// Reads and applies the configuration; returns whether it was valid.
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
