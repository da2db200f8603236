//! Collects the invalid values that the configuration checks find.

/// An invalid value of the configuration, with its key and a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Violation {
    /// The full key, such as `classes[1].aim`.
    pub(crate) key: String,
    /// What is wrong with the value, as a message to the user.
    pub(crate) message: String,
}

/// The invalid values that the configuration checks have found so far.
#[derive(Default)]
pub(super) struct Violations {
    found: Vec<Violation>,
}

impl Violations {
    /// Records that the value of `key` is invalid, unless the condition `holds` is true.
    pub(super) fn require(&mut self, holds: bool, key: &str, message: impl FnOnce() -> String) {
        if !holds {
            self.add(key, message());
        }
    }

    /// Records that the value of `key` is invalid, for the reason in `message`.
    pub(super) fn add(&mut self, key: &str, message: impl Into<String>) {
        self.found.push(Violation { key: key.to_owned(), message: message.into() });
    }

    /// Returns the invalid values, in the order in which they were found.
    pub(super) fn into_vec(self) -> Vec<Violation> {
        self.found
    }
}
