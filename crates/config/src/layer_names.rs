//! The names of the layers, and their labels in messages.

/// The name of the layer with the built-in defaults.
pub(crate) const DEFAULT_LAYER: &str = "default";
/// The name of the layers that come from flags.
pub(crate) const FLAG_LAYER: &str = "flag --set";
/// The prefix of the environment variables.
pub(crate) const ENVIRONMENT_PREFIX: &str = "COPPERSPREAD_";
/// The separator of tables and keys in a variable's name, in place of the dot.
pub(crate) const ENVIRONMENT_SEPARATOR: &str = "__";

/// The label of a layer that sets `key`, for messages. figment's own name of the environment's layer lacks
/// the variable, which is added here.
pub(crate) fn layer_label(layer: &str, key: &str) -> String {
    if !layer.contains(ENVIRONMENT_PREFIX) {
        return layer.to_owned();
    }
    let variable = key.to_uppercase().replace('.', ENVIRONMENT_SEPARATOR);
    format!("environment {ENVIRONMENT_PREFIX}{variable}")
}
