//! The `config` command, which prints the JSON Schema, the default file or the reference page of the
//! configuration.
use super::error::CommandError;
use super::output::print;
use crate::cli::ConfigDescription;

/// Prints the JSON Schema of the configuration, its default file with comments, or its reference page. `what`
/// selects one of them.
///
/// # Errors
/// Fails if the selected text cannot be generated or the output cannot be written.
pub(super) fn print_description(what: &ConfigDescription) -> Result<(), CommandError> {
    match what {
        ConfigDescription::Schema => print(&schema()?),
        ConfigDescription::Default => print(&default_file()?),
        ConfigDescription::Page => print(&copperspread_config::reference_page()),
    }
}

fn schema() -> Result<String, CommandError> {
    Ok(serde_json::to_string_pretty(&copperspread_config::schema())? + "\n")
}

fn default_file() -> Result<String, CommandError> {
    copperspread_config::commented_default().map_err(|error| CommandError::Description(error.into()))
}
