//! The ids of commands and claims.
use std::fmt;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

/// Who proposed a command, and which of its commands it is. A member numbers its commands from 1 upwards, and a
/// restarted one takes a higher generation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The member.
    pub member: Name,
    /// Grows with every start of its process.
    #[serde(rename = "generation")]
    pub incarnation: u64,
    /// Grows with every command.
    pub sequence: u64,
}

/// A claim's id is that of the command which proposed it.
pub type ClaimId = CommandId;

impl fmt::Display for CommandId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.member, self.incarnation, self.sequence)
    }
}
