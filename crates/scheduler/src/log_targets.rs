//! Replaces former names of log targets by the current names.
//!
//! A log target is a module path, which changes when a crate or a module is renamed. Because of the
//! replacement, settings of log levels that still use a former name keep their effect.

/// Pairs of a former log target and its current name. The first pair that matches is used. A longer target
/// must therefore come before a target with which it begins.
///
/// A level that is set for a target applies to all targets that begin with that name. The target
/// `copperspread` has no pair here, because it applies to every crate. The targets `copperspread_settings`
/// and `copperspread_config` have no pair, because these crates were not renamed.
const RENAMED_TARGETS: &[(&str, &str)] = &[
    ("copperspread_node::front", "copperspread_proxy::downstream"),
    ("copperspread_node::back", "copperspread_proxy::upstream"),
    ("copperspread_node::source", "copperspread_proxy::discovery"),
    ("copperspread_node::flow", "copperspread_proxy::request_task"),
    ("copperspread_node::decisions", "copperspread_proxy::policy_handle"),
    ("copperspread_node", "copperspread_proxy"),
    ("copperspread_decisions", "copperspread_dispatcher"),
    // The current name ends in colons here. Without them, the level would also apply to the crate
    // `copperspread_membership_transport`, to which the former name `copperspread_cluster` did not apply.
    // With the colons, the level does not apply to the root module of the membership crate, which logs
    // nothing.
    ("copperspread_cluster", "copperspread_membership::"),
    ("copperspread_peers", "copperspread_membership_transport"),
    ("copperspread_records", "copperspread_event_log"),
    ("copperspread::", "copperspread_scheduler::"),
];

/// Replaces former log targets in a list of log levels such as `info,copperspread_node=debug`.
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

/// Whether `name` ends where a part of a log target's path ends. `rest` is the text that follows `name`. If
/// not, `name` is only the beginning of a longer word, such as `node` in `nodes`, and must not be replaced.
fn is_whole_name(name: &str, rest: &str) -> bool {
    name.ends_with(':') || rest.starts_with(['=', ':', '[']) || rest.trim_start().is_empty()
}

/// Joins a current target name and `rest`, the text that followed the former name. If `target` ends with `::`
/// and `rest` begins with `::`, the result contains only one of the two.
fn join_target(target: &str, rest: &str) -> String {
    let rest = if target.ends_with("::") { rest.strip_prefix("::").unwrap_or(rest) } else { rest };
    format!("{target}{rest}")
}
