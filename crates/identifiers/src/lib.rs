//! The names that the parts of the fleet's rules have in common: members, tenants, federations, pools, classes, zones.
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A name of 1 to 64 bytes without control characters: a member, a tenant, a federation, a pool, a class, a zone.
/// A clone shares its text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// Why a text is no [`Name`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NameError {
    /// It has 0 or over 64 bytes.
    #[error("a name has 1 to 64 bytes, not {0}")]
    Length(usize),
    /// It would spoil a log.
    #[error("a name has no control characters")]
    ControlCharacter,
}

impl Name {
    /// Most bytes of a name.
    pub const MAX_BYTES: usize = 64;

    /// A name.
    ///
    /// # Errors
    /// A text that is none.
    pub fn new(text: &str) -> Result<Name, NameError> {
        if text.is_empty() || text.len() > Name::MAX_BYTES {
            return Err(NameError::Length(text.len()));
        }
        if text.chars().any(char::is_control) {
            return Err(NameError::ControlCharacter);
        }
        Ok(Name(text.into()))
    }

    /// Its text.
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
