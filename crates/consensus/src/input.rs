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
    /// A proposal of this member to replace the fleet's rules, which allow or forbid requests.
    Propose {
        /// The version of the fleet's rules from which the proposed rules are derived.
        base_version: Version,
        /// The proposed rules.
        rules: R,
    },
    /// Confirms that all writes up to and including the one with this token are durable. The token comes from
    /// [`crate::Effect::Persist`].
    Persisted(WriteToken),
    /// The names of all other members on the membership list. The leader tells these members of new versions
    /// of the fleet's rules, even before they have sent a request. It also counts them when it checks whether
    /// most members report a drift of its own clock. An incomplete or outdated list does not affect safety.
    Members(&'a [String]),
}
