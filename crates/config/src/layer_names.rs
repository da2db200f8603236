//! The names of the configuration layers, and the labels that messages show for the layers.

/// The name of the configuration layer that holds the built-in defaults.
pub(crate) const DEFAULT_LAYER: &str = "default";
/// The name of the configuration layers that come from `--set` flags.
pub(crate) const FLAG_LAYER: &str = "flag --set";
/// The prefix of the names of all environment variables that configure the scheduler.
pub(crate) const ENVIRONMENT_PREFIX: &str = "COPPERSPREAD_";
/// The separator that replaces the dot of a key in the name of an environment variable.
pub(crate) const ENVIRONMENT_SEPARATOR: &str = "__";

/// Returns the label that messages show for the configuration layer that sets `key`. For the environment, the
/// label includes the name of the variable, which figment's own name of the layer lacks.
pub(crate) fn layer_label(layer: &str, key: &str) -> String {
    if !layer.contains(ENVIRONMENT_PREFIX) {
        return layer.to_owned();
    }
    let variable = key.to_uppercase().replace('.', ENVIRONMENT_SEPARATOR);
    format!("environment {ENVIRONMENT_PREFIX}{variable}")
}
