//! The effective configuration: the merged values of all configuration layers (built-in defaults, file,
//! environment and flags), with the origin of each value.
use figment::Figment;

use crate::layer_names::{DEFAULT_LAYER, layer_label};
use crate::types::Config;

/// The merged and validated configuration, with the origin of each value.
#[derive(Clone, Debug)]
pub struct EffectiveConfig {
    /// The merged values of all configuration layers: built-in defaults, file, environment and flags.
    pub config: Config,
    figment: Figment,
}

/// One value in the text that [`EffectiveConfig::listing`] returns: the full key, and the value as TOML.
struct ListedValue {
    key: String,
    value: String,
}

impl EffectiveConfig {
    pub(crate) fn new(config: Config, figment: Figment) -> EffectiveConfig {
        EffectiveConfig { config, figment }
    }

    /// Returns the origin of a key's value: `default`, the name of the configuration file, `environment` with
    /// the name of the variable, or `flag --set`.
    pub fn origin(&self, key: &str) -> String {
        // All items of a list have the origin of the list, because a layer can set a list only as a whole.
        let mut key = key.split('[').next().unwrap_or_default();
        loop {
            if let Some(metadata) = self.figment.find_metadata(key) {
                return layer_label(&metadata.name, key);
            }
            match key.rsplit_once('.') {
                Some((table, _)) => key = table,
                None => return DEFAULT_LAYER.to_owned(),
            }
        }
    }

    /// Returns the effective values as text. Each value has a line with its key and its origin.
    pub fn listing(&self) -> String {
        let mut values = Vec::new();
        if let Ok(config) = toml::Value::try_from(&self.config) {
            list_values("", &config, &mut values);
        }
        let separator = " = ";
        let width = |listed: &ListedValue| listed.key.len() + separator.len() + listed.value.len();
        let widest = values.iter().map(width).max().unwrap_or(0);
        let mut listing = String::new();
        for ListedValue { key, value } in values {
            let assignment = format!("{key}{separator}{value}");
            listing += &format!("{assignment:widest$}  # {}\n", self.origin(&key));
        }
        listing
    }
}

/// Appends a configuration value to `values`, with `prefix` as its full key. If the value is a table or a
/// list of tables, appends the values within it instead, each under its own full key.
fn list_values(prefix: &str, value: &toml::Value, values: &mut Vec<ListedValue>) {
    match value {
        toml::Value::Table(table) => {
            let separator = if prefix.is_empty() { "" } else { "." };
            for (name, value) in table {
                list_values(&format!("{prefix}{separator}{name}"), value, values);
            }
        }
        toml::Value::Array(items) if items.iter().any(toml::Value::is_table) => {
            for (index, item) in items.iter().enumerate() {
                list_values(&format!("{prefix}[{index}]"), item, values);
            }
        }
        value => values.push(ListedValue { key: prefix.to_owned(), value: value.to_string() }),
    }
}
