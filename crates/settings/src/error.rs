//! The error type of the functions that read settings and endpoint lists from JSON.

/// The reason why JSON could not be read. The message of each variant is shown to operators in errors and
/// logs, and is sent to the simulator in the `fault` messages of the simulator adapter.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum ReadError {
    /// The bytes to be read as JSON are not UTF-8.
    #[error("not valid UTF-8")]
    InvalidUtf8(#[source] std::str::Utf8Error),
    /// The text to be read is not valid JSON.
    #[error("not valid JSON: {0}")]
    InvalidJson(#[source] tinyjson::JsonParseError),
    /// The JSON value is nested more than 32 levels deep.
    #[error("nested too deeply")]
    NestedTooDeeply,
    /// A required JSON field is absent or null.
    #[error("{field} is missing")]
    Missing {
        /// Name of the required JSON field.
        field: &'static str,
    },
    /// The value of a JSON field is not a finite number.
    #[error("{field} is not a number")]
    NotANumber {
        /// Name of the JSON field that should hold a number.
        field: &'static str,
    },
    /// The value of a JSON field is not an integer from 0 to 2^53. Larger integers are not accepted, because
    /// JSON numbers are read as floats, which represent every integer exactly only up to 2^53.
    #[error("{field} is not a whole number")]
    NotAnInteger {
        /// Name of the JSON field that should hold an integer.
        field: &'static str,
    },
    /// The integer in a JSON field exceeds the range of the type that the field is read into.
    #[error("{field} is out of range")]
    OutOfRange {
        /// Name of the JSON field that holds the integer.
        field: &'static str,
    },
    /// The value of a JSON field is not a string.
    #[error("{field} is not a string")]
    NotAString {
        /// Name of the JSON field that should hold a string.
        field: &'static str,
    },
    /// The value of a JSON field is not a boolean.
    #[error("{field} is neither true nor false")]
    NotABoolean {
        /// Name of the JSON field that should hold a boolean.
        field: &'static str,
    },
    /// The value of a JSON field is not an array.
    #[error("{field} is not an array")]
    NotAnArray {
        /// Name of the JSON field that should hold an array.
        field: &'static str,
    },
    /// A string that should be a network address cannot be parsed as one.
    #[error("{text:?} is not an address")]
    InvalidAddress {
        /// The string that was read instead of an address.
        text: String,
    },
    /// The address of an endpoint has no port.
    #[error("{text:?} has no port")]
    MissingPort {
        /// The address that was read, without a port.
        text: String,
    },
    /// A string that should be a hexadecimal number cannot be parsed as one.
    #[error("{text:?} is not a hexadecimal number")]
    NotHexadecimal {
        /// The string that was read instead of a hexadecimal number.
        text: String,
    },
    /// The value of a JSON field is not one of the values that are defined for the field.
    #[error("unknown {field} {value:?}")]
    UnknownValue {
        /// Name of the JSON field whose value is not defined.
        field: &'static str,
        /// The undefined value that was read.
        value: String,
    },
    /// The value of a field, such as an object or an address, contains an error. This variant adds the name
    /// of the field to that error.
    #[error("{section}: {source}")]
    InSection {
        /// Name of the field whose value could not be read.
        section: &'static str,
        /// The error found in the value of the field that `section` names.
        source: Box<ReadError>,
    },
}

impl ReadError {
    /// Wraps this error with the name of the field whose value contains the error.
    #[must_use]
    pub fn in_section(self, section: &'static str) -> ReadError {
        ReadError::InSection { section, source: Box::new(self) }
    }
}
