//! The names under which the layers are merged, and how people are shown them.

/// The name of the layer with the built-in default.
pub(crate) const DEFAULT_LAYER: &str = "default";
/// The name of the layers that flags set.
pub(crate) const FLAG_LAYER: &str = "flag --set";
/// The environment's variables begin with this.
pub(crate) const ENVIRONMENT_PREFIX: &str = "COPPERSPREAD_";
/// Stands between a table and its key in a variable's name.
pub(crate) const ENVIRONMENT_SEPARATOR: &str = "__";

/// The name of a layer that sets `key`, for people. figment names the environment's layer in its own
/// way, which does not tell the variable.
pub(crate) fn layer_label(layer: &str, key: &str) -> String {
    if !layer.contains(ENVIRONMENT_PREFIX) {
        return layer.to_owned();
    }
    let variable = key.to_uppercase().replace('.', ENVIRONMENT_SEPARATOR);
    format!("environment {ENVIRONMENT_PREFIX}{variable}")
}
