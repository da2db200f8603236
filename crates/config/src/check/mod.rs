//! Checks the values of a configuration against each other and against the limits of the process. The checks
//! find all invalid values, not only the first. Each message says what is wrong and, where it helps, what
//! would be valid.
mod classes;
mod context;
mod endpoints;
mod membership;
mod process;
mod violations;

pub use context::{CheckContext, CheckKeyFile};
pub(crate) use violations::Violation;
use violations::Violations;

use crate::types::{AttemptConfig, Config, SlowStartConfig};
use crate::units::HumanDuration;

/// Checks a configuration and returns all invalid values, each with its key and a message.
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
    violations.require(config.schedulers >= 1, "schedulers", || {
        "0 excludes this scheduler; must be at least 1".into()
    });
    process::check_event_log(&config.records, &mut violations);
    violations.into_vec()
}

fn check_slow_start(slow_start: &SlowStartConfig, violations: &mut Violations) {
    let SlowStartConfig { from, fall_multiple, .. } = *slow_start;
    violations.require(from > 0.0 && from <= 1.0, "cold.from", || {
        format!("{from} is out of range; must be over 0 and at most 1")
    });
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
        violations
            .require(duration > HumanDuration(0), key, || "is 0; write a duration such as \"250ms\"".into());
    }
}

fn check_attempts(attempts: &AttemptConfig, violations: &mut Violations) {
    violations.require(attempts.most >= 1, "attempts.most", || {
        "0 attempts serve no request; must be at least 1".into()
    });
}
