//! Names of reporters, tenants and federations.
use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name, in bytes.
const MOST: usize = 64;

/// A text of 1 to 64 bytes; a clone shares it.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Name(Arc<str>);

/// A text that is empty or longer than 64 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrongName;

impl fmt::Display for WrongName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name is a text of 1 to 64 bytes")
    }
}

impl std::error::Error for WrongName {}

impl Name {
    /// A name.
    ///
    /// # Errors
    /// A text that is empty or too long.
    pub fn new(text: &str) -> Result<Name, WrongName> {
        if (1..=MOST).contains(&text.len()) { Ok(Name(text.into())) } else { Err(WrongName) }
    }

    /// Its text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<String> for Name {
    type Error = WrongName;

    fn try_from(text: String) -> Result<Name, WrongName> {
        Name::new(&text)
    }
}

impl From<Name> for String {
    fn from(name: Name) -> String {
        name.0.as_ref().to_owned()
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
