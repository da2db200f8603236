//! Durations and sizes that are written as text: `"250ms"`, `"1m 30s"`, `"192 MB"`.
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use copperspread_dispatcher::Micros;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Longest duration that is accepted, far above any useful value. A longer duration might not fit into
/// `Micros`.
const MAX_DURATION: Duration = Duration::from_secs(366 * 86_400);

/// The reason why a text cannot be parsed as a duration or a size.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[non_exhaustive]
pub enum ParseUnitError {
    /// A text that should be a duration cannot be parsed as one.
    #[error("{text:?} is not a duration ({source}); write \"250ms\" or \"1m 30s\"")]
    InvalidDuration {
        /// The text in the configuration that is not a duration.
        text: String,
        /// The error of the duration parser, which says what is wrong with the text.
        source: humantime::DurationError,
    },
    /// The duration in the configuration is longer than 366 days.
    #[error("{text:?} is longer than 366 days")]
    DurationTooLong {
        /// The text in the configuration, a valid duration that is too long.
        text: String,
    },
    /// A text that should be a size cannot be parsed as one.
    #[error("{text:?} is not a size ({reason}); write \"192 MB\" or \"64 KiB\"")]
    InvalidSize {
        /// The text in the configuration that is not a size.
        text: String,
        /// The error of the size parser. It is kept as text, because that parser has no error type.
        reason: String,
    },
}

/// A duration in whole microseconds that is serialized as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanDuration(pub Micros);

impl FromStr for HumanDuration {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<HumanDuration, ParseUnitError> {
        let duration = humantime::parse_duration(text)
            .map_err(|source| ParseUnitError::InvalidDuration { text: text.to_owned(), source })?;
        if duration > MAX_DURATION {
            return Err(ParseUnitError::DurationTooLong { text: text.to_owned() });
        }
        Ok(HumanDuration(duration.as_micros() as Micros))
    }
}

impl fmt::Display for HumanDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(Duration::from_micros(self.0)).fmt(f)
    }
}

/// A size in bytes that is serialized as text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct HumanSize(pub u64);

impl FromStr for HumanSize {
    type Err = ParseUnitError;

    fn from_str(text: &str) -> Result<HumanSize, ParseUnitError> {
        let size: ByteSize =
            text.parse().map_err(|reason| ParseUnitError::InvalidSize { text: text.to_owned(), reason })?;
        Ok(HumanSize(size.as_u64()))
    }
}

impl fmt::Display for HumanSize {
    /// Writes the size in the largest unit that divides it without a remainder.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units =
            [(bytesize::GB, "GB"), (bytesize::MB, "MB"), (bytesize::KIB, "KiB"), (bytesize::KB, "KB")];
        match units.iter().find(|(unit, _)| self.0 >= *unit && self.0.is_multiple_of(*unit)) {
            Some((unit, name)) => write!(f, "{} {name}", self.0 / unit),
            None => write!(f, "{} B", self.0),
        }
    }
}

/// Implements, for a type, serialization by `Display`, deserialization by `FromStr`, and a JSON Schema of a
/// string with a format and a description.
macro_rules! impl_as_text {
    ($type:ty, $format:literal, $expecting:literal) => {
        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$type, D::Error> {
                struct TextVisitor;
                impl de::Visitor<'_> for TextVisitor {
                    type Value = $type;
                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($expecting)
                    }
                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$type, E> {
                        text.parse().map_err(E::custom)
                    }
                }
                deserializer.deserialize_str(TextVisitor)
            }
        }

        impl JsonSchema for $type {
            fn schema_name() -> Cow<'static, str> {
                $format.into()
            }
            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "format": $format, "description": $expecting})
            }
        }
    };
}

// The formats "span" and "size" are part of the published schema and must not change.
impl_as_text!(HumanDuration, "span", "a duration such as \"250ms\"");
impl_as_text!(HumanSize, "size", "a size such as \"192 MB\"");
