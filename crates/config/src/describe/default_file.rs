//! The built-in default as a TOML file.
use serde_json::Value;
use toml_edit::{DocumentMut, Item, Table};

use super::schema::{description, schema};
use crate::types::Config;

/// Why the built-in default cannot be written as TOML, which would be a fault of this program.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DescribeError {
    /// The default cannot be serialized.
    #[error(transparent)]
    Serialize(#[from] toml::ser::Error),
    /// What was serialized cannot be read again.
    #[error(transparent)]
    Parse(#[from] toml_edit::TomlError),
}

/// The built-in default as a file, with a comment before each value.
///
/// # Errors
/// A default that is no TOML, which would be a fault of this program.
pub fn commented_default() -> Result<String, DescribeError> {
    let mut document: DocumentMut = toml::to_string(&Config::default())?.parse()?;
    add_comments(document.as_table_mut(), &schema());
    Ok(format!(
        "# The built-in default of copperspread. Each key may be left out.\n\n{}",
        document.to_string().trim_start()
    ))
}

/// Puts each key's description before it, in a table and those in it.
fn add_comments(table: &mut Table, schema: &Value) {
    for (mut key, item) in table.iter_mut() {
        let schema = &schema["properties"][key.get()];
        let comment = as_comment(description(schema));
        match item {
            Item::Table(inner) => {
                inner.decor_mut().set_prefix(format!("\n{comment}"));
                add_comments(inner, schema);
            }
            Item::ArrayOfTables(tables) => {
                // Only the first: the others have the same keys.
                if let Some(first) = tables.iter_mut().next() {
                    first.decor_mut().set_prefix(format!("\n{comment}"));
                    add_comments(first, &schema["items"]);
                }
            }
            _ => key.leaf_decor_mut().set_prefix(comment),
        }
    }
}

fn as_comment(text: &str) -> String {
    text.lines().map(|line| format!("# {line}\n")).collect()
}
