//! Spans of time and sizes as people write them: `"250ms"`, `"1m 30s"`, `"192 MB"`.
use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytesize::ByteSize;
use copperspread_dispatcher::Micros;
use schemars::{JsonSchema, Schema, SchemaGenerator, json_schema};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// A span of time, in whole microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(pub Micros);

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Span, String> {
        let span = humantime::parse_duration(text)
            .map_err(|why| format!("{text:?} is no span of time ({why}); write \"250ms\" or \"1m 30s\""))?;
        // A day is more than any figure here means; what lies beyond would not fit.
        if span > Duration::from_secs(366 * 86_400) {
            return Err(format!("{text:?} is longer than a year"));
        }
        Ok(Span(span.as_micros() as Micros))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(Duration::from_micros(self.0)).fmt(f)
    }
}

/// A size in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

impl FromStr for Size {
    type Err = String;

    fn from_str(text: &str) -> Result<Size, String> {
        let size: ByteSize = text
            .parse()
            .map_err(|why| format!("{text:?} is no size ({why}); write \"192 MB\" or \"64 KiB\""))?;
        Ok(Size(size.as_u64()))
    }
}

impl fmt::Display for Size {
    /// In the largest unit that tells it exactly.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let units =
            [(bytesize::GB, "GB"), (bytesize::MB, "MB"), (bytesize::KIB, "KiB"), (bytesize::KB, "KB")];
        match units.iter().find(|(unit, _)| self.0 >= *unit && self.0.is_multiple_of(*unit)) {
            Some((unit, name)) => write!(f, "{} {name}", self.0 / unit),
            None => write!(f, "{} B", self.0),
        }
    }
}

macro_rules! as_text {
    ($type:ty, $name:literal, $expecting:literal) => {
        impl Serialize for $type {
            fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
                to.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $type {
            fn deserialize<D: Deserializer<'de>>(from: D) -> Result<$type, D::Error> {
                struct Text;
                impl de::Visitor<'_> for Text {
                    type Value = $type;
                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str($expecting)
                    }
                    fn visit_str<E: de::Error>(self, text: &str) -> Result<$type, E> {
                        text.parse().map_err(E::custom)
                    }
                }
                from.deserialize_str(Text)
            }
        }

        impl JsonSchema for $type {
            fn schema_name() -> Cow<'static, str> {
                $name.into()
            }
            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({"type": "string", "format": $name, "description": $expecting})
            }
        }
    };
}

as_text!(Span, "span", "a span of time such as \"250ms\"");
as_text!(Size, "size", "a size such as \"192 MB\"");
