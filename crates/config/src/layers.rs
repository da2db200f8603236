//! Reads the layers of the configuration, merges them and validates the result.
use std::ops::Range;
use std::path::Path;

use figment::providers::{Env, Serialized};
use figment::value::{Dict, Map};
use figment::{Figment, Metadata, Profile, Provider};

use crate::check::{CheckContext, Violation, check};
use crate::effective::EffectiveConfig;
use crate::layer_names::{DEFAULT_LAYER, ENVIRONMENT_PREFIX, ENVIRONMENT_SEPARATOR, FLAG_LAYER, layer_label};
use crate::location::{position_of_byte, position_of_key};
use crate::problem::{InvalidConfig, Problem};
use crate::types::Config;

/// The name, without the prefix [`ENVIRONMENT_PREFIX`], of the environment variable that holds the path of
/// the configuration file. This variable sets no key of the configuration.
const FILE_VARIABLE: &str = "config";

/// One layer of the configuration. `name` is the name that figment, the library that merges the layers,
/// reports as the origin of the layer's values.
struct Layer {
    name: String,
    table: toml::Table,
}

impl Provider for Layer {
    fn metadata(&self) -> Metadata {
        Metadata::named(self.name.clone())
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        Serialized::defaults(&self.table).data()
    }
}

/// Reads and validates the configuration from its layers: the built-in defaults, the file if there is one,
/// the environment, and flags of the form `key=value`.
///
/// # Errors
/// Returns [`InvalidConfig`] with all problems and their locations. If the file cannot be read, that is the
/// only problem reported.
pub fn read(
    file: Option<&Path>,
    flags: &[String],
    context: &CheckContext,
) -> Result<EffectiveConfig, InvalidConfig> {
    let Some(path) = file else { return read_text(None, flags, context) };
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| InvalidConfig::without_key(&name, error))?;
    read_text(Some((&name, &text)), flags, context)
}

/// Reads and validates the configuration as [`read`] does, but takes the name and the text of the file
/// instead of opening the file.
///
/// # Errors
/// Returns [`InvalidConfig`] with all problems and their locations.
pub fn read_text(
    file: Option<(&str, &str)>,
    flags: &[String],
    context: &CheckContext,
) -> Result<EffectiveConfig, InvalidConfig> {
    let figment = merge_layers(file, flags)?;
    let config = figment.extract::<Config>().map_err(extraction_problems)?;
    let effective = EffectiveConfig::new(config, figment);
    let violations = check(&effective.config, context);
    if violations.is_empty() {
        return Ok(effective);
    }
    let located = |violation| locate(violation, &effective, file);
    Err(InvalidConfig { problems: violations.into_iter().map(located).collect() })
}

fn merge_layers(file: Option<(&str, &str)>, flags: &[String]) -> Result<Figment, InvalidConfig> {
    let defaults = toml::Table::try_from(Config::default())
        .map_err(|error| InvalidConfig::without_key("defaults", error))?;
    let mut figment = Figment::from(Layer { name: DEFAULT_LAYER.to_owned(), table: defaults });
    if let Some((name, text)) = file {
        // The file is validated before the merge, because errors found after the merge have no line numbers.
        let table = read_file(name, text)?;
        figment = figment.merge(Layer { name: name.to_owned(), table });
    }
    let environment = Env::prefixed(ENVIRONMENT_PREFIX).ignore(&[FILE_VARIABLE]);
    figment = figment.merge(environment.split(ENVIRONMENT_SEPARATOR));
    for flag in flags {
        figment = figment.merge(Layer { name: FLAG_LAYER.to_owned(), table: read_flag(flag)? });
    }
    Ok(figment)
}

/// Parses the text of the configuration file, and checks that the file has no unknown keys and that all its
/// values have the right types.
fn read_file(name: &str, text: &str) -> Result<toml::Table, InvalidConfig> {
    let invalid = |key: &str, error: &toml::de::Error| {
        let location = location_of_span(name, text, error.span());
        InvalidConfig::with_key(&location, key, error.message().replace('\n', ", "))
    };
    let deserializer = toml::Deserializer::parse(text).map_err(|error| invalid("", &error))?;
    serde_path_to_error::deserialize::<_, Config>(deserializer)
        .map_err(|error| invalid(&error.path().to_string(), error.inner()))?;
    let table: toml::Table = text.parse().map_err(|error| invalid("", &error))?;
    // An empty file is an error. A file may be empty for a moment while it is rewritten, and the scheduler
    // must not take the built-in defaults then.
    if table.is_empty() {
        let message = "sets no keys; omit the file to use the built-in defaults";
        return Err(InvalidConfig::without_key(name, message));
    }
    Ok(table)
}

fn location_of_span(name: &str, text: &str, span: Option<Range<usize>>) -> String {
    match span {
        Some(span) => format!("{name}:{}", position_of_byte(text, span.start)),
        None => name.to_owned(),
    }
}

/// Parses a command-line flag of the form `key=value`. A value that is not valid TOML is taken as a string.
fn read_flag(flag: &str) -> Result<toml::Table, InvalidConfig> {
    let invalid = |message: String| InvalidConfig::without_key(FLAG_LAYER, message);
    let (key, text) = flag.split_once('=').ok_or_else(|| invalid(format!("{flag:?} is not KEY=VALUE")))?;
    let mut value = read_flag_value(text);
    for part in key.trim().rsplit('.') {
        if part.is_empty() {
            return Err(invalid(format!("{key:?} is not a key")));
        }
        value = toml::Value::Table([(part.to_owned(), value)].into_iter().collect());
    }
    match value {
        toml::Value::Table(table) => Ok(table),
        _ => Err(invalid(format!("{key:?} is not a key"))),
    }
}

fn read_flag_value(text: &str) -> toml::Value {
    // The TOML parser reads only whole documents, so the text after the `=` of a flag is parsed as the value
    // of a key. If the text has line breaks, its further lines may parse as other keys. A text that yields
    // more than one key, or that does not parse, is taken as a string.
    let document = format!("value = {text}").parse::<toml::Table>().ok().filter(|table| table.len() == 1);
    let value = document.and_then(|mut table| table.remove("value"));
    value.unwrap_or_else(|| toml::Value::String(text.to_owned()))
}

/// Converts the errors that figment reports for the merged values to an [`InvalidConfig`].
fn extraction_problems(errors: figment::Error) -> InvalidConfig {
    let problem = |error: figment::Error| {
        let layer = error.metadata.as_ref().map_or("configuration", |metadata| &metadata.name);
        let key = error.path.join(".");
        let message = error.kind.to_string().replace('`', "");
        Problem { location: layer_label(layer, &key), key, message }
    };
    InvalidConfig { problems: errors.into_iter().map(problem).collect() }
}

/// Adds to an invalid value the location where it was set: its origin and, if the origin is the configuration
/// file, the line and column.
fn locate(violation: Violation, effective: &EffectiveConfig, file: Option<(&str, &str)>) -> Problem {
    let Violation { key, message } = violation;
    let origin = effective.origin(&key);
    let text = file.filter(|(name, _)| *name == origin).map(|(_, text)| text);
    let location = match text.and_then(|text| position_of_key(text, &key)) {
        Some(position) => format!("{origin}:{position}"),
        None => origin,
    };
    Problem { location, key, message }
}
