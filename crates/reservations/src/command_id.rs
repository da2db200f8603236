//! The ids of commands and claims.
use std::fmt;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

/// The member that proposed a command, and the command's number there. A member numbers its commands from 1
/// upwards; after a restart it has a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The member.
    pub member: Name,
    /// Grows with every start of the member's process.
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
