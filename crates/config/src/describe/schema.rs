//! Generates the JSON Schema of the configuration, and reads the parts of the schema that the other
//! generators need.
use schemars::generate::SchemaSettings;
use serde_json::Value;

use crate::types::Config;

/// Returns the JSON Schema of the configuration.
pub fn schema() -> Value {
    let settings = SchemaSettings::draft2020_12().with(|settings| settings.inline_subschemas = true);
    settings.into_generator().into_root_schema_for::<Config>().to_value()
}

/// Returns the description that a JSON Schema contains, or an empty text if it contains none. `schema` is the
/// part of the configuration's schema for one key, one table or one value of a choice. A choice is a type
/// with a fixed set of values.
pub(super) fn description(schema: &Value) -> &str {
    schema["description"].as_str().unwrap_or_default()
}

/// Returns whether the schema of a table lists the key `name` as required.
pub(super) fn is_required(schema: &Value, name: &str) -> bool {
    schema["required"].as_array().is_some_and(|names| names.iter().any(|required| required == name))
}

/// Returns whether a schema describes a table of the configuration.
pub(super) fn is_table(schema: &Value) -> bool {
    schema["properties"].is_object()
}

/// Returns the name that the reference page shows for the type of a value, such as `span` or `list of
/// tables`.
pub(super) fn type_name(schema: &Value) -> String {
    if schema["oneOf"].is_array() {
        return "choice".into();
    }
    match (&schema["format"], &schema["type"]) {
        (Value::String(format), _) if ["span", "size"].contains(&format.as_str()) => format.clone(),
        (_, Value::String(name)) if name == "array" => format!("list of {}", item_type_name(schema)),
        (_, Value::String(name)) => name.clone(),
        (_, Value::Array(names)) => {
            names.iter().filter_map(Value::as_str).find(|&name| name != "null").unwrap_or("any").to_owned()
        }
        // The schema of an optional value has two alternatives: first the type of the value, then null.
        _ => {
            let alternatives = schema["anyOf"].as_array();
            alternatives.and_then(|schemas| schemas.first()).map_or("any".into(), type_name)
        }
    }
}

fn item_type_name(schema: &Value) -> String {
    if is_table(&schema["items"]) { "tables".into() } else { type_name(&schema["items"]) }
}
