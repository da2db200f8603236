//! Why a text or value is not what a reader of this crate expects.

/// Why reading failed. The text of each variant is shown to operators and clients as it is.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReadError {
    /// The bytes are not UTF-8.
    #[error("no UTF-8")]
    InvalidUtf8(#[source] std::str::Utf8Error),
    /// The text is not JSON.
    #[error("no JSON: {0}")]
    InvalidJson(#[source] tinyjson::JsonParseError),
    /// The JSON value is nested more deeply than is read.
    #[error("nested too deeply")]
    NestedTooDeeply,
    /// A required field is absent or null.
    #[error("{field} is missing")]
    Missing {
        /// The field's name.
        field: &'static str,
    },
    /// A field is not a finite number.
    #[error("{field} is no number")]
    NotANumber {
        /// The field's name.
        field: &'static str,
    },
    /// A field is not a non-negative integer that a float holds exactly.
    #[error("{field} is no whole number")]
    NotAnInteger {
        /// The field's name.
        field: &'static str,
    },
    /// An integer does not fit into the field's type.
    #[error("{field} is out of range")]
    OutOfRange {
        /// The field's name.
        field: &'static str,
    },
    /// A field is not a string.
    #[error("{field} is no text")]
    NotAString {
        /// The field's name.
        field: &'static str,
    },
    /// A field is not a boolean.
    #[error("{field} is neither true nor false")]
    NotABoolean {
        /// The field's name.
        field: &'static str,
    },
    /// A field is not an array.
    #[error("{field} is no list")]
    NotAnArray {
        /// The field's name.
        field: &'static str,
    },
    /// A string is not a network address.
    #[error("{text:?} is no address")]
    InvalidAddress {
        /// The string as given.
        text: String,
    },
    /// An endpoint's address has no port.
    #[error("{text:?} names no port")]
    MissingPort {
        /// The address as given.
        text: String,
    },
    /// A string is not a hexadecimal number.
    #[error("{text:?} is no hex number")]
    NotHexadecimal {
        /// The string as given.
        text: String,
    },
    /// A field has none of the values defined for it.
    #[error("unknown {field} {value:?}")]
    UnknownValue {
        /// The field's name.
        field: &'static str,
        /// The value as given.
        value: String,
    },
    /// A part of a larger value is wrong.
    #[error("{section}: {source}")]
    InSection {
        /// The name of the field that holds the part.
        section: &'static str,
        /// What is wrong with the part.
        source: Box<ReadError>,
    },
}

impl ReadError {
    /// This error as one of the field `section`, which holds what was read.
    #[must_use]
    pub fn in_section(self, section: &'static str) -> ReadError {
        ReadError::InSection { section, source: Box::new(self) }
    }
}
