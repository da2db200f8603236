//! Reading JSON with tinyjson: a limit on its recursion, and typed access to the fields of objects.
use copperspread_dispatcher::{Micros, SECOND};
use tinyjson::JsonValue;

use crate::error::ReadError;

/// Deepest nesting that is read. tinyjson recurses once for each level and has no limit of its own:
/// a body of nothing but brackets would overflow the stack and abort the process.
const MAX_NESTING_DEPTH: usize = 32;

/// Up to 2^53 each integer has an exact representation as a float.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Reads one JSON value.
///
/// # Errors
/// A text that is not JSON or is nested too deeply.
pub fn parse(text: &str) -> Result<JsonValue, ReadError> {
    check_nesting(text)?;
    text.parse().map_err(ReadError::InvalidJson)
}

/// Reads one JSON value from bytes.
///
/// # Errors
/// Bytes that are not UTF-8; otherwise as [`parse`].
pub fn parse_bytes(bytes: &[u8]) -> Result<JsonValue, ReadError> {
    parse(std::str::from_utf8(bytes).map_err(ReadError::InvalidUtf8)?)
}

/// Counts brackets outside strings, without allocation and before anything is parsed.
fn check_nesting(text: &str) -> Result<(), ReadError> {
    let mut depth = 0_usize;
    let mut is_in_string = false;
    let mut is_escaped = false;
    for byte in text.bytes() {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_in_string => is_escaped = true,
            b'"' => is_in_string = !is_in_string,
            b'[' | b'{' if !is_in_string => {
                depth += 1;
                if depth > MAX_NESTING_DEPTH {
                    return Err(ReadError::NestedTooDeeply);
                }
            }
            b']' | b'}' if !is_in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    Ok(())
}

/// A field of an object; null counts as absent, and a value that is no object has no fields.
pub fn field<'a>(value: &'a JsonValue, name: &str) -> Option<&'a JsonValue> {
    let object: &std::collections::HashMap<String, JsonValue> = value.get()?;
    object.get(name).filter(|field| !field.is_null())
}

/// A field whose own fields are read next; null, which has none, where it is absent.
pub(crate) fn object_or_null<'a>(value: &'a JsonValue, name: &str) -> &'a JsonValue {
    field(value, name).unwrap_or(&JsonValue::Null)
}

/// A field that must be there, read by one of the readers of this module:
/// `required(&config, "listen", text)`.
///
/// # Errors
/// An absent field; otherwise as `read`.
pub fn required<'a, T>(
    value: &'a JsonValue,
    name: &'static str,
    read: impl FnOnce(&'a JsonValue, &'static str) -> Result<Option<T>, ReadError>,
) -> Result<T, ReadError> {
    read(value, name)?.ok_or(ReadError::Missing { field: name })
}

/// A field that is a finite number, if it is there.
///
/// # Errors
/// A field that is anything else.
pub fn number(value: &JsonValue, name: &'static str) -> Result<Option<f64>, ReadError> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::Number(number)) if number.is_finite() => Ok(Some(*number)),
        Some(_) => Err(ReadError::NotANumber { field: name }),
    }
}

/// A field that is a non-negative integer within the range of `T`, if it is there.
///
/// # Errors
/// A field that is anything else.
pub fn integer<T: TryFrom<u64>>(value: &JsonValue, name: &'static str) -> Result<Option<T>, ReadError> {
    match number(value, name)? {
        None => Ok(None),
        Some(number) if (0.0..=MAX_EXACT_INTEGER).contains(&number) && number.fract() == 0.0 => {
            T::try_from(number as u64).map(Some).map_err(|_| ReadError::OutOfRange { field: name })
        }
        Some(_) => Err(ReadError::NotAnInteger { field: name }),
    }
}

/// A field of seconds as microseconds, if it is there; negative ones are 0.
///
/// # Errors
/// As [`number`].
pub fn seconds_as_micros(value: &JsonValue, name: &'static str) -> Result<Option<Micros>, ReadError> {
    Ok(number(value, name)?.map(micros_from_seconds))
}

/// Seconds, rounded to microseconds; negative ones are 0.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * SECOND as f64).round() as Micros
}

/// A field that is a string, if it is there.
///
/// # Errors
/// A field that is anything else.
pub fn text<'a>(value: &'a JsonValue, name: &'static str) -> Result<Option<&'a str>, ReadError> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::String(text)) => Ok(Some(text)),
        Some(_) => Err(ReadError::NotAString { field: name }),
    }
}

/// A field that is true or false, if it is there.
///
/// # Errors
/// A field that is anything else.
pub fn boolean(value: &JsonValue, name: &'static str) -> Result<Option<bool>, ReadError> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::Boolean(boolean)) => Ok(Some(*boolean)),
        Some(_) => Err(ReadError::NotABoolean { field: name }),
    }
}

/// A field that is an array, if it is there.
///
/// # Errors
/// A field that is anything else.
pub fn array<'a>(value: &'a JsonValue, name: &'static str) -> Result<Option<&'a [JsonValue]>, ReadError> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::Array(items)) => Ok(Some(items)),
        Some(_) => Err(ReadError::NotAnArray { field: name }),
    }
}
