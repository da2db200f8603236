//! The modules of the dispatch policy use one another in one direction, and only one of them is the dispatcher.
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;
use std::path::PathBuf;

type Graph = BTreeMap<String, BTreeSet<String>>;

fn policy_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src/policy")
}

/// The policy's sources by module, without the file that only lists the modules.
fn policy_sources() -> BTreeMap<String, String> {
    let mut sources = BTreeMap::new();
    for entry in std::fs::read_dir(policy_folder()).expect("a folder").flatten() {
        let path = entry.path();
        let module = path.file_stem().and_then(|stem| stem.to_str()).expect("UTF-8").to_owned();
        if module != "mod" {
            sources.insert(module, std::fs::read_to_string(path).expect("a source"));
        }
    }
    sources
}

/// The modules that a source names after `super::` or `crate::policy::`.
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

/// The modules that are left when those that use nothing left are taken away again and again.
fn modules_in_circles(mut graph: Graph) -> BTreeSet<String> {
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
fn the_modules_of_the_policy_use_one_another_in_one_direction() {
    let graph = graph(&policy_sources());
    assert!(graph["dispatcher"].contains("slow_start") && graph["selection"].contains("estimates"));
    for (module, uses) in &graph {
        let unknown: Vec<_> = uses.iter().filter(|used| !graph.contains_key(*used)).collect();
        assert!(unknown.is_empty(), "{module} names {unknown:?}, which this test cannot follow");
        assert!(!uses.contains("dispatcher"), "{module} knows the dispatcher");
    }
    assert_eq!(modules_in_circles(graph), BTreeSet::new());
}

#[test]
fn the_dispatcher_is_changed_in_its_own_file_alone() {
    for (module, source) in policy_sources() {
        let is_dispatcher = module == "dispatcher";
        assert_eq!(source.contains("impl Dispatcher"), is_dispatcher, "{module}");
    }
}

#[test]
fn the_parts_that_own_state_show_none_of_it() {
    let owners = [
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
    let of_one_worker = [
        ("affinity", "Affinity"),
        ("load_reports", "ReportedLoad"),
        ("outlier_detection", "FailureRates"),
        ("service_time", "WorkerRate"),
        ("slow_start", "WorkerSlowStart"),
    ];
    let sources = policy_sources();
    for (module, owner) in of_one_worker {
        let (_, body) = sources[module].split_once(&format!("pub(super) struct {owner}")).expect("the owner");
        let (fields, _) = body.split_once("\n\n").expect("the end of its fields");
        assert!(!fields.contains("pub"), "{owner}: {fields}");
        assert!(sources["worker"].contains(&format!(": {owner},")), "{owner} is held by the worker");
    }
    for (module, owner) in owners {
        let source = &sources[module];
        let (_, body) = source.split_once(&format!("pub(super) struct {owner} {{")).expect("the owner");
        let (fields, _) = body.split_once("\n}").expect("the end of its fields");
        assert!(!fields.contains("pub"), "{owner}: {fields}");
        assert!(sources["dispatcher"].contains(&format!(": {owner},")), "{owner} is held by the dispatcher");
    }
}

#[test]
fn a_circle_between_modules_is_found() {
    let uses = |used: &[&str]| used.iter().map(|&name| name.to_owned()).collect();
    let modules = [("a", uses(&["b"])), ("b", uses(&["c"])), ("c", uses(&["b"])), ("d", uses(&[]))];
    let graph = modules.into_iter().map(|(module, uses)| (module.to_owned(), uses)).collect();
    assert_eq!(modules_in_circles(graph).into_iter().collect::<Vec<_>>(), ["a", "b", "c"]);
}

#[test]
fn a_module_that_is_named_in_code_or_imports_is_found() {
    let source = "use super::figures::GROUP_GAIN;\nlet x = crate::policy::worker::X + super::affinity::Y;";
    assert_eq!(used_modules(source).into_iter().collect::<Vec<_>>(), ["affinity", "figures", "worker"]);
}
