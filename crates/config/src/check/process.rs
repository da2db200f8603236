//! Checks the configured resource limits of the process and the settings of the event log.
use std::ops::RangeInclusive;

use super::context::CheckContext;
use super::violations::Violations;
use crate::types::{EventLogConfig, ResourceLimits};
use crate::units::HumanSize;

const MIN_MEMORY: HumanSize = HumanSize(16_000_000);
const MIN_DESCRIPTORS: u32 = 64;
const MIN_ROTATION_SIZE: HumanSize = HumanSize(65_536);
const QUEUE_LENGTHS: RangeInclusive<u32> = 16..=1_000_000;

pub(super) fn check_limits(limits: &ResourceLimits, context: &CheckContext, violations: &mut Violations) {
    let ResourceLimits { memory, descriptors } = *limits;
    violations.require(memory >= MIN_MEMORY, "limits.memory", || {
        format!("{memory} is too small; must be at least {MIN_MEMORY}")
    });
    violations.require(descriptors >= MIN_DESCRIPTORS, "limits.descriptors", || {
        format!("{descriptors} is too small; must be at least {MIN_DESCRIPTORS}")
    });
    // The configured number of descriptors is checked against the process's own limit. A configured number
    // above that limit would otherwise show only at full load, when connections cannot be accepted.
    if let Some(limit) = context.descriptor_limit {
        violations.require(u64::from(descriptors) <= limit, "limits.descriptors", || {
            format!(
                "{descriptors} is more than the {limit} that this process may open; lower it or raise \
                 `ulimit -n`"
            )
        });
    }
}

pub(super) fn check_event_log(event_log: &EventLogConfig, violations: &mut Violations) {
    let EventLogConfig { rotate_at, keep, queue, .. } = *event_log;
    violations.require(rotate_at >= MIN_ROTATION_SIZE, "records.rotate_at", || {
        format!("{rotate_at} is too small; must be at least {MIN_ROTATION_SIZE}")
    });
    violations.require(keep >= 1, "records.keep", || {
        "0 would lose a file at each rotation; must be at least 1".into()
    });
    violations.require(QUEUE_LENGTHS.contains(&queue), "records.queue", || {
        format!("{queue} is not between {} and {}", QUEUE_LENGTHS.start(), QUEUE_LENGTHS.end())
    });
}
