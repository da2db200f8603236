//! The log targets of parts that have been renamed, so that levels written for the old names keep their effect.

/// Old targets and those that replace them, the longer before those that they begin with.
///
/// The old `copperspread` alone is not here: a target covers all targets that begin with it, so that this one
/// covers every crate, before the renames as after. `copperspread_settings` and `copperspread_config` kept
/// their names.
const RENAMED_TARGETS: &[(&str, &str)] = &[
    ("copperspread_node::front", "copperspread_proxy::downstream"),
    ("copperspread_node::back", "copperspread_proxy::upstream"),
    ("copperspread_node::source", "copperspread_proxy::discovery"),
    ("copperspread_node::flow", "copperspread_proxy::request_task"),
    ("copperspread_node::decisions", "copperspread_proxy::policy_handle"),
    ("copperspread_node", "copperspread_proxy"),
    ("copperspread_decisions", "copperspread_dispatcher"),
    // With the colons, as `copperspread_membership` alone would cover the transport too, which the old name
    // did not. The crate logs nothing at its root.
    ("copperspread_cluster", "copperspread_membership::"),
    ("copperspread_peers", "copperspread_membership_transport"),
    ("copperspread_records", "copperspread_event_log"),
    ("copperspread::", "copperspread_scheduler::"),
];

/// Replaces the old targets in a list of levels such as `info,copperspread_node=debug`.
pub(crate) fn with_current_targets(levels: &str) -> String {
    levels.split(',').map(with_current_target).collect::<Vec<_>>().join(",")
}

fn with_current_target(directive: &str) -> String {
    let target = directive.trim_start();
    for (old, new) in RENAMED_TARGETS {
        if let Some(rest) = target.strip_prefix(old)
            && ends_a_name(old, rest)
        {
            return join_target(new, rest);
        }
    }
    directive.to_owned()
}

/// Whether a name that is followed by `rest` ends there, and is not the beginning of a longer one.
fn ends_a_name(name: &str, rest: &str) -> bool {
    name.ends_with(':') || rest.starts_with(['=', ':', '[']) || rest.trim_start().is_empty()
}

/// Joins a target and what follows it, with the colons between them once.
fn join_target(target: &str, rest: &str) -> String {
    let rest = if target.ends_with("::") { rest.strip_prefix("::").unwrap_or(rest) } else { rest };
    format!("{target}{rest}")
}
