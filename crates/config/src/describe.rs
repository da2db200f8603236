//! The schema, the commented default and the reference page, all made from the types.
use schemars::generate::SchemaSettings;
use serde_json::Value;

use crate::types::{Class, Config, Worker};

/// The configuration's JSON Schema.
pub fn schema() -> Value {
    let settings = SchemaSettings::draft2020_12().with(|settings| settings.inline_subschemas = true);
    settings.into_generator().into_root_schema_for::<Config>().to_value()
}

/// The built-in default as a file, with a comment before each value.
///
/// # Errors
/// A default that is no TOML, which would be a fault of this program.
pub fn commented_default() -> Result<String, String> {
    let plain = toml::to_string(&Config::default()).map_err(|e| e.to_string())?;
    let mut document: toml_edit::DocumentMut =
        plain.parse().map_err(|e: toml_edit::TomlError| e.to_string())?;
    let schema = schema();
    comment(document.as_table_mut(), &schema);
    Ok(format!(
        "# The built-in default of copperspread. Each key may be left out.\n\n{}",
        document.to_string().trim_start()
    ))
}

fn described(schema: &Value) -> &str {
    schema["description"].as_str().unwrap_or_default()
}

fn as_comment(text: &str) -> String {
    text.lines().map(|line| format!("# {line}\n")).collect()
}

fn comment(table: &mut toml_edit::Table, schema: &Value) {
    for (mut key, item) in table.iter_mut() {
        let schema = &schema["properties"][key.get()];
        match item {
            toml_edit::Item::Table(inner) => {
                inner.decor_mut().set_prefix(format!("\n{}", as_comment(described(schema))));
                comment(inner, schema);
            }
            toml_edit::Item::ArrayOfTables(list) => {
                for (number, inner) in list.iter_mut().enumerate() {
                    // Said once, before the first.
                    if number == 0 {
                        inner.decor_mut().set_prefix(format!("\n{}", as_comment(described(schema))));
                        comment(inner, &schema["items"]);
                    }
                }
            }
            _ => key.leaf_decor_mut().set_prefix(as_comment(described(schema))),
        }
    }
}

/// The page docs/configuration.md.
pub fn page() -> String {
    let schema = schema();
    let mut page = String::from(PREFACE);
    let defaults = serde_json::to_value(Config::default()).unwrap_or_default();
    section("", &schema, &defaults, &mut page);
    page
}

const PREFACE: &str = "\
# Configuration

Made from the program's types by `copperspread-scheduler config page`; a test fails when it is stale. How to
work with it is in [operating.md](operating.md).

Each value comes from the last of these that sets it: the built-in default, the file (TOML), the
environment, flags. A variable's name is `COPPERSPREAD_` and the key in capitals with `__` for each
dot: `COPPERSPREAD_LIMITS__MEMORY=\"64 MB\"`. A flag is `--set limits.memory=\"64 MB\"`. A list is set
as a whole. Unknown keys are refused.

Spans of time are texts such as `\"250ms\"` or `\"1m 30s\"`, sizes such as `\"192 MB\"` or `\"64 KiB\"`.
";

/// One table of the schema: its own keys, then the tables in it.
fn section(prefix: &str, schema: &Value, defaults: &Value, page: &mut String) {
    let Some(properties) = schema["properties"].as_object() else { return };
    let title = if prefix.is_empty() { "Top level".to_owned() } else { format!("`{prefix}`") };
    let text = described(schema).replace('\n', " ");
    let own: Vec<_> = properties.iter().filter(|(_, of)| !is_table(of)).collect();
    if !own.is_empty() {
        *page += &format!(
            "\n## {title}\n\n{text}\n\n| key | type | default | meaning |\n| --- | --- | --- | --- |\n"
        );
        for (name, of) in own {
            let default = match &defaults[name] {
                Value::Null if required(schema, name) => "required".to_owned(),
                Value::Null => "absent".to_owned(),
                Value::Array(list) if list.iter().any(Value::is_object) => "see below".to_owned(),
                value => format!("`{value}`"),
            };
            let text = described(of).replace('\n', " ").replace('|', "\\|");
            *page += &format!("| `{name}` | {} | {default} | {text}{} |\n", kind(of), choices(of));
        }
    }
    for (name, of) in properties {
        let path = if prefix.is_empty() { name.clone() } else { format!("{prefix}.{name}") };
        if is_table(of) {
            section(&path, of, &defaults[name], page);
        } else if is_table(&of["items"]) {
            let one = match &*path {
                "classes" => serde_json::to_value(Class::default()),
                _ => serde_json::to_value(Worker {
                    id: String::new(),
                    address: String::new(),
                    zone: String::new(),
                    kind: String::new(),
                    cell: 0,
                    state: Default::default(),
                }),
            };
            let mut one = one.unwrap_or_default();
            for name in of["items"]["required"].as_array().into_iter().flatten() {
                one[name.as_str().unwrap_or_default()] = Value::Null;
            }
            section(&format!("{path}[]"), &of["items"], &one, page);
        }
    }
}

fn required(schema: &Value, name: &str) -> bool {
    schema["required"].as_array().is_some_and(|names| names.iter().any(|known| known == name))
}

fn is_table(schema: &Value) -> bool {
    schema["properties"].is_object()
}

fn kind(schema: &Value) -> String {
    if schema["oneOf"].is_array() {
        return "choice".into();
    }
    match (&schema["format"], &schema["type"]) {
        (Value::String(format), _) if ["span", "size"].contains(&&**format) => format.clone(),
        (_, Value::String(kind)) if kind == "array" => format!("list of {}", kind_of_items(schema)),
        (_, Value::String(kind)) => kind.clone(),
        (_, Value::Array(kinds)) => {
            kinds.iter().filter_map(Value::as_str).find(|&kind| kind != "null").unwrap_or("any").to_owned()
        }
        // An optional value: the first alternative that is not null.
        _ => schema["anyOf"].as_array().and_then(|of| of.first()).map_or("any".into(), kind),
    }
}

fn kind_of_items(schema: &Value) -> String {
    if is_table(&schema["items"]) { "tables".into() } else { kind(&schema["items"]) }
}

/// The names that a choice has, each with its meaning.
fn choices(schema: &Value) -> String {
    let Some(of) = schema["oneOf"].as_array() else { return String::new() };
    let one = |choice: &Value| {
        let name = choice["const"].as_str().unwrap_or_default();
        format!("`{name}`: {}", described(choice).trim_end_matches('.'))
    };
    format!(" {}.", of.iter().map(one).collect::<Vec<_>>().join("; "))
}
