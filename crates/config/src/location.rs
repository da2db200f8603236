//! Finds lines and columns in a TOML file.
use std::fmt;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// A position in a text. Lines and columns count from 1, and each character counts as one column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Position {
    line: usize,
    column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// Returns the line and column of the byte at the given offset in a text.
pub(crate) fn position_of_byte(text: &str, byte: usize) -> Position {
    let before = &text.as_bytes()[..byte.min(text.len())];
    let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
    let line_start = before.iter().rposition(|&byte| byte == b'\n').map_or(0, |newline| newline + 1);
    let column = String::from_utf8_lossy(&before[line_start..]).chars().count() + 1;
    Position { line, column }
}

/// Returns the position, in a TOML text, of the value of a key such as `classes[1].aim`. If the text does not
/// set the key, returns the position of the innermost table or list around the key that the text contains.
/// Returns `None` if the text contains none of them.
pub(crate) fn position_of_key(text: &str, key: &str) -> Option<Position> {
    let document = DeTable::parse(text).ok()?;
    let mut parts = key.split(['.', '[', ']']).filter(|part| !part.is_empty());
    let mut found = document.get_ref().get(parts.next()?)?;
    for part in parts {
        match member(found.get_ref(), part) {
            Some(next) => found = next,
            None => break,
        }
    }
    Some(position_of_byte(text, found.span().start))
}

/// Returns a value within a table or an array. `part` is the key in the table, or the index in the array, as
/// text.
fn member<'a, 'text>(value: &'a DeValue<'text>, part: &str) -> Option<&'a Spanned<DeValue<'text>>> {
    match value {
        DeValue::Table(table) => table.get(part),
        DeValue::Array(items) => items.get(part.parse::<usize>().ok()?),
        _ => None,
    }
}
