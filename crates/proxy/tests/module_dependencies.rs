//! Checks that the proxy's modules have no dependency cycle, and that the dispatcher depends on no runtime or
//! clock.
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// Returns, for each module of this crate, the other modules that its source names by `crate::`.
fn graph(root: &Path) -> BTreeMap<String, BTreeSet<String>> {
    fn walk(folder: &Path, prefix: &str, found: &mut BTreeMap<String, String>) {
        for entry in std::fs::read_dir(folder).expect("directory can be read").flatten() {
            let (path, name) = (entry.path(), entry.file_name().into_string().expect("file name is UTF-8"));
            if path.is_dir() {
                walk(&path, &format!("{prefix}{name}::"), found);
            } else if let Some(module) = name.strip_suffix(".rs").filter(|&module| module != "lib") {
                let path_name = if module == "mod" {
                    prefix.trim_end_matches("::").to_owned()
                } else {
                    format!("{prefix}{module}")
                };
                found.insert(path_name, std::fs::read_to_string(path).expect("source file can be read"));
            }
        }
    }
    let mut sources = BTreeMap::new();
    walk(root, "", &mut sources);
    let uses = |module: &str, source: &str| -> BTreeSet<String> {
        let paths = source.split("crate::").skip(1).map(|rest| {
            let end = rest.find(|c: char| !(c.is_alphanumeric() || c == '_' || c == ':'));
            rest[..end.unwrap_or(rest.len())].to_owned()
        });
        // The longest module path that is a prefix of the path; this also maps `crate::invariant!` to its
        // module.
        let module_of = |path: String| {
            let matching =
                sources.keys().filter(|known| path == **known || path.starts_with(&format!("{known}::")));
            matching.max_by_key(|known| known.len()).cloned()
        };
        paths.filter_map(module_of).filter(|used| used != module).collect()
    };
    sources.iter().map(|(module, source)| (module.clone(), uses(module, source))).collect()
}

/// Returns the modules in dependency cycles, and those that depend on them.
///
/// These are left after repeatedly removing each module that uses no remaining module.
fn modules_blocked_by_cycles(mut graph: BTreeMap<String, BTreeSet<String>>) -> BTreeSet<String> {
    loop {
        let leaves: Vec<_> =
            graph.iter().filter(|(_, uses)| uses.is_empty()).map(|(module, _)| module.clone()).collect();
        if leaves.is_empty() {
            return graph.into_keys().collect();
        }
        for module in leaves {
            graph.remove(&module);
            graph.values_mut().for_each(|uses| {
                uses.remove(&module);
            });
        }
    }
}

#[test]
fn proxy_modules_have_no_dependency_cycle() {
    let graph = graph(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    assert!(
        graph["context"].contains("upstream") && graph["downstream::http"].contains("request_task"),
        "{graph:?}"
    );
    let protocols = ["downstream::http", "upstream::http", "discovery::platform"];
    assert!(
        graph["request_task"].iter().all(|used| !protocols.iter().any(|protocol| used.starts_with(protocol))),
        "the request task depends on no protocol"
    );
    assert_eq!(modules_blocked_by_cycles(graph), BTreeSet::new());
}

#[test]
fn a_dependency_cycle_between_modules_is_found() {
    let uses = |used: &[&str]| used.iter().map(|&name| name.to_owned()).collect();
    let graph = [("a", uses(&["b"])), ("b", uses(&["c"])), ("c", uses(&["b"])), ("d", uses(&[]))];
    let found = modules_blocked_by_cycles(
        graph.into_iter().map(|(module, uses)| (module.to_owned(), uses)).collect(),
    );
    assert_eq!(found.into_iter().collect::<Vec<_>>(), ["a", "b", "c"]);
}

/// Returns the contents of all files below a directory.
fn sources(folder: &Path) -> Vec<String> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("directory can be read").flatten() {
        let path = entry.path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else {
            found.push(std::fs::read_to_string(path).expect("source file can be read"));
        }
    }
    found
}

#[test]
fn the_dispatch_policy_depends_on_no_runtime_and_no_clock() {
    let dispatcher = Path::new(env!("CARGO_MANIFEST_DIR")).join("../dispatcher");
    let manifest =
        std::fs::read_to_string(dispatcher.join("Cargo.toml")).expect("dispatcher manifest can be read");
    let (_, dependencies) =
        manifest.split_once("[dependencies]").expect("manifest has a [dependencies] section");
    let dependencies = dependencies.split("\n[").next().unwrap_or_default();
    let names: Vec<_> =
        dependencies.split_whitespace().filter_map(|word| word.strip_suffix(".workspace")).collect();
    assert_eq!(names, ["arrayvec", "fastrand", "rustc-hash"]);
    let sources = sources(&dispatcher.join("src"));
    assert!(sources.len() >= 3, "dispatcher sources not found");
    for source in sources {
        for word in ["std::time", "std::net", "std::fs", "std::io", "std::thread"] {
            assert!(!source.contains(word), "a dispatcher source contains {word}");
        }
    }
}
