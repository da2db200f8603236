//! What bounds a configuration from outside.
use std::error::Error;
use std::path::Path;

/// Reads the membership's key from its file; the error says what is wrong with it, without its bytes.
pub type CheckKeyFile = fn(&Path) -> Result<(), Box<dyn Error>>;

/// What bounds a configuration from outside.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckContext {
    /// How many descriptors the process may hold open; `None` where it is not known.
    pub descriptor_limit: Option<u64>,
    /// Checks the file with the membership's key; `None` leaves the file unread.
    pub check_key_file: Option<CheckKeyFile>,
}
