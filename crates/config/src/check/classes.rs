//! Checks that the request classes of the configuration have valid and consistent values.
use std::collections::BTreeSet;

use super::violations::Violations;
use crate::types::{Class, Config, EndpointSourceConfig, EndpointSourceKind, RepeatPolicy};
use crate::units::HumanDuration;

const MAX_DEADLINE: HumanDuration = HumanDuration(86_400_000_000);
/// First segments of the HTTP paths that the scheduler itself uses, such as `/-/ready`. No class may have
/// such a name, because the first path segment of a request names the request's class.
const RESERVED_NAMES: [&str; 2] = ["-", "_jobs"];

pub(super) fn check_classes(config: &Config, violations: &mut Violations) {
    violations.require(!config.classes.is_empty(), "classes", || "is empty; requests need a class".into());
    let mut names = BTreeSet::new();
    for (index, class) in config.classes.iter().enumerate() {
        let key = |name: &str| format!("classes[{index}].{name}");
        check_name(class, &key("name"), violations);
        violations
            .require(names.insert(&class.name), &key("name"), || format!("{:?} occurs twice", class.name));
        check_times(class, key, violations);
        for (name, value) in [("stretch", class.stretch), ("worth", class.worth)] {
            violations.require(value.is_finite() && value >= 0.0, &key(name), || {
                format!("{value} is not 0 or more")
            });
        }
        check_key_window(class, &key("key_window"), violations);
        check_worker_kind(class, &config.source, &key("worker_kind"), violations);
    }
}

fn check_name(class: &Class, key: &str, violations: &mut Violations) {
    let is_unreserved = |c: char| c.is_ascii_alphanumeric() || "-_.~".contains(c);
    let is_path_segment = !class.name.is_empty() && class.name.chars().all(is_unreserved);
    violations.require(is_path_segment, key, || {
        format!("{:?} is not a path segment; use letters, digits and -_.~", class.name)
    });
    violations.require(!RESERVED_NAMES.contains(&class.name.as_str()), key, || {
        format!("{:?} is reserved for the program's own paths", class.name)
    });
}

fn check_times(class: &Class, key: impl Fn(&str) -> String, violations: &mut Violations) {
    let Class { aim, deadline, .. } = *class;
    violations.require(deadline > HumanDuration(0) && deadline <= MAX_DEADLINE, &key("deadline"), || {
        format!("{deadline} is out of range; must be over 0 and at most a day")
    });
    violations
        .require(aim <= deadline, &key("aim"), || format!("{aim} is longer than the deadline of {deadline}"));
}

fn check_key_window(class: &Class, key: &str, violations: &mut Violations) {
    let is_keyed = class.repeat == RepeatPolicy::Keyed;
    let has_window = class.key_window.is_some_and(|window| window > HumanDuration(0));
    violations.require(!is_keyed || has_window, key, || {
        "is missing or 0; a keyed class needs the span for which repeats are dropped".into()
    });
    violations.require(is_keyed || class.key_window.is_none(), key, || {
        "has no effect unless repeat is \"keyed\"".into()
    });
}

/// Checks that at least one worker of the static list has the worker kind that the class requires. With
/// discovery, nothing is checked, because the worker kinds are not known in advance.
fn check_worker_kind(class: &Class, source: &EndpointSourceConfig, key: &str, violations: &mut Violations) {
    if source.kind != EndpointSourceKind::Static {
        return;
    }
    let Some(kind) = &class.worker_kind else { return };
    let is_known = source.workers.iter().any(|worker| worker.kind == *kind);
    violations.require(is_known, key, || format!("no worker has the kind {kind:?}"));
}
