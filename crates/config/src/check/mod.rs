//! Checks each value against the others and against what the process is allowed. Finds everything that
//! is wrong, not only the first, and says what would be right.
mod classes;
mod endpoints;
mod membership;
mod process;

use std::error::Error;
use std::path::Path;

use crate::types::{AttemptConfig, Config, SlowStartConfig};
use crate::units::HumanDuration;

/// Reads the membership's key from its file; the error says what is wrong with it, without its bytes.
pub type CheckKeyFile = fn(&Path) -> Result<(), Box<dyn Error>>;

/// What bounds a configuration from outside.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckContext {
    /// How many descriptors the process may hold open; `None` where it is not known.
    pub descriptor_limit: Option<u64>,
    /// Checks the file with the membership's key; `None` leaves the file unread.
    pub check_key_file: Option<CheckKeyFile>,
}

/// A value that is wrong.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Violation {
    /// The key with its tables, such as `classes[1].aim`.
    pub(crate) key: String,
    /// What is wrong, for people.
    pub(crate) message: String,
}

/// Everything that is wrong with a configuration.
pub(crate) fn check(config: &Config, context: &CheckContext) -> Vec<Violation> {
    let mut violations = Violations::default();
    process::check_limits(&config.limits, context, &mut violations);
    endpoints::check_zones(&config.zones, &mut violations);
    endpoints::check_source(&config.source, &config.zones, &mut violations);
    classes::check_classes(config, &mut violations);
    membership::check_membership(config, context, &mut violations);
    check_slow_start(&config.cold, &mut violations);
    check_durations(config, &mut violations);
    check_attempts(&config.attempts, &mut violations);
    violations.require(config.schedulers >= 1, "schedulers", || "0 leaves this one out; at least 1".into());
    process::check_event_log(&config.records, &mut violations);
    violations.found
}

#[derive(Default)]
struct Violations {
    found: Vec<Violation>,
}

impl Violations {
    /// Adds a violation of `key` unless `holds`.
    fn require(&mut self, holds: bool, key: &str, message: impl FnOnce() -> String) {
        if !holds {
            self.add(key, message());
        }
    }

    fn add(&mut self, key: &str, message: impl Into<String>) {
        self.found.push(Violation { key: key.to_owned(), message: message.into() });
    }
}

fn check_slow_start(slow_start: &SlowStartConfig, violations: &mut Violations) {
    let SlowStartConfig { from, fall_multiple, .. } = *slow_start;
    violations
        .require(from > 0.0 && from <= 1.0, "cold.from", || format!("{from} is not over 0 and at most 1"));
    violations.require(fall_multiple.is_finite() && fall_multiple > 0.0, "cold.fall_multiple", || {
        format!("{fall_multiple} is not over 0")
    });
}

fn check_durations(config: &Config, violations: &mut Violations) {
    let durations = [
        ("cold.fall_window", config.cold.fall_window),
        ("back.http.connect_within", config.back.http.connect_within),
        ("back.http.keep_idle", config.back.http.keep_idle),
    ];
    for (key, duration) in durations {
        violations.require(duration > HumanDuration(0), key, || {
            "no time at all; write a span such as \"250ms\"".into()
        });
    }
}

fn check_attempts(attempts: &AttemptConfig, violations: &mut Violations) {
    violations
        .require(attempts.most >= 1, "attempts.most", || "0 attempts serve no request; at least 1".into());
}
