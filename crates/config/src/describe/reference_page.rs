//! Generates docs/configuration.md, the reference page of the configuration.
use serde_json::{Map, Value};

use super::schema::{description, is_required, is_table, schema, type_name};
use crate::types::{Class, Config, Worker, WorkerPhase};

const PREFACE: &str = "\
# Configuration

Generated from the program's types by `copperspread-scheduler config page`; a test fails when it is
out of date. How to use it is described in [operating.md](operating.md).

Each value comes from the last of these layers that sets it: the built-in defaults, the file (TOML), the
environment, flags. A variable's name is `COPPERSPREAD_` and the key in capitals with `__` for each
dot: `COPPERSPREAD_LIMITS__MEMORY=\"64 MB\"`. A flag is `--set limits.memory=\"64 MB\"`. A list is set
as a whole. Unknown keys are an error.

A `span` is a duration, such as `\"250ms\"` or `\"1m 30s\"`; a `size` is a number of bytes, such as
`\"192 MB\"` or `\"64 KiB\"`.
";

const TABLE_HEAD: &str = "| key | type | default | meaning |\n| --- | --- | --- | --- |\n";

/// Returns the reference page as Markdown, with a section for each table of the configuration.
pub fn reference_page() -> String {
    let mut page = String::from(PREFACE);
    let defaults = serde_json::to_value(Config::default()).unwrap_or_default();
    add_section("", &schema(), &defaults, &mut page);
    page
}

/// Adds a section for a table of the schema to the page, then sections for the tables in that table.
fn add_section(path: &str, schema: &Value, defaults: &Value, page: &mut String) {
    let Some(properties) = schema["properties"].as_object() else { return };
    add_keys(path, schema, properties, defaults, page);
    for (name, property) in properties {
        let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        if is_table(property) {
            add_section(&path, property, &defaults[name], page);
        } else if is_table(&property["items"]) {
            let items = &property["items"];
            add_section(&format!("{path}[]"), items, &item_defaults(&path, items), page);
        }
    }
}

/// Adds a section to the page that lists those keys of a table whose values are not tables. Adds nothing if
/// all values are tables.
fn add_keys(
    path: &str,
    schema: &Value,
    properties: &Map<String, Value>,
    defaults: &Value,
    page: &mut String,
) {
    if properties.values().all(is_table) {
        return;
    }
    let title = if path.is_empty() { "Top level".to_owned() } else { format!("`{path}`") };
    let introduction = description(schema).replace('\n', " ");
    *page += &format!("\n## {title}\n\n{introduction}\n\n{TABLE_HEAD}");
    for (name, property) in properties.iter().filter(|(_, property)| !is_table(property)) {
        let default = default_cell(&defaults[name], is_required(schema, name));
        let meaning = description(property).replace('\n', " ").replace('|', "\\|");
        let type_name = type_name(property);
        *page += &format!("| `{name}` | {type_name} | {default} | {meaning}{} |\n", choices(property));
    }
}

fn default_cell(default: &Value, is_required: bool) -> String {
    match default {
        Value::Null if is_required => "required".to_owned(),
        Value::Null => "absent".to_owned(),
        Value::Array(items) if items.iter().any(Value::is_object) => "see below".to_owned(),
        value => format!("`{value}`"),
    }
}

/// Returns the default values of an item of a list of tables. `path` is the key of the list, such as
/// `classes`. Each required key of the item is null, because it has no default.
fn item_defaults(path: &str, schema: &Value) -> Value {
    let item = match path {
        "classes" => serde_json::to_value(Class::default()),
        _ => serde_json::to_value(worker_defaults()),
    };
    let mut defaults = item.unwrap_or_default();
    for name in schema["required"].as_array().into_iter().flatten() {
        defaults[name.as_str().unwrap_or_default()] = Value::Null;
    }
    defaults
}

fn worker_defaults() -> Worker {
    Worker {
        id: String::new(),
        address: String::new(),
        zone: String::new(),
        kind: String::new(),
        cell: 0,
        state: WorkerPhase::default(),
    }
}

/// Returns a text that lists the possible values of a choice with their descriptions. A choice is a type with
/// a fixed set of values. For any other type, the text is empty.
fn choices(schema: &Value) -> String {
    let Some(alternatives) = schema["oneOf"].as_array() else { return String::new() };
    let describe = |choice: &Value| {
        let name = choice["const"].as_str().unwrap_or_default();
        format!("`{name}`: {}", description(choice).trim_end_matches('.'))
    };
    format!(" {}.", alternatives.iter().map(describe).collect::<Vec<_>>().join("; "))
}
