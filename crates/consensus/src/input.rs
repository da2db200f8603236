//! What a member is given.
use crate::storage::WriteToken;
use crate::versioned_document::Version;

/// An event for [`crate::Node::handle`].
#[derive(Clone, Debug)]
pub enum Input<'a, R> {
    /// Time has passed. Expected every [`crate::Settings::tick_interval`].
    Tick,
    /// A message from another member.
    Message {
        /// The sender's name, authenticated by the transport.
        from: &'a str,
        /// The bytes of its [`crate::Effect::Send`].
        bytes: &'a [u8],
    },
    /// This member proposes new rules.
    Propose {
        /// The version that they were derived from.
        base_version: Version,
        /// The new rules.
        rules: R,
    },
    /// All writes up to this token of [`crate::Effect::Persist`] are durable.
    Persisted(WriteToken),
    /// The names of all other members, by membership. Decides only who is sent updates without asking; safety does
    /// not depend on it.
    Members(&'a [String]),
}
