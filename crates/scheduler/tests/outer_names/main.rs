//! Checks that the outer names, those that other programs, files and people read, are the ones listed in
//! `docs/reference/outer-names.txt`. Guards against a rename in the code that changes a name on the wire, in
//! stored data, in the configuration or in the log. The names are collected from the source and from the
//! output of the program. After an intended change, run this test with `WRITE_OUTER_NAMES=1` to write the
//! list again.
#![cfg(feature = "standalone")]

mod collect;
mod macros;
mod program;
mod serde_types;
mod tokens;

use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

/// The environment variable that, if set, writes the list before it is compared.
const WRITE_VARIABLE: &str = "WRITE_OUTER_NAMES";

const HEADER: &str = "\
# Names that are read outside the process: kind, name and defining crate, separated by tabs.
# Written and checked by crates/scheduler/tests/outer_names; the test fails if a line is missing or added.
";

/// A name that is read outside the process, with its kind and the crate that defines it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OuterName {
    kind: &'static str,
    name: String,
    crate_name: String,
}

impl OuterName {
    fn new(kind: &'static str, name: impl Into<String>, crate_name: impl Into<String>) -> OuterName {
        OuterName { kind, name: name.into(), crate_name: crate_name.into() }
    }
}

fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the content of the list file: the header and one line for each name.
fn list_content(names: &BTreeSet<OuterName>) -> String {
    let mut text = HEADER.to_owned();
    for OuterName { kind, name, crate_name } in names {
        writeln!(text, "{kind}\t{}\t{crate_name}", name.escape_debug())
            .expect("writing to a string succeeds");
    }
    text
}

/// Returns the lines of one text that another text lacks.
fn missing_lines<'a>(from: &'a str, in_other: &str) -> Vec<&'a str> {
    let other: BTreeSet<&str> = in_other.lines().collect();
    from.lines().filter(|line| !other.contains(line)).collect()
}

#[test]
fn collected_outer_names_equal_the_listed_ones() {
    let mut names = collect::from_source(&workspace_root());
    names.extend(program::from_schema());
    names.extend(program::from_help());
    let collected = list_content(&names);
    let path = workspace_root().join("docs/reference/outer-names.txt");
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        fs::write(&path, &collected).expect("the list file is writable");
    }
    let listed = fs::read_to_string(&path).expect("the list file is readable UTF-8");
    let missing = missing_lines(&listed, &collected);
    let added = missing_lines(&collected, &listed);
    assert!(missing.is_empty(), "listed, but not collected from the source or the program: {missing:#?}");
    assert!(added.is_empty(), "collected from the source or the program, but not listed: {added:#?}");
}
