//! What the program does with configurations of its own, apart from serving by them.
use std::io::Write;
use std::path::Path;

use copperspread_config::{Effective, LogFormat, Surroundings};
use rustix::process::{Resource, getrlimit};

use crate::logging::{self, LogSpec};
use crate::origin::{Told, of_platform_file};

/// The bounds that this process has from outside.
fn around() -> Surroundings {
    Surroundings { descriptors: getrlimit(Resource::Nofile).current }
}

fn effective(file: Option<&Path>, flags: &[String]) -> Result<(Effective, LogSpec), String> {
    let effective = copperspread_config::read(file, flags, &around()).map_err(|e| e.to_string())?;
    let log = LogSpec {
        level: effective.config.log.level.clone(),
        json: match effective.config.log.format {
            LogFormat::Auto => None,
            LogFormat::Text => Some(false),
            LogFormat::Json => Some(true),
        },
    };
    logging::level(&log.level)
        .map_err(|why| format!("{}: log.level: {why}", effective.origin("log.level")))?;
    Ok((effective, log))
}

/// Reads the layers of a configuration.
///
/// # Errors
/// All that is wrong, a line each.
pub fn read(file: Option<&Path>, flags: &[String], seed: u64) -> Result<Told, String> {
    let (effective, log) = effective(file, flags)?;
    Ok(Told { start: effective.config.start(seed)?, log })
}

/// Checks a configuration and prints what is in force.
///
/// # Errors
/// All that is wrong, a line each.
pub fn check(file: Option<&Path>, flags: &[String]) -> Result<(), String> {
    if let Some(path) = file.filter(|path| path.extension().is_some_and(|of| of == "json")) {
        if !flags.is_empty() {
            return Err("--set goes with TOML; the platform's JSON has no layers".into());
        }
        let start = of_platform_file(path)?;
        let known = start.known.as_ref().map_or(0, |list| list.members.len());
        let classes = start.given.node.classes.join(", ");
        return print(&format!(
            "{}: good, the platform's form: {} listens on {}; classes {classes}; {known} service entries known\n",
            path.display(),
            start.name,
            start.listen,
        ));
    }
    let (effective, _) = effective(file, flags)?;
    effective.config.start(0)?;
    print(&effective.listing())
}

/// The JSON Schema of the configuration.
///
/// # Errors
/// None that is known of.
pub fn schema() -> Result<String, String> {
    serde_json::to_string_pretty(&copperspread_config::schema())
        .map(|text| text + "\n")
        .map_err(|e| e.to_string())
}

/// The built-in default.
///
/// # Errors
/// A fault of this program.
pub fn default() -> Result<String, String> {
    copperspread_config::commented_default()
}

/// Prints to standard output. Guards against a reader that has gone, as `head` does.
///
/// # Errors
/// An output that cannot be written for another cause.
pub fn print(text: &str) -> Result<(), String> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != std::io::ErrorKind::BrokenPipe => {
            Err(format!("standard output: {error}"))
        }
        _ => Ok(()),
    }
}
