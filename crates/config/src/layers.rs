//! The layers of a configuration, merged, with the origin of each value.
use std::fmt;
use std::path::Path;

use figment::providers::{Env, Serialized};
use figment::value::{Dict, Map};
use figment::{Figment, Metadata, Profile, Provider};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::check::{Surroundings, check};
use crate::types::Config;

/// One thing that is wrong: where, with which key, and what would be right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file with line and column, the variable or the flag.
    pub place: String,
    /// The key, dotted; empty where none could be told.
    pub key: String,
    /// What is wrong, in words.
    pub what: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.key {
            "" | "." => write!(f, "{}: {}", self.place, self.what),
            key => write!(f, "{}: {key}: {}", self.place, self.what),
        }
    }
}

/// All that is wrong with a configuration; there is at least one thing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, problem) in self.0.iter().enumerate() {
            write!(f, "{}{problem}", if number == 0 { "" } else { "\n" })?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}

/// A configuration in force, and where its values came from.
#[derive(Clone, Debug)]
pub struct Effective {
    /// The values.
    pub config: Config,
    figment: Figment,
}

/// One layer under a name of ours.
struct Layer {
    name: String,
    data: toml::Table,
}

impl Provider for Layer {
    fn metadata(&self) -> Metadata {
        Metadata::named(self.name.clone())
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        Serialized::defaults(&self.data).data()
    }
}

const DEFAULT: &str = "default";
const FLAG: &str = "flag --set";
/// The environment's variables begin with this; `__` stands between a table and its key.
const PREFIX: &str = "COPPERSPREAD_";

/// Reads the layers: the defaults, a file if one is named, the environment, and flags of the form
/// `key=value`.
///
/// # Errors
/// All that is wrong, each with its place. A file that cannot be read is one problem.
pub fn read(file: Option<&Path>, flags: &[String], around: &Surroundings) -> Result<Effective, Problems> {
    let text = match file {
        None => None,
        Some(path) => Some(std::fs::read_to_string(path).map_err(|error| {
            let place = path.display().to_string();
            Problems(vec![Problem { place, key: String::new(), what: error.to_string() }])
        })?),
    };
    let name = file.map(|path| path.display().to_string());
    read_text(name.as_deref().zip(text.as_deref()), flags, around)
}

/// Reads the layers with a file's name and text.
///
/// # Errors
/// As [`read`].
pub fn read_text(
    file: Option<(&str, &str)>,
    flags: &[String],
    around: &Surroundings,
) -> Result<Effective, Problems> {
    let defaults = toml::Table::try_from(Config::default()).map_err(|error| bare("defaults", &error))?;
    let mut figment = Figment::from(Layer { name: DEFAULT.into(), data: defaults });
    if let Some((name, text)) = file {
        // Read alone first: only here do errors know their line.
        let table = read_file(name, text)?;
        figment = figment.merge(Layer { name: name.into(), data: table });
    }
    // The variable that names the file is no value.
    figment = figment.merge(Env::prefixed(PREFIX).ignore(&["config"]).split("__"));
    for flag in flags {
        figment = figment.merge(Layer { name: FLAG.into(), data: read_flag(flag)? });
    }
    let config = figment.extract::<Config>().map_err(|errors| {
        Problems(
            errors
                .into_iter()
                .map(|error| {
                    let name = error.metadata.as_ref().map_or("configuration", |of| &of.name);
                    let key = error.path.join(".");
                    let what = error.kind.to_string().replace('`', "");
                    Problem { place: place_of(name, &key), key, what }
                })
                .collect(),
        )
    })?;
    let effective = Effective { config, figment };
    let found = check(&effective.config, around);
    if found.is_empty() {
        return Ok(effective);
    }
    let place = |key: &str| {
        let origin = effective.origin(key);
        match file.filter(|(name, _)| *name == origin).and_then(|(_, text)| line_of(text, key)) {
            Some((line, column)) => format!("{origin}:{line}:{column}"),
            None => origin,
        }
    };
    let problem = |(key, what): (String, String)| Problem { place: place(&key), key, what };
    Err(Problems(found.into_iter().map(problem).collect()))
}

fn bare(place: &str, error: &dyn fmt::Display) -> Problems {
    Problems(vec![Problem { place: place.into(), key: String::new(), what: error.to_string() }])
}

/// A file's own values, of the right types and with no unknown keys.
fn read_file(name: &str, text: &str) -> Result<toml::Table, Problems> {
    let at = |span: Option<std::ops::Range<usize>>| match span {
        Some(span) => {
            let (line, column) = position(text, span.start);
            format!("{name}:{line}:{column}")
        }
        None => name.to_owned(),
    };
    let plain = |error: &toml::de::Error| {
        let (place, what) = (at(error.span()), error.message().replace('\n', ", "));
        Problems(vec![Problem { place, key: String::new(), what }])
    };
    let reader = toml::Deserializer::parse(text).map_err(|error| plain(&error))?;
    if let Err(error) = serde_path_to_error::deserialize::<_, Config>(reader) {
        let (key, inner) = (error.path().to_string(), error.into_inner());
        let mut problems = plain(&inner);
        problems.0[0].key = key;
        return Err(problems);
    }
    let table: toml::Table = text.parse().map_err(|error| plain(&error))?;
    // Guards against a file that is being written anew: cut to nothing, it would stand for the default.
    if table.is_empty() {
        return Err(bare(name, &"sets nothing; leave the file out to serve by the built-in default"));
    }
    Ok(table)
}

/// A flag `key=value`: the value as TOML, or else as the text that it is.
fn read_flag(flag: &str) -> Result<toml::Table, Problems> {
    let (key, value) =
        flag.split_once('=').ok_or_else(|| bare(FLAG, &format!("{flag:?} is not KEY=VALUE")))?;
    let read = format!("value = {value}").parse::<toml::Table>().ok().filter(|read| read.len() == 1);
    let read = read.and_then(|mut read| read.remove("value"));
    let mut value = read.unwrap_or_else(|| toml::Value::String(value.into()));
    for part in key.trim().rsplit('.') {
        if part.is_empty() {
            return Err(bare(FLAG, &format!("{key:?} is no key")));
        }
        value = toml::Value::Table([(part.to_owned(), value)].into_iter().collect());
    }
    match value {
        toml::Value::Table(table) => Ok(table),
        _ => Err(bare(FLAG, &format!("{key:?} is no key"))),
    }
}

/// A layer's name, in our words: the library names the environment's in its own.
fn place_of(layer: &str, key: &str) -> String {
    if layer.contains(PREFIX) {
        return format!("environment {PREFIX}{}", key.to_uppercase().replace('.', "__"));
    }
    layer.to_owned()
}

/// Line and column of a byte, both from 1.
fn position(text: &str, byte: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..byte.min(text.len())];
    let line = before.iter().filter(|&&byte| byte == b'\n').count() + 1;
    let start = before.iter().rposition(|&byte| byte == b'\n').map_or(0, |at| at + 1);
    (line, String::from_utf8_lossy(&before[start..]).chars().count() + 1)
}

/// Where a file sets a key such as `classes[1].aim`, or the closest table around it.
fn line_of(text: &str, key: &str) -> Option<(usize, usize)> {
    let table = DeTable::parse(text).ok()?;
    let mut span = None;
    let mut here: Option<&DeValue<'_>> = None;
    for part in key.split(['.', '[', ']']).filter(|part| !part.is_empty()) {
        let next: &Spanned<DeValue<'_>> = match here {
            None => match table.get_ref().get(part) {
                Some(next) => next,
                None => break,
            },
            Some(DeValue::Table(inner)) => match inner.get(part) {
                Some(next) => next,
                None => break,
            },
            Some(DeValue::Array(inner)) => match part.parse().ok().and_then(|at: usize| inner.get(at)) {
                Some(next) => next,
                None => break,
            },
            Some(_) => break,
        };
        span = Some(next.span());
        here = Some(next.get_ref());
    }
    span.map(|span| position(text, span.start))
}

impl Effective {
    /// Where a value came from, by its key: `default`, the file's name, `environment` or `flag --set`.
    pub fn origin(&self, key: &str) -> String {
        // Lists are of one origin as a whole.
        let mut key = key.split('[').next().unwrap_or_default();
        loop {
            if let Some(found) = self.figment.find_metadata(key) {
                return place_of(&found.name, key);
            }
            match key.rsplit_once('.') {
                Some((table, _)) => key = table,
                None => return DEFAULT.into(),
            }
        }
    }

    /// The values in force, a line each: key, value and origin.
    pub fn listing(&self) -> String {
        fn walk(prefix: &str, value: &toml::Value, lines: &mut Vec<(String, String)>) {
            match value {
                toml::Value::Table(table) => {
                    for (name, value) in table {
                        let dot = if prefix.is_empty() { "" } else { "." };
                        walk(&format!("{prefix}{dot}{name}"), value, lines);
                    }
                }
                toml::Value::Array(list) if list.iter().any(toml::Value::is_table) => {
                    for (number, value) in list.iter().enumerate() {
                        walk(&format!("{prefix}[{number}]"), value, lines);
                    }
                }
                value => lines.push((prefix.to_owned(), value.to_string())),
            }
        }
        let mut lines = Vec::new();
        if let Ok(value) = toml::Value::try_from(&self.config) {
            walk("", &value, &mut lines);
        }
        let widest = lines.iter().map(|(key, value)| key.len() + value.len() + 3).max().unwrap_or(0);
        let mut text = String::new();
        for (key, value) in lines {
            let set = format!("{key} = {value}");
            text += &format!("{set:widest$}  # {}\n", self.origin(&key));
        }
        text
    }
}
