//! Reading JSON with tinyjson: a guard for its recursion, and typed access to fields.
use tinyjson::JsonValue;

use copperspread_dispatcher::{Micros, SECOND};

/// Deepest nesting that is read. tinyjson calls itself for each level, and guards against no depth:
/// a body of nothing but brackets would end the program by its stack.
const DEEPEST: usize = 32;

/// Reads one JSON value; the error says in words why it is none.
pub fn parse(text: &str) -> Result<JsonValue, String> {
    let (mut depth, mut in_string, mut escaped) = (0_usize, false, false);
    for byte in text.bytes() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if in_string => escaped = true,
            b'"' => in_string = !in_string,
            b'[' | b'{' if !in_string => {
                depth += 1;
                if depth > DEEPEST {
                    return Err("nested too deeply".into());
                }
            }
            b']' | b'}' if !in_string => depth = depth.saturating_sub(1),
            _ => {}
        }
    }
    text.parse().map_err(|e| format!("no JSON: {e}"))
}

/// Reads one JSON value from bytes.
pub fn parse_bytes(bytes: &[u8]) -> Result<JsonValue, String> {
    parse(std::str::from_utf8(bytes).map_err(|_| "no UTF-8")?)
}

/// A field of an object; absent and null are the same.
pub fn field<'a>(value: &'a JsonValue, name: &str) -> Option<&'a JsonValue> {
    let object: &std::collections::HashMap<String, JsonValue> = value.get()?;
    object.get(name).filter(|field| !field.is_null())
}

/// A field that is a finite number, if it is there.
pub fn number(value: &JsonValue, name: &str) -> Result<Option<f64>, String> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::Number(number)) if number.is_finite() => Ok(Some(*number)),
        Some(_) => Err(format!("{name} is no number")),
    }
}

/// A field that is a whole number within what the type holds, if it is there.
pub fn whole<T: TryFrom<u64>>(value: &JsonValue, name: &str) -> Result<Option<T>, String> {
    // Up to 2^53 each whole number is itself as a float.
    const MOST: f64 = 9_007_199_254_740_992.0;
    match number(value, name)? {
        None => Ok(None),
        Some(number) if (0.0..=MOST).contains(&number) && number.fract() == 0.0 => {
            T::try_from(number as u64).map(Some).map_err(|_| format!("{name} is out of range"))
        }
        Some(_) => Err(format!("{name} is no whole number")),
    }
}

/// A field of seconds as microseconds, if it is there; negative ones are 0.
pub fn seconds(value: &JsonValue, name: &str) -> Result<Option<Micros>, String> {
    Ok(number(value, name)?.map(micros))
}

/// Whole microseconds of seconds; negative ones are 0.
pub fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64).round() as Micros
}

/// A field that is a text, if it is there.
pub fn text<'a>(value: &'a JsonValue, name: &str) -> Result<Option<&'a str>, String> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::String(text)) => Ok(Some(text)),
        Some(_) => Err(format!("{name} is no text")),
    }
}

/// A field that is true or false, if it is there.
pub fn flag(value: &JsonValue, name: &str) -> Result<Option<bool>, String> {
    match field(value, name) {
        None => Ok(None),
        Some(JsonValue::Boolean(flag)) => Ok(Some(*flag)),
        Some(_) => Err(format!("{name} is neither true nor false")),
    }
}

/// A field that is a list; absent is an empty one.
pub fn list<'a>(value: &'a JsonValue, name: &str) -> Result<&'a [JsonValue], String> {
    match field(value, name) {
        None => Ok(&[]),
        Some(JsonValue::Array(list)) => Ok(list),
        Some(_) => Err(format!("{name} is no list")),
    }
}

/// What a field holds, or that it is missing.
pub fn need<T>(field: Result<Option<T>, String>, name: &str) -> Result<T, String> {
    field?.ok_or_else(|| format!("{name} is missing"))
}
