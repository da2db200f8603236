//! The names that leave the process, collected from the source and the program, are those that
//! `docs/reference/outer-names.txt` lists: a rename of code must not change what other programs, files and people
//! read. To write the list anew after a name was added on purpose, run this test with `WRITE_OUTER_NAMES=1`.
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

/// Set to write the list instead of comparing it.
const WRITE_VARIABLE: &str = "WRITE_OUTER_NAMES";

const HEADER: &str = "\
# Names that leave the process: kind, name and the crate that has it, separated by tabs.
# Written and checked by crates/scheduler/tests/outer_names; a line that goes missing fails the test.
";

/// One name as another program, file or person reads it.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct OuterName {
    kind: &'static str,
    name: String,
    place: String,
}

impl OuterName {
    fn new(kind: &'static str, name: impl Into<String>, place: impl Into<String>) -> OuterName {
        OuterName { kind, name: name.into(), place: place.into() }
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The list as a file: a line for each name.
fn as_text(names: &BTreeSet<OuterName>) -> String {
    let mut text = HEADER.to_owned();
    for OuterName { kind, name, place } in names {
        writeln!(text, "{kind}\t{}\t{place}", name.escape_debug()).expect("written to a string");
    }
    text
}

/// The lines of one text that another does not have.
fn missing_lines<'a>(from: &'a str, in_other: &str) -> Vec<&'a str> {
    let other: BTreeSet<&str> = in_other.lines().collect();
    from.lines().filter(|line| !other.contains(line)).collect()
}

#[test]
fn each_listed_name_still_leaves_the_process_and_each_that_does_is_listed() {
    let mut names = collect::from_source(&root());
    names.extend(program::from_schema());
    names.extend(program::from_help());
    let collected = as_text(&names);
    let path = root().join("docs/reference/outer-names.txt");
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        fs::write(&path, &collected).expect("the list is written");
    }
    let listed = fs::read_to_string(&path).expect("the list is UTF-8");
    let missing = missing_lines(&listed, &collected);
    let added = missing_lines(&collected, &listed);
    assert!(missing.is_empty(), "listed, but no longer in the program: {missing:#?}");
    assert!(added.is_empty(), "in the program, but not listed: {added:#?}");
}
