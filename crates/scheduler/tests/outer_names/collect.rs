//! Collects outer names from the source: serde names, string literals, counters and log lines.
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use crate::OuterName;
use crate::macros;
use crate::serde_types;
use crate::tokens::{Token, tokens};

/// The page that explains log lines and the reasons in them to operators.
const OPERATING_GUIDE: &str = "docs/operating.md";
/// The page that explains the log lines of membership to operators.
const MEMBERSHIP_GUIDE: &str = "docs/cluster.md";

/// Returns all outer names in the source of the crates.
pub(crate) fn from_source(root: &Path) -> BTreeSet<OuterName> {
    let matched = texts_matched_elsewhere(root);
    let (guide, reasons) = (operating_guides(root), read(&root.join(OPERATING_GUIDE)));
    let mut names = BTreeSet::new();
    for (crate_name, file) in source_files(root) {
        let tokens = tokens(&read(&file));
        let add = |kind, name: String| OuterName::new(kind, name, crate_name.as_str());
        names.extend(serde_types::names(&tokens).into_iter().map(|(kind, name)| add(kind, name)));
        names.extend(macros::counters(&tokens).into_iter().map(|name| add("counter", name)));
        let (words, sentences) = literals(&tokens).into_iter().partition::<Vec<_>, _>(|text| is_name(text));
        names.extend(words.into_iter().map(|name| add("literal", name)));
        let in_guide = sentences.into_iter().filter(|text| sentence_is_in_guide(text, &guide));
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

/// Returns each Rust file below the `src` folder of each crate, with the name of the crate.
fn source_files(root: &Path) -> Vec<(String, PathBuf)> {
    let crates = children(&root.join("crates")).into_iter();
    let of_crate = |folder: PathBuf| {
        let name =
            folder.file_name().expect("the folder of a crate has a name").to_string_lossy().into_owned();
        rust_files(&folder.join("src")).into_iter().map(move |file| (name.clone(), file))
    };
    crates.flat_map(of_crate).collect()
}

fn children(folder: &Path) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(folder) else { return Vec::new() };
    entries.map(|entry| entry.expect("the folder entry is readable").path()).collect()
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let (folders, files): (Vec<_>, Vec<_>) = children(folder).into_iter().partition(|path| path.is_dir());
    let files = files.into_iter().filter(|path| path.extension().is_some_and(|extension| extension == "rs"));
    files.chain(folders.iter().flat_map(|folder| rust_files(folder))).collect()
}

/// Returns the texts of all tests and operating guides as one string. A log message that occurs in it may be
/// matched by a test or looked up by an operator.
fn texts_matched_elsewhere(root: &Path) -> String {
    let tests =
        children(&root.join("crates")).into_iter().flat_map(|folder| rust_files(&folder.join("tests")));
    let texts: String = tests.map(|path| read(&path)).collect();
    texts + &operating_guides(root)
}

/// Returns whether a text is a sentence without placeholders that occurs in the guide.
fn sentence_is_in_guide(text: &str, guide: &str) -> bool {
    text.contains(' ') && !text.contains('{') && guide.contains(text)
}

/// Returns whether the guides contain an error text, or the operating guide quotes the words before its first
/// placeholder as a reason.
fn error_is_in_guide(text: &str, guide: &str, reasons: &str) -> bool {
    let constant = text.split('{').next().unwrap_or_default().trim();
    let is_words = constant.starts_with(|first: char| first.is_ascii_lowercase());
    sentence_is_in_guide(text, guide) || (is_words && reasons.contains(&format!("`{constant}`")))
}

/// Returns the error messages in `#[error("...")]` attributes.
fn error_texts(tokens: &[Token]) -> Vec<String> {
    let calls = tokens.windows(3).filter_map(|window| match window {
        [word, open, Token::Text(text)] if word.is_word("error") && open.is('(') => Some(text.clone()),
        _ => None,
    });
    calls.collect()
}

/// Returns the string literals that contain a letter, except those in attributes and messages of `expect`.
fn literals(tokens: &[Token]) -> Vec<String> {
    let mut literals = Vec::new();
    let mut position = 0;
    while position < tokens.len() {
        if tokens[position].is('#') {
            position = end_of_attribute(tokens, position);
        } else if let Token::Text(text) = &tokens[position]
            && text.chars().any(|character| character.is_ascii_alphabetic())
            && !is_expect_message(tokens, position)
        {
            literals.push(text.clone());
        }
        position += 1;
    }
    literals
}

/// Returns the position of the last token of the attribute that begins at a position, or the position itself
/// if no attribute begins there.
fn end_of_attribute(tokens: &[Token], position: usize) -> usize {
    let open = position + 1 + usize::from(tokens.get(position + 1).is_some_and(|token| token.is('!')));
    match tokens.get(open) {
        Some(token) if token.is('[') => serde_types::closing_bracket(tokens, open),
        _ => position,
    }
}

/// Returns whether a literal could be a key, a path, a header or a value: it is one word, or part of an HTTP
/// head.
fn is_name(text: &str) -> bool {
    let is_word = |character: char| character.is_ascii_alphanumeric() || "_-./:?=&".contains(character);
    text.contains("\r\n") || text.chars().all(is_word)
}

fn is_expect_message(tokens: &[Token], position: usize) -> bool {
    let is_call = position >= 2 && tokens[position - 1].is('(');
    is_call && (tokens[position - 2].is_word("expect") || tokens[position - 2].is_word("expect_err"))
}
