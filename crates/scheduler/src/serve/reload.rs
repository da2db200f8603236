//! Reloads of the configuration on SIGHUP.
//!
//! A reload changes the discovery and the log's level, and nothing else. A configuration that is not valid
//! changes nothing. A file that is still being written is waited for: cut short, it may be valid by itself.
use std::time::Duration;

use tokio::time::Instant;
use tracing::{info, warn};

use super::discovery_handle::DiscoveryHandle;
use super::error::ReloadError;
use crate::configuration::{ConfigSource, LoadedConfig};
use crate::logging::Log;

/// A file is read once it has not changed for this long.
const FILE_SETTLE_TIME: Duration = Duration::from_millis(50);

/// Carries out reloads. It owns the one that is waiting for its file.
pub(super) struct Reloader<'a> {
    source: &'a ConfigSource,
    initial: &'a LoadedConfig,
    discovery: &'a DiscoveryHandle,
    log: &'a Log,
    pending: Option<PendingReload>,
}

/// A reload that waits until its file no longer changes.
struct PendingReload {
    last_content: Vec<u8>,
    check_at: Instant,
}

impl PendingReload {
    fn new(last_content: Vec<u8>) -> PendingReload {
        PendingReload { last_content, check_at: Instant::now() + FILE_SETTLE_TIME }
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
        Reloader { source, initial, discovery, log, pending: None }
    }

    /// Reloads, at once or when the file has settled.
    pub(super) fn request_reload(&mut self) {
        match self.source.content_while_written() {
            None => self.reload(),
            Some(content) => self.pending = Some(PendingReload::new(content)),
        }
    }

    /// When [`Reloader::check_pending`] is due; `None` while no reload waits.
    pub(super) fn next_check(&self) -> Option<Instant> {
        self.pending.as_ref().map(|pending| pending.check_at)
    }

    /// Reloads if the file has settled, or else waits on.
    pub(super) fn check_pending(&mut self) {
        let last_content = self.pending.take().map(|pending| pending.last_content);
        let content = self.source.content_while_written();
        if content == last_content {
            self.reload();
        } else {
            self.pending = content.map(PendingReload::new);
        }
    }

    fn reload(&self) {
        let config = match self.load() {
            Ok(config) => config,
            Err(error) => {
                let error = on_one_line(&error.to_string());
                return warn!(error, "reload failed, the old configuration stays in force");
            }
        };
        let parts = self.initial.restart_only_changes(&config);
        if !parts.is_empty() {
            warn!(parts = parts.join(", "), "some changes take effect only with a restart");
        }
        let discovery_changed = self.discovery.update(config.startup.discovery);
        info!(discovery_changed, "configuration reloaded");
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
