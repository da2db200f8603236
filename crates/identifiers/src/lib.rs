//! The validated name type that the fair-share and reservations crates share.
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The name of a member, tenant, federation, pool, class or zone: 1 to 64 bytes without control characters.
///
/// Cloning is cheap: clones share the text. Deserialization checks the text as [`Name::new`] does.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// The reason why a text is not a valid [`Name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum NameError {
    /// The text is empty or longer than [`Name::MAX_BYTES`]. This variant holds the length of the text in
    /// bytes.
    #[error("a name has 1 to 64 bytes, not {0}")]
    Length(usize),
    /// The text contains a control character, which could corrupt log lines.
    #[error("a name has no control characters")]
    ControlCharacter,
}

impl Name {
    /// The maximum length of a name, in bytes.
    pub const MAX_BYTES: usize = 64;

    /// Creates a name from a text.
    ///
    /// # Errors
    /// Returns [`NameError::Length`] if the text is empty or too long, and [`NameError::ControlCharacter`] if
    /// it contains a control character.
    pub fn new(text: &str) -> Result<Name, NameError> {
        if text.is_empty() || text.len() > Name::MAX_BYTES {
            return Err(NameError::Length(text.len()));
        }
        if text.chars().any(char::is_control) {
            return Err(NameError::ControlCharacter);
        }
        Ok(Name(text.into()))
    }

    /// Returns the name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = NameError;

    fn try_from(text: String) -> Result<Name, NameError> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().into()
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

#[cfg(test)]
#[path = "../tests/unit/name.rs"]
mod tests;
