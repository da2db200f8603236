//! Ids of commands and claims.
use std::fmt;

use copperspread_identifiers::Name;
use serde::{Deserialize, Serialize};

/// The id of a command: the member that proposed it, and the command's number at that member. A member
/// numbers its commands upwards from 1 in each incarnation, and each restart has a higher incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommandId {
    /// The name of the member that proposed the command.
    pub member: Name,
    /// The incarnation of the member, which grows with every start of its process.
    #[serde(rename = "generation")]
    pub incarnation: u64,
    /// The sequence number of the command within the incarnation.
    pub sequence: u64,
}

/// The id of a claim, which is the id of the command that proposed it.
pub type ClaimId = CommandId;

impl fmt::Display for CommandId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.member, self.incarnation, self.sequence)
    }
}
