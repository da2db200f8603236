//! Replacement of former log target names, so that level settings written for them still apply.

/// Former targets with their replacements. A target comes before any shorter one that is its prefix.
///
/// A target applies to all targets that begin with it. `copperspread` alone therefore applies to every crate
/// and needs no entry. `copperspread_settings` and `copperspread_config` have kept their names.
const RENAMED_TARGETS: &[(&str, &str)] = &[
    ("copperspread_node::front", "copperspread_proxy::downstream"),
    ("copperspread_node::back", "copperspread_proxy::upstream"),
    ("copperspread_node::source", "copperspread_proxy::discovery"),
    ("copperspread_node::flow", "copperspread_proxy::request_task"),
    ("copperspread_node::decisions", "copperspread_proxy::policy_handle"),
    ("copperspread_node", "copperspread_proxy"),
    ("copperspread_decisions", "copperspread_dispatcher"),
    // The replacement ends in colons because `copperspread_membership` alone would also apply to the
    // transport, which the former name did not. Nothing is logged in the root module of the crate, so no
    // target is missed.
    ("copperspread_cluster", "copperspread_membership::"),
    ("copperspread_peers", "copperspread_membership_transport"),
    ("copperspread_records", "copperspread_event_log"),
    ("copperspread::", "copperspread_scheduler::"),
];

/// Replaces former targets in a list of levels such as `info,copperspread_node=debug`.
pub(crate) fn with_current_targets(levels: &str) -> String {
    levels.split(',').map(with_current_target).collect::<Vec<_>>().join(",")
}

fn with_current_target(directive: &str) -> String {
    let target = directive.trim_start();
    for (old, new) in RENAMED_TARGETS {
        if let Some(rest) = target.strip_prefix(old)
            && is_whole_name(old, rest)
        {
            return join_target(new, rest);
        }
    }
    directive.to_owned()
}

/// Returns whether `name` is a whole target name rather than the prefix of a longer one, given the text
/// `rest` that follows `name`.
fn is_whole_name(name: &str, rest: &str) -> bool {
    name.ends_with(':') || rest.starts_with(['=', ':', '[']) || rest.trim_start().is_empty()
}

/// Joins a target and the text that follows it without repeating the `::` between them.
fn join_target(target: &str, rest: &str) -> String {
    let rest = if target.ends_with("::") { rest.strip_prefix("::").unwrap_or(rest) } else { rest };
    format!("{target}{rest}")
}
