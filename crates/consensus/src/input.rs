//! The inputs of a member: ticks, messages, proposals, storage confirmations and the membership list.
use crate::storage::WriteToken;
use crate::versioned_document::Version;

/// An input that the caller passes to [`crate::Node::handle`].
#[derive(Clone, Debug)]
pub enum Input<'a, R> {
    /// A tick: the caller's periodic timer has fired. A tick is expected every
    /// [`crate::Settings::tick_interval`].
    Tick,
    /// A message that another member has sent to this member.
    Message {
        /// The name of the member that sent the message, authenticated by the transport.
        from: &'a str,
        /// The bytes of the message, as the sender's [`crate::Effect::Send`] contained them.
        bytes: &'a [u8],
    },
    /// New rules that this member proposes to the other members.
    Propose {
        /// The version of the rules from which the proposed rules are derived.
        base_version: Version,
        /// The proposed rules.
        rules: R,
    },
    /// Confirms that all writes up to and including the one with this token are durable. The token comes from
    /// [`crate::Effect::Persist`].
    Persisted(WriteToken),
    /// The names of all other members on the membership list. The leader sends version updates to these
    /// members, even before they have sent a request. It also counts them when it checks whether most members
    /// report a drift of its own clock. An incomplete or outdated list does not affect safety.
    Members(&'a [String]),
}
