//! Reloads of the configuration on SIGHUP.
//!
//! A reload changes the discovery and the log's level, and nothing else. A configuration that is not valid
//! changes nothing.
//!
//! The file may still be being written. One that may be valid though it is cut short is read once it has settled. And
//! as a writer may pause for longer than that, the file is followed up: for some seconds after a reload that may have
//! read a part, what has changed since is read without another SIGHUP.
use std::time::Duration;

use tokio::time::Instant;
use tracing::{info, warn};

use super::discovery_handle::DiscoveryHandle;
use super::error::ReloadError;
use crate::configuration::{ConfigSource, LoadedConfig};
use crate::logging::Log;

/// A file is read once it has not changed for this long.
const FILE_SETTLE_TIME: Duration = Duration::from_millis(50);
/// A file that may have been read in part is followed up for this long after its last change.
const FOLLOW_UP_TIME: Duration = Duration::from_secs(2);
/// A file that is followed up is looked at this often, and read once two looks found the same.
const FOLLOW_UP_INTERVAL: Duration = Duration::from_millis(250);

/// Carries out reloads. It owns the one that is waiting for its file.
pub(super) struct Reloader<'a> {
    source: &'a ConfigSource,
    initial: &'a LoadedConfig,
    discovery: &'a DiscoveryHandle,
    log: &'a Log,
    pending: Option<FileWatch>,
    /// Why the last reload failed; what repeats itself is logged once.
    last_error: Option<String>,
}

/// A file that may change.
struct FileWatch {
    last_content: Vec<u8>,
    check_at: Instant,
    /// Absent until the file has settled and was read.
    follow_up: Option<FollowUp>,
}

/// What the last reload read, where it may have been a part.
struct FollowUp {
    content: Vec<u8>,
    is_valid: bool,
    ends_at: Instant,
}

impl FileWatch {
    fn settling(last_content: Vec<u8>) -> FileWatch {
        FileWatch { last_content, check_at: Instant::now() + FILE_SETTLE_TIME, follow_up: None }
    }

    fn following_up(last_content: Vec<u8>, follow_up: FollowUp) -> FileWatch {
        let check_at = Instant::now() + FOLLOW_UP_INTERVAL;
        FileWatch { last_content, check_at, follow_up: Some(follow_up) }
    }
}

impl<'a> Reloader<'a> {
    /// A reloader of the scheduler that was started with `initial`.
    pub(super) fn new(
        source: &'a ConfigSource,
        initial: &'a LoadedConfig,
        discovery: &'a DiscoveryHandle,
        log: &'a Log,
    ) -> Reloader<'a> {
        Reloader { source, initial, discovery, log, pending: None, last_error: None }
    }

    /// Reloads, at once or when the file has settled.
    pub(super) fn request_reload(&mut self) {
        (self.pending, self.last_error) = (None, None);
        if self.source.may_be_valid_when_truncated() {
            self.pending = Some(FileWatch::settling(self.source.content()));
        } else {
            self.reload_and_follow_up(None);
        }
    }

    /// When [`Reloader::check_pending`] is due; `None` while no reload waits.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.pending.as_ref().map(|pending| pending.check_at)
    }

    /// Reloads if the file has settled and is not the one that was read, or else waits on.
    pub(super) fn check_pending(&mut self) {
        let Some(FileWatch { last_content, follow_up, .. }) = self.pending.take() else { return };
        let content = self.source.content();
        let has_settled = content == last_content;
        match follow_up {
            None if has_settled => self.reload_and_follow_up(None),
            None => self.pending = Some(FileWatch::settling(content)),
            Some(last) if has_settled && (content != last.content || !last.is_valid) => {
                self.reload_and_follow_up(Some(last));
            }
            Some(last) if !has_settled || Instant::now() < last.ends_at => {
                self.pending = Some(FileWatch::following_up(content, last));
            }
            Some(_) => {}
        }
    }

    /// Reloads, and follows the file up if it may have been read in part.
    fn reload_and_follow_up(&mut self, last: Option<FollowUp>) {
        // Read before the reload: what is written in between is a change.
        let content = self.source.content();
        let is_valid = self.reload();
        if is_valid && !self.source.may_be_valid_when_truncated() {
            return;
        }
        let now = Instant::now();
        let is_unchanged = last.as_ref().is_some_and(|last| last.content == content);
        let ends_at = last.filter(|_| is_unchanged).map_or(now + FOLLOW_UP_TIME, |last| last.ends_at);
        if now < ends_at {
            let follow_up = FollowUp { content: content.clone(), is_valid, ends_at };
            self.pending = Some(FileWatch::following_up(content, follow_up));
        }
    }

    /// Whether the configuration was valid and is in force.
    fn reload(&mut self) -> bool {
        let config = match self.load() {
            Ok(config) => config,
            Err(error) => {
                self.log_failure(on_one_line(&error.to_string()));
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

    /// Reads the configuration and applies its log level, in this order, so that a configuration that is not
    /// valid in any part changes nothing.
    fn load(&self) -> Result<LoadedConfig, ReloadError> {
        let config = self.source.load()?;
        self.log.reload(&config.log)?;
        Ok(config)
    }
}

fn on_one_line(text: &str) -> String {
    text.replace('\n', "; ")
}
