//! The inputs of a member: time, messages, proposals and storage confirmations.
use crate::storage::WriteToken;
use crate::versioned_document::Version;

/// An input event for [`crate::Node::handle`].
#[derive(Clone, Debug)]
pub enum Input<'a, R> {
    /// The periodic timer fired; expected every [`crate::Settings::tick_interval`].
    Tick,
    /// A message from another member.
    Message {
        /// The sender's name, authenticated by the transport.
        from: &'a str,
        /// The bytes of the sender's [`crate::Effect::Send`].
        bytes: &'a [u8],
    },
    /// A proposal of new rules by this member.
    Propose {
        /// The version that the new rules are derived from.
        base_version: Version,
        /// The new rules that the member proposes.
        rules: R,
    },
    /// Confirmation that all writes up to and including this token of [`crate::Effect::Persist`] are durable.
    Persisted(WriteToken),
    /// The names of all other members on the membership list. The leader sends updates to these members, and
    /// counts them in the comparison of clocks, even before they have sent a request. An incomplete or
    /// outdated list does not affect safety.
    Members(&'a [String]),
}
