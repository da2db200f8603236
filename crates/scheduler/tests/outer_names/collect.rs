//! Names that stand in the source: of serde types, in literals, counters and log lines.
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use crate::OuterName;
use crate::macros;
use crate::serde_types;
use crate::tokens::{Token, tokens};

/// The page by which operators read log lines and their reasons.
const OPERATING_GUIDE: &str = "docs/operating.md";
/// The page by which operators read the log lines of membership.
const MEMBERSHIP_GUIDE: &str = "docs/cluster.md";

/// All names in the crates' source.
pub(crate) fn from_source(root: &Path) -> BTreeSet<OuterName> {
    let matched = texts_that_are_matched(root);
    let (guide, reasons) = (operating_guides(root), read(&root.join(OPERATING_GUIDE)));
    let mut names = BTreeSet::new();
    for (place, file) in source_files(root) {
        let tokens = tokens(&read(&file));
        let add = |kind, name: String| OuterName::new(kind, name, place.as_str());
        names.extend(serde_types::names(&tokens).into_iter().map(|(kind, name)| add(kind, name)));
        names.extend(macros::counters(&tokens).into_iter().map(|name| add("counter", name)));
        let (words, sentences) = literals(&tokens).into_iter().partition::<Vec<_>, _>(|text| is_name(text));
        names.extend(words.into_iter().map(|name| add("literal", name)));
        let in_guide = sentences.into_iter().filter(|text| is_in_guide(text, &guide));
        let errors =
            error_texts(&tokens).into_iter().filter(|text| error_is_in_guide(text, &guide, &reasons));
        names.extend(in_guide.chain(errors).map(|text| add("text in the operating guide", text)));
        for (message, fields) in macros::log_lines(&tokens) {
            names.extend(message.filter(|text| matched.contains(text)).map(|text| add("log message", text)));
            names.extend(fields.into_iter().map(|field| add("log field", field)));
        }
    }
    names
}

fn operating_guides(root: &Path) -> String {
    read(&root.join(OPERATING_GUIDE)) + &read(&root.join(MEMBERSHIP_GUIDE))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Each Rust file below the crates' `src`, with the name of its crate.
fn source_files(root: &Path) -> Vec<(String, PathBuf)> {
    let crates = children(&root.join("crates")).into_iter();
    let of_crate = |folder: PathBuf| {
        let name = folder.file_name().expect("a crate has a name").to_string_lossy().into_owned();
        rust_files(&folder.join("src")).into_iter().map(move |file| (name.clone(), file))
    };
    crates.flat_map(of_crate).collect()
}

fn children(folder: &Path) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(folder) else { return Vec::new() };
    entries.map(|entry| entry.expect("the folder is readable").path()).collect()
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let (folders, files): (Vec<_>, Vec<_>) = children(folder).into_iter().partition(|path| path.is_dir());
    let files = files.into_iter().filter(|path| path.extension().is_some_and(|extension| extension == "rs"));
    files.chain(folders.iter().flat_map(|folder| rust_files(folder))).collect()
}

/// What tests and the operating guide look for in the log, as one text.
fn texts_that_are_matched(root: &Path) -> String {
    let tests =
        children(&root.join("crates")).into_iter().flat_map(|folder| rust_files(&folder.join("tests")));
    let texts: String = tests.map(|path| read(&path)).collect();
    texts + &operating_guides(root)
}

/// Whether the operating guide has a sentence.
fn is_in_guide(text: &str, guide: &str) -> bool {
    text.contains(' ') && !text.contains('{') && guide.contains(text)
}

/// Whether the guides have an error's text, or the operating guide quotes its first words as a reason.
fn error_is_in_guide(text: &str, guide: &str, reasons: &str) -> bool {
    let constant = text.split('{').next().unwrap_or_default().trim();
    let is_words = constant.starts_with(|first: char| first.is_ascii_lowercase());
    is_in_guide(text, guide) || (is_words && reasons.contains(&format!("`{constant}`")))
}

/// The texts of error types, as `#[error("...")]` gives them.
fn error_texts(tokens: &[Token]) -> Vec<String> {
    let calls = tokens.windows(3).filter_map(|window| match window {
        [word, open, Token::Text(text)] if word.is_word("error") && open.is('(') => Some(text.clone()),
        _ => None,
    });
    calls.collect()
}

/// The string literals outside of attributes that are more than punctuation.
fn literals(tokens: &[Token]) -> Vec<String> {
    let mut literals = Vec::new();
    let mut position = 0;
    while position < tokens.len() {
        if tokens[position].is('#') {
            position = end_of_attribute(tokens, position);
        } else if let Token::Text(text) = &tokens[position]
            && text.chars().any(|character| character.is_ascii_alphabetic())
            && !is_panic_message(tokens, position)
        {
            literals.push(text.clone());
        }
        position += 1;
    }
    literals
}

/// The last token of an attribute that begins here; this one where none does.
fn end_of_attribute(tokens: &[Token], position: usize) -> usize {
    let open = position + 1 + usize::from(tokens.get(position + 1).is_some_and(|token| token.is('!')));
    match tokens.get(open) {
        Some(token) if token.is('[') => serde_types::closing(tokens, open),
        _ => position,
    }
}

/// Whether a literal could be a key, a path, a header or a value: it is one word, or part of an HTTP head.
fn is_name(text: &str) -> bool {
    let is_word = |character: char| character.is_ascii_alphanumeric() || "_-./:?=&".contains(character);
    text.contains("\r\n") || text.chars().all(is_word)
}

fn is_panic_message(tokens: &[Token], position: usize) -> bool {
    let is_call = position >= 2 && tokens[position - 1].is('(');
    is_call && (tokens[position - 2].is_word("expect") || tokens[position - 2].is_word("expect_err"))
}
