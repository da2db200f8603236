//! Replaces former names of log targets by the current names.
//!
//! A log target is a module path, which changes when a crate or a module is renamed. Because of the
//! replacement, settings of log levels that still use a former name keep their effect.

/// Pairs of the former name of a log target and its current name. The first pair that matches is used. A
/// longer name must therefore come before a name with which it begins.
///
/// A level that is set for a target applies to all targets that begin with that name. The target
/// `copperspread` therefore applies to every crate, under its former or current name, and needs no pair here.
/// The targets `copperspread_settings` and `copperspread_config` have no pair, because these crates were not
/// renamed.
const RENAMED_TARGETS: &[(&str, &str)] = &[
    ("copperspread_node::front", "copperspread_proxy::downstream"),
    ("copperspread_node::back", "copperspread_proxy::upstream"),
    ("copperspread_node::source", "copperspread_proxy::discovery"),
    ("copperspread_node::flow", "copperspread_proxy::request_task"),
    ("copperspread_node::decisions", "copperspread_proxy::policy_handle"),
    ("copperspread_node", "copperspread_proxy"),
    ("copperspread_decisions", "copperspread_dispatcher"),
    // The former log target `copperspread_cluster` becomes `copperspread_membership::`, which ends in colons.
    // Without the colons, a level for this target would also apply to `copperspread_membership_transport`.
    // The former target did not apply to that crate. With the colons, the level does not apply to the root
    // module of `copperspread_membership`, but that module logs nothing.
    ("copperspread_cluster", "copperspread_membership::"),
    ("copperspread_peers", "copperspread_membership_transport"),
    ("copperspread_records", "copperspread_event_log"),
    ("copperspread::", "copperspread_scheduler::"),
];

/// Replaces each former name of a log target by its current name in a list of log levels. For example,
/// `info,copperspread_node=debug` becomes `info,copperspread_proxy=debug`.
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

/// Whether `name` is a whole log target or whole leading parts of the target's path, and not only the
/// beginning of a longer word, such as `node` in `nodes`.
///
/// `name` is the former name of a log target that has been renamed, at the start of an entry in a list of log
/// levels. `rest` is the text that follows `name` in the entry. Only whole parts may be replaced by the
/// target's current name.
fn is_whole_name(name: &str, rest: &str) -> bool {
    name.ends_with(':') || rest.starts_with(['=', ':', '[']) || rest.trim_start().is_empty()
}

/// Joins `target` and `rest` to an entry of a list of log levels. `target` is the current name of a renamed
/// log target. `rest` is the text that followed the target's former name in the entry, such as `=debug`. If
/// `target` ends with `::` and `rest` begins with `::`, the result contains `::` only once.
fn join_target(target: &str, rest: &str) -> String {
    let rest = if target.ends_with("::") { rest.strip_prefix("::").unwrap_or(rest) } else { rest };
    format!("{target}{rest}")
}
