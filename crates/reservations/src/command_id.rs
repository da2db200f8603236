//! Ids of commands and claims.
use std::fmt;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

/// The id of a command. It consists of the member that proposed the command, that member's incarnation, and a
/// sequence number. A member has a higher incarnation after each restart, and numbers the commands of an
/// incarnation upwards from 1.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The name of the fleet member that proposed the command.
    pub member: Name,
    /// The incarnation of the member that proposed the command. It grows with every start of the member's
    /// process.
    #[serde(rename = "generation")]
    pub incarnation: u64,
    /// The sequence number of the command among the commands that the member proposed since its process
    /// started. The first of these commands has the number 1.
    pub sequence: u64,
}

/// The id of a claim, which is the id of the command that proposed it.
pub type ClaimId = CommandId;

impl fmt::Display for CommandId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.member, self.incarnation, self.sequence)
    }
}
