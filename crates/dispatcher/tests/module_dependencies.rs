//! Checks of the dispatch policy's source: its modules have no dependency cycles, only one implements the
//! dispatcher, and types that own state keep it private.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

type Graph = BTreeMap<String, BTreeSet<String>>;

fn policy_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy")
}

/// The source of each policy module by its name, except `mod.rs`, which only declares the modules.
fn policy_sources() -> BTreeMap<String, String> {
    let mut sources = BTreeMap::new();
    for entry in std::fs::read_dir(policy_directory()).expect("the policy directory is readable").flatten() {
        let path = entry.path();
        let module =
            path.file_stem().and_then(|stem| stem.to_str()).expect("the file name is UTF-8").to_owned();
        if module != "mod" {
            sources.insert(module, std::fs::read_to_string(path).expect("the source file is readable"));
        }
    }
    sources
}

/// The modules that a source file refers to with `super::` or `crate::policy::`.
fn used_modules(source: &str) -> BTreeSet<String> {
    let paths = source.split("super::").skip(1).chain(source.split("crate::policy::").skip(1));
    let first_name = |path: &str| {
        let end = path.find(|c: char| !(c.is_alphanumeric() || c == '_'));
        path[..end.unwrap_or(path.len())].to_owned()
    };
    paths.map(first_name).collect()
}

fn graph(sources: &BTreeMap<String, String>) -> Graph {
    sources.iter().map(|(module, source)| (module.clone(), used_modules(source))).collect()
}

/// The modules that are in a dependency cycle or depend on one: what is left after modules without remaining
/// dependencies are removed repeatedly.
fn modules_in_cycles(mut graph: Graph) -> BTreeSet<String> {
    loop {
        let is_leaf = |uses: &BTreeSet<String>| uses.iter().all(|used| !graph.contains_key(used));
        let leaves: Vec<_> =
            graph.iter().filter(|(_, uses)| is_leaf(uses)).map(|(module, _)| module.clone()).collect();
        if leaves.is_empty() {
            return graph.into_keys().collect();
        }
        for module in leaves {
            graph.remove(&module);
        }
    }
}

#[test]
fn the_policy_modules_have_no_dependency_cycle() {
    let graph = graph(&policy_sources());
    assert!(graph["dispatcher"].contains("slow_start") && graph["selection"].contains("estimates"));
    for (module, uses) in &graph {
        let unknown: Vec<_> = uses.iter().filter(|used| !graph.contains_key(*used)).collect();
        assert!(unknown.is_empty(), "{module} refers to {unknown:?}, which are not policy modules");
        assert!(!uses.contains("dispatcher"), "{module} depends on the dispatcher");
    }
    assert_eq!(modules_in_cycles(graph), BTreeSet::new());
}

#[test]
fn only_the_dispatcher_module_implements_the_dispatcher() {
    for (module, source) in policy_sources() {
        let is_dispatcher = module == "dispatcher";
        assert_eq!(source.contains("impl Dispatcher"), is_dispatcher, "{module}");
    }
}

#[test]
fn types_that_own_state_have_no_public_fields() {
    let dispatcher_fields = [
        ("admission", "AdmissionController"),
        ("affinity", "AffinityRules"),
        ("endpoint_subscription", "EndpointSubscription"),
        ("hedging", "HedgeBudget"),
        ("late_retries", "LateRetries"),
        ("listed_load", "ListedLoads"),
        ("load_queries", "LoadQueries"),
        ("load_reports", "LoadReports"),
        ("offered_load", "OfferedLoad"),
        ("outlier_detection", "OutlierDetector"),
        ("service_time", "ServiceTimeEstimator"),
        ("slow_start", "SlowStartBudgets"),
        ("worker", "WorkerTable"),
    ];
    let worker_fields = [
        ("affinity", "Affinity"),
        ("load_reports", "ReportedLoad"),
        ("outlier_detection", "FailureRates"),
        ("service_time", "WorkerRate"),
        ("slow_start", "WorkerSlowStart"),
    ];
    let sources = policy_sources();
    for (module, type_name) in worker_fields {
        let (_, body) = sources[module]
            .split_once(&format!("pub(super) struct {type_name}"))
            .expect("the module defines the type");
        let (fields, _) = body.split_once("\n\n").expect("a blank line follows the type");
        assert!(!fields.contains("pub"), "{type_name}: {fields}");
        assert!(
            sources["worker"].contains(&format!(": {type_name},")),
            "{type_name} is a field of the worker"
        );
    }
    for (module, type_name) in dispatcher_fields {
        let source = &sources[module];
        let (_, body) = source
            .split_once(&format!("pub(super) struct {type_name} {{"))
            .expect("the module defines the type");
        let (fields, _) = body.split_once("\n}").expect("a closing brace ends the fields");
        assert!(!fields.contains("pub"), "{type_name}: {fields}");
        assert!(
            sources["dispatcher"].contains(&format!(": {type_name},")),
            "{type_name} is a field of the dispatcher"
        );
    }
}

#[test]
fn a_dependency_cycle_is_found() {
    let uses = |used: &[&str]| used.iter().map(|&name| name.to_owned()).collect();
    let modules = [("a", uses(&["b"])), ("b", uses(&["c"])), ("c", uses(&["b"])), ("d", uses(&[]))];
    let graph = modules.into_iter().map(|(module, uses)| (module.to_owned(), uses)).collect();
    assert_eq!(modules_in_cycles(graph).into_iter().collect::<Vec<_>>(), ["a", "b", "c"]);
}

#[test]
fn modules_used_in_imports_and_in_code_are_found() {
    let source = "use super::constants::GROUP_GAIN;\nlet x = crate::policy::worker::X + super::affinity::Y;";
    assert_eq!(used_modules(source).into_iter().collect::<Vec<_>>(), ["affinity", "constants", "worker"]);
}
