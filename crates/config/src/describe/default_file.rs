//! Generates a TOML file that contains the built-in defaults, with comments.
use serde_json::Value;
use toml_edit::{DocumentMut, Item, Table};

use super::schema::{description, schema};
use crate::types::Config;

/// The reason why the built-in defaults cannot be written as a TOML file. Such an error would be a bug.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum DescribeError {
    /// The built-in defaults cannot be serialized as TOML.
    #[error(transparent)]
    Serialize(#[from] toml::ser::Error),
    /// The serialized defaults cannot be parsed as TOML again. They are parsed in order to add the comments.
    #[error(transparent)]
    Parse(#[from] toml_edit::TomlError),
}

/// Returns the built-in defaults as the text of a TOML file, with a comment above each key.
///
/// # Errors
/// Returns [`DescribeError`] if the defaults cannot be written as TOML, which would be a bug.
pub fn commented_default() -> Result<String, DescribeError> {
    let mut document: DocumentMut = toml::to_string(&Config::default())?.parse()?;
    add_comments(document.as_table_mut(), &schema());
    Ok(format!(
        "# The built-in defaults of copperspread. Each key may be omitted.\n\n{}",
        document.to_string().trim_start()
    ))
}

/// Adds a comment above each key of a table and of the tables within it. The comment is the key's description
/// in the schema.
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
                // Only the first item of a list has comments, because the other items have the same keys.
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
