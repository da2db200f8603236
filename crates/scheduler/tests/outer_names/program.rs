//! Collects outer names from the output of the program: configuration keys and values, commands, flags and
//! environment variables.
use std::collections::BTreeSet;

use assert_cmd::Command;
use serde_json::Value;

use crate::OuterName;

const CRATE_NAME: &str = "scheduler";
/// Terminal width at which no line of the help text is wrapped.
const TERMINAL_COLUMNS: &str = "10000";

fn program_output(arguments: &[&str]) -> String {
    let mut program = Command::new(env!("CARGO_BIN_EXE_copperspread-scheduler"));
    program.env_clear().env("COLUMNS", TERMINAL_COLUMNS).args(arguments);
    let output = program.output().expect("the program runs");
    String::from_utf8(output.stdout).expect("the output is UTF-8")
}

/// Returns the keys and the enumerated or constant values in the JSON schema of the configuration.
pub(crate) fn from_schema() -> BTreeSet<OuterName> {
    let schema = serde_json::from_str(&program_output(&["config", "schema"])).expect("the schema is JSON");
    let mut names = BTreeSet::new();
    add_schema_names(&schema, "", &mut names);
    assert!(!names.is_empty(), "no configuration key found in the schema");
    names
}

fn add_schema_names(schema: &Value, path: &str, names: &mut BTreeSet<OuterName>) {
    match schema {
        Value::Object(object) => {
            for (key, value) in object {
                match (key.as_str(), value) {
                    ("properties", Value::Object(properties)) => add_properties(properties, path, names),
                    ("enum", Value::Array(values)) => add_values(values, path, names),
                    ("const", value) => add_values(std::slice::from_ref(value), path, names),
                    ("$defs", Value::Object(definitions)) => {
                        for (name, definition) in definitions {
                            add_schema_names(definition, &format!("{name}:"), names);
                        }
                    }
                    ("default", _) => {}
                    _ => add_schema_names(value, path, names),
                }
            }
        }
        Value::Array(items) => items.iter().for_each(|item| add_schema_names(item, path, names)),
        _ => {}
    }
}

fn add_properties(properties: &serde_json::Map<String, Value>, path: &str, names: &mut BTreeSet<OuterName>) {
    for (name, schema) in properties {
        let key = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
        add_schema_names(schema, &key, names);
        names.insert(OuterName::new("configuration key", key, CRATE_NAME));
    }
}

fn add_values(values: &[Value], path: &str, names: &mut BTreeSet<OuterName>) {
    let texts = values.iter().filter_map(Value::as_str);
    names.extend(
        texts.map(|value| OuterName::new("configuration value", format!("{path} = {value}"), CRATE_NAME)),
    );
}

/// Returns the commands, flags and environment variables in the help of the program and of each command.
pub(crate) fn from_help() -> BTreeSet<OuterName> {
    let mut names = BTreeSet::new();
    let mut pending_commands: Vec<Vec<String>> = vec![Vec::new()];
    while let Some(command) = pending_commands.pop() {
        let arguments: Vec<&str> = command.iter().map(String::as_str).chain(["--help"]).collect();
        let help = program_output(&arguments);
        for subcommand in subcommands(&help) {
            let path = [command.clone(), vec![subcommand]].concat();
            names.insert(OuterName::new("command", path.join(" "), CRATE_NAME));
            pending_commands.push(path);
        }
        let prefix = command.join(" ");
        names.extend(flags(&help).map(|flag| OuterName::new("flag", format!("{prefix} {flag}"), CRATE_NAME)));
        names.extend(
            environment_variables(&help).map(|name| OuterName::new("environment variable", name, CRATE_NAME)),
        );
    }
    names
}

fn subcommands(help: &str) -> Vec<String> {
    let lines = help.lines().skip_while(|line| *line != "Commands:").skip(1);
    let names = lines.take_while(|line| !line.is_empty()).filter_map(|line| line.split_whitespace().next());
    names.filter(|name| *name != "help").map(str::to_owned).collect()
}

/// Returns the flags at the start of the option lines of a help text.
fn flags(help: &str) -> impl Iterator<Item = &str> {
    let lines = help.lines().map(str::trim_start).filter(|line| line.starts_with('-'));
    lines
        .flat_map(|line| line.split("  ").next().unwrap_or_default().split([' ', ',']))
        .filter(|word| word.starts_with('-'))
}

fn environment_variables(help: &str) -> impl Iterator<Item = &str> {
    help.split("[env: ").skip(1).filter_map(|rest| rest.split(['=', ']']).next())
}
