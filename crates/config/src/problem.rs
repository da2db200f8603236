//! What is wrong with a configuration.
use std::fmt;

/// One thing that is wrong: where, with which key, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file with line and column, the environment variable or the flag.
    pub location: String,
    /// The key with its tables, joined by dots; empty where it is not known.
    pub key: String,
    /// What is wrong, for people.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            // serde_path_to_error writes "." for the document itself.
            "" | "." => write!(f, "{}: {}", self.location, self.message),
            key => write!(f, "{}: {key}: {}", self.location, self.message),
        }
    }
}

/// Everything that is wrong with a configuration: at least one problem. The text has a line for each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfig {
    /// The problems, in the order in which they were found.
    pub problems: Vec<Problem>,
}

impl InvalidConfig {
    /// A single problem that no key is known of.
    pub(crate) fn without_key(location: &str, message: impl fmt::Display) -> InvalidConfig {
        InvalidConfig::with_key(location, "", message)
    }

    /// A single problem with a key.
    pub(crate) fn with_key(location: &str, key: &str, message: impl fmt::Display) -> InvalidConfig {
        let problem =
            Problem { location: location.to_owned(), key: key.to_owned(), message: message.to_string() };
        InvalidConfig { problems: vec![problem] }
    }
}

impl fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidConfig {}
