//! Inputs of the checks that are not part of the configuration.
use std::error::Error;
use std::path::Path;

/// A function that checks the file with the membership key. Its error says what is wrong, without the key's
/// bytes.
pub type CheckKeyFile = fn(&Path) -> Result<(), Box<dyn Error>>;

/// Inputs that the caller passes to the checks in addition to the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckContext {
    /// Number of file descriptors that the process may open; `None` if unknown.
    pub descriptor_limit: Option<u64>,
    /// Checks the file with the membership key; with `None`, the file is not read.
    pub check_key_file: Option<CheckKeyFile>,
}
