//! Inputs of the configuration checks that are not part of the configuration itself.
use std::error::Error;
use std::path::Path;

/// A function that checks the file that contains the membership key, a secret that all schedulers of a
/// cluster share. The function's error says what is wrong with the file, without showing the bytes of the
/// key.
pub type CheckKeyFile = fn(&Path) -> Result<(), Box<dyn Error>>;

/// Inputs that the caller passes to the configuration checks in addition to the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckContext {
    /// Maximum number of file descriptors that the process may open; `None` if unknown.
    pub descriptor_limit: Option<u64>,
    /// The function that checks the file that contains the membership key, a secret that all schedulers of a
    /// cluster share. If `None`, the file is not read.
    pub check_key_file: Option<CheckKeyFile>,
}
