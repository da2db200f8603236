//! Replacement of former log target names by the current ones.
//!
//! Log targets are module paths and change when a crate or a module is renamed. The replacement keeps log
//! level settings in force that still use a former name.

/// Pairs of a former target and its replacement. The first match is used, so a target is listed before any
/// other target that is a prefix of it.
///
/// A level that is set for a target applies to all targets that begin with that name. The target
/// `copperspread` has no entry here, because it applies to every crate. The targets `copperspread_settings`
/// and `copperspread_config` have no entry, because these crates were not renamed.
const RENAMED_TARGETS: &[(&str, &str)] = &[
    ("copperspread_node::front", "copperspread_proxy::downstream"),
    ("copperspread_node::back", "copperspread_proxy::upstream"),
    ("copperspread_node::source", "copperspread_proxy::discovery"),
    ("copperspread_node::flow", "copperspread_proxy::request_task"),
    ("copperspread_node::decisions", "copperspread_proxy::policy_handle"),
    ("copperspread_node", "copperspread_proxy"),
    ("copperspread_decisions", "copperspread_dispatcher"),
    // The replacement ends in colons because `copperspread_membership` without colons would also apply to the
    // crate `copperspread_membership_transport`; the former name `copperspread_cluster` did not apply to the
    // transport. The colons exclude only the root module of the membership crate, which logs nothing.
    ("copperspread_cluster", "copperspread_membership::"),
    ("copperspread_peers", "copperspread_membership_transport"),
    ("copperspread_records", "copperspread_event_log"),
    ("copperspread::", "copperspread_scheduler::"),
];

/// Replaces former targets in a list of log levels such as `info,copperspread_node=debug`.
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

/// Returns whether `name`, which is followed by the text `rest`, ends where a segment of the target's path
/// ends. If not, `name` is only part of a longer name, such as `node` in `nodes`, and must not be replaced.
fn is_whole_name(name: &str, rest: &str) -> bool {
    name.ends_with(':') || rest.starts_with(['=', ':', '[']) || rest.trim_start().is_empty()
}

/// Appends `rest`, the text that followed a replaced target, to the new target. If `target` ends with `::`
/// and `rest` begins with `::`, the result contains only one of the two.
fn join_target(target: &str, rest: &str) -> String {
    let rest = if target.ends_with("::") { rest.strip_prefix("::").unwrap_or(rest) } else { rest };
    format!("{target}{rest}")
}
