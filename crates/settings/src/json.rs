//! Parsing of JSON with tinyjson up to a limited nesting depth, and typed access to the fields of objects.
use copperspread_dispatcher::{Micros, SECOND};
use tinyjson::JsonValue;

use crate::error::ReadError;

/// Deepest nesting of JSON arrays and objects that is parsed. The parser, tinyjson, recurses for each level
/// without a limit. A text of many opening brackets would otherwise overflow the stack and abort the process.
const MAX_NESTING_DEPTH: usize = 32;

/// 2^53, the number up to which every integer has an exact representation as a float.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Parses one JSON value.
///
/// # Errors
/// Returns [`ReadError::NestedTooDeeply`] if the text is nested more than 32 levels deep, and
/// [`ReadError::InvalidJson`] if it is not valid JSON for another reason.
pub fn parse(text: &str) -> Result<JsonValue, ReadError> {
    check_nesting(text)?;
    text.parse().map_err(ReadError::InvalidJson)
}

/// Parses one JSON value from bytes.
///
/// # Errors
/// Returns [`ReadError::InvalidUtf8`] if the bytes are not UTF-8, and otherwise the errors of [`parse`].
pub fn parse_bytes(bytes: &[u8]) -> Result<JsonValue, ReadError> {
    parse(std::str::from_utf8(bytes).map_err(ReadError::InvalidUtf8)?)
}

/// Checks that the brackets outside strings are nested at most [`MAX_NESTING_DEPTH`] deep. The parser has no
/// depth limit, so the text is checked before it is parsed. The check allocates no memory.
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

/// Returns the value of an object's field, or `None` if the field is absent or null, or if `value` is not an
/// object.
pub fn field<'a>(value: &'a JsonValue, name: &str) -> Option<&'a JsonValue> {
    let object: &std::collections::HashMap<String, JsonValue> = value.get()?;
    object.get(name).filter(|field| !field.is_null())
}

/// Returns the value of a field that should hold an object, or null if the field is absent. Null has no
/// fields, so every field that is then read from it counts as absent.
pub(crate) fn object_or_null<'a>(value: &'a JsonValue, name: &str) -> &'a JsonValue {
    field(value, name).unwrap_or(&JsonValue::Null)
}

/// Reads a required field with `read`, one of the readers of this module, as in
/// `required(&config, "listen", text)`.
///
/// # Errors
/// Returns [`ReadError::Missing`] if the field is absent or null, and otherwise the errors of `read` for the
/// field's value.
pub fn required<'a, T>(
    value: &'a JsonValue,
    name: &'static str,
    read: impl FnOnce(&'a JsonValue, &'static str) -> Result<Option<T>, ReadError>,
) -> Result<T, ReadError> {
    read(value, name)?.ok_or(ReadError::Missing { field: name })
}

/// Reads an optional field that holds a finite number.
///
/// # Errors
/// Returns [`ReadError::NotANumber`] if the field holds anything else.
pub fn number(value: &JsonValue, name: &'static str) -> Result<Option<f64>, ReadError> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::Number(number)) if number.is_finite() => Ok(Some(*number)),
        Some(_) => Err(ReadError::NotANumber { field: name }),
    }
}

/// Reads an optional field that holds a non-negative integer within the range of `T`.
///
/// # Errors
/// Returns [`ReadError::NotANumber`] if the field does not hold a finite number. Returns
/// [`ReadError::NotAnInteger`] if the number is negative, fractional or above 2^53. Returns
/// [`ReadError::OutOfRange`] if the integer exceeds the range of `T`.
pub fn integer<T: TryFrom<u64>>(value: &JsonValue, name: &'static str) -> Result<Option<T>, ReadError> {
    match number(value, name)? {
        None => Ok(None),
        Some(number) if (0.0..=MAX_EXACT_INTEGER).contains(&number) && number.fract() == 0.0 => {
            T::try_from(number as u64).map(Some).map_err(|_| ReadError::OutOfRange { field: name })
        }
        Some(_) => Err(ReadError::NotAnInteger { field: name }),
    }
}

/// Reads an optional field that holds a number of seconds, and converts the number to microseconds. A
/// negative number becomes 0.
///
/// # Errors
/// Returns [`ReadError::NotANumber`] if the field does not hold a finite number.
pub fn seconds_as_micros(value: &JsonValue, name: &'static str) -> Result<Option<Micros>, ReadError> {
    Ok(number(value, name)?.map(micros_from_seconds))
}

/// Converts seconds to microseconds, rounded to the nearest microsecond. A negative value becomes 0.
pub fn micros_from_seconds(seconds: f64) -> Micros {
    (seconds * SECOND as f64).round() as Micros
}

/// Reads an optional field that holds a string.
///
/// # Errors
/// Returns [`ReadError::NotAString`] if the field holds anything else.
pub fn text<'a>(value: &'a JsonValue, name: &'static str) -> Result<Option<&'a str>, ReadError> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::String(text)) => Ok(Some(text)),
        Some(_) => Err(ReadError::NotAString { field: name }),
    }
}

/// Reads an optional field that holds a boolean.
///
/// # Errors
/// Returns [`ReadError::NotABoolean`] if the field holds anything else.
pub fn boolean(value: &JsonValue, name: &'static str) -> Result<Option<bool>, ReadError> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::Boolean(boolean)) => Ok(Some(*boolean)),
        Some(_) => Err(ReadError::NotABoolean { field: name }),
    }
}

/// Reads an optional field that holds an array.
///
/// # Errors
/// Returns [`ReadError::NotAnArray`] if the field holds anything else.
pub fn array<'a>(value: &'a JsonValue, name: &'static str) -> Result<Option<&'a [JsonValue]>, ReadError> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::Array(items)) => Ok(Some(items)),
        Some(_) => Err(ReadError::NotAnArray { field: name }),
    }
}
