//! The problems of an invalid configuration.
use std::fmt;

/// A problem of a configuration, such as an invalid value, with the location and the key of the value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The origin of the value: a file with line and column, an environment variable, or a flag.
    pub location: String,
    /// The full key of the value, such as `back.http.keep_idle`; empty if the key is unknown.
    pub key: String,
    /// What is wrong with the value, and often what would be valid.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.key.as_str() {
            // The library serde_path_to_error uses "." as the key of the whole document.
            "" | "." => write!(f, "{}: {}", self.location, self.message),
            key => write!(f, "{}: {key}: {}", self.location, self.message),
        }
    }
}

/// The error for an invalid configuration, which holds at least one problem. The error's text has a line for
/// each problem.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfig {
    /// The problems of the configuration, in the order in which they were found.
    pub problems: Vec<Problem>,
}

impl InvalidConfig {
    /// Creates an error with a single problem that is not attributed to a configuration key. An example is a
    /// file that cannot be read.
    pub(crate) fn without_key(location: &str, message: impl fmt::Display) -> InvalidConfig {
        InvalidConfig::with_key(location, "", message)
    }

    /// Creates an error with a single problem of the configuration key `key`.
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
